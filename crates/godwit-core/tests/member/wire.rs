//! Encoding of gossip: no message may change on the way, and damaged bytes must not cause a panic.

use std::net::{IpAddr, SocketAddr};

use godwit_core::member::{Gossip, Liveness, MemberRecord, Phase, Purpose};
use godwit_core::replica::ReplicaDigest;
use godwit_core::{Reading, UnixMs};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

prop_compose! {
    fn record()(
        host in "[a-cé]{0,5}(-[0-9]{2})?",
        address in any::<(IpAddr, u16)>().prop_map(SocketAddr::from),
        numbers in any::<[u64; 4]>(),
        liveness in prop_oneof![Just(Liveness::Alive), Just(Liveness::Suspect), Just(Liveness::Dead)],
        is_leaving in any::<bool>(),
    ) -> MemberRecord {
        let [incarnation, heartbeat, highest_version, hash] = numbers;
        let configuration = ReplicaDigest { highest_version: highest_version % 3, hash: hash % 3 };
        let phase = if is_leaving { Phase::Leaving } else { Phase::Serving };
        MemberRecord { host, address, incarnation, heartbeat, phase, liveness, configuration }
    }
}

prop_compose! {
    fn reading()(
        server in "[a-cé]{0,5}(-[0-9]{2})?",
        times in any::<[u64; 2]>(),
        load in any::<[u32; 3]>(),
        pending_tokens in any::<u64>(),
        tokens_per_s in any::<f32>().prop_filter("not a number", |rate| !rate.is_nan()),
    ) -> Reading {
        Reading {
            server,
            measured_at: UnixMs(times[0]),
            started_at: UnixMs(times[1]),
            slots: load[0],
            running: load[1],
            waiting: load[2],
            pending_tokens,
            tokens_per_s: f64::from(tokens_per_s),
        }
    }
}

prop_compose! {
    fn gossip()(
        sender in record(),
        mut members in vec(record(), 0..12),
        mut readings in vec(reading(), 0..12),
    ) -> Gossip {
        members.sort_by(|a, b| a.host.cmp(&b.host));
        members.dedup_by(|a, b| a.host == b.host);
        readings.sort_by(|a, b| a.server.cmp(&b.server));
        readings.dedup_by(|a, b| a.server == b.server);
        Gossip {
            purpose: Purpose::Heartbeat,
            failure_domain: "hall-a".to_string(),
            sender,
            members,
            readings,
            notices: Vec::new(),
            hints: Vec::new(),
            summaries: Vec::new(),
        }
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60D3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn gossip_round_trip(gossip in gossip()) {
        let encoded = postcard::to_stdvec(&gossip).unwrap();
        prop_assert_eq!(postcard::from_bytes::<Gossip>(&encoded).unwrap(), gossip);
    }

    /// Bytes that a holder of the key could send are decoded or rejected without a panic.
    #[test]
    fn gossip_decode_damaged(gossip in gossip(), position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut encoded = postcard::to_stdvec(&gossip).unwrap();
        let position = position.index(encoded.len());
        encoded[position] = byte;
        if let Ok(decoded) = postcard::from_bytes::<Gossip>(&encoded) {
            let _ = postcard::to_stdvec(&decoded).unwrap();
        }
    }
}
