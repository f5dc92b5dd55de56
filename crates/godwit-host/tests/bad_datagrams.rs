//! Test that invalid datagrams on a real socket are counted by reason and do not change the list of live hosts.
//!
//! It guards against a member that accepts forged, truncated, stale or replayed datagrams, or counts them under the
//! wrong reason.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use godwit_core::member::{Gossip, Member, MemberAction, MemberSettings};
use godwit_host::membership::{Membership, MembershipSettings};
use godwit_host::{Clock, SystemClock};
use godwit_peer::{DatagramEncoder, PeerKey};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

fn key() -> PeerKey {
    PeerKey::new(b"the shared key of the tests")
}

/// Gossip of `entry-2`, which adds that host to the live hosts of a receiver that accepts the message.
fn gossip() -> Gossip {
    let address = "127.0.0.1:9".parse().unwrap();
    let now = SystemClock.now();
    let mut settings = MemberSettings::new("entry-2", "hall-a", address, 5);
    settings.seeds = vec!["127.0.0.1:10".parse().unwrap()];
    let actions = Member::new(settings, now).tick(now);
    let sent = actions.into_iter().find_map(|action| match action {
        MemberAction::Send { gossip, .. } => Some(*gossip),
        MemberAction::Emit(_) => None,
    });
    sent.expect("a member without peers contacts its seed")
}

fn wait_for_count(recorder: &PrometheusHandle, reason: &str, count: u64) {
    let line = format!("godwit_membership_dropped_datagrams_total{{reason=\"{reason}\"}} {count}");
    let started_at = Instant::now();
    while !recorder.render().lines().any(|found| found == line) {
        let rendered = recorder.render();
        assert!(started_at.elapsed() < Duration::from_secs(30), "no {line:?} in {rendered}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn receive_counts_bad_datagrams() {
    let recorder = PrometheusBuilder::new().install_recorder().unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let membership = Membership::start(MembershipSettings {
        host: "entry-1".to_string(),
        failure_domain: "hall-a".to_string(),
        bind: any_port,
        advertised: any_port,
        key: key(),
        seeds: Vec::new(),
        clock: Arc::new(SystemClock),
    })
    .unwrap();
    let socket = UdpSocket::bind(any_port).unwrap();
    let send = |datagram: &[u8]| socket.send_to(datagram, membership.address()).unwrap();
    let now = SystemClock.now();
    let encode_gossip = |key: PeerKey, host: &str, incarnation| {
        DatagramEncoder::new(key, host, incarnation).encode(&gossip(), now).unwrap()
    };
    let valid = encode_gossip(key(), "entry-2", 5);

    send(&encode_gossip(PeerKey::new(b"another key"), "entry-2", 5));
    let mut tampered = valid.clone();
    tampered[40] ^= 1;
    send(&tampered);
    send(&valid[..valid.len() - 1]);
    wait_for_count(&recorder, "foreign", 3);

    send(&valid[..10]);
    wait_for_count(&recorder, "truncated", 1);

    send(&[1; 1_201]);
    wait_for_count(&recorder, "too_long", 1);

    let mut other_version = valid.clone();
    other_version[0] = 99;
    send(&other_version);
    wait_for_count(&recorder, "version", 1);

    // Encoded with the right key, but with a body that is no gossip, or with the gossip of another host or incarnation.
    send(&DatagramEncoder::new(key(), "entry-3", 5).encode(&"no gossip", now).unwrap());
    send(&encode_gossip(key(), "entry-4", 5));
    send(&encode_gossip(key(), "entry-5", 6));
    wait_for_count(&recorder, "malformed", 3);

    let stale =
        DatagramEncoder::new(key(), "entry-6", 5).encode(&gossip(), now.minus_ms(60_000)).unwrap();
    send(&stale);
    wait_for_count(&recorder, "stale", 1);

    assert_eq!(membership.live_hosts(), ["entry-1"]);
    send(&valid);
    send(&valid);
    wait_for_count(&recorder, "replayed", 1);
    assert_eq!(membership.live_hosts(), ["entry-1", "entry-2"]);
}
