//! Bad datagrams over a real socket are counted by reason and change nothing.

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

/// A message that would make its receiver believe in another host.
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
    sent.expect("a lone member tries its seed")
}

fn wait_for_count(recorder: &PrometheusHandle, reason: &str, count: u64) {
    let line = format!("godwit_membership_dropped_datagrams_total{{reason=\"{reason}\"}} {count}");
    let started_at = Instant::now();
    while !recorder.render().lines().any(|found| found == line) {
        let dropped = recorder.render();
        assert!(started_at.elapsed() < Duration::from_secs(30), "no {line:?} in {dropped}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn bad_datagrams_are_counted() {
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
    let seal = |key: PeerKey, host: &str, incarnation| {
        DatagramEncoder::new(key, host, incarnation).encode(&gossip(), now).unwrap()
    };
    let good = seal(key(), "entry-2", 5);

    send(&seal(PeerKey::new(b"another key"), "entry-2", 5));
    let mut changed = good.clone();
    changed[40] ^= 1;
    send(&changed);
    send(&good[..good.len() - 1]);
    wait_for_count(&recorder, "foreign", 3);

    send(&good[..10]);
    wait_for_count(&recorder, "truncated", 1);

    send(&[1; 1_201]);
    wait_for_count(&recorder, "too_long", 1);

    let mut other_version = good.clone();
    other_version[0] = 99;
    send(&other_version);
    wait_for_count(&recorder, "version", 1);

    // The right key, but another body; and a message in the name of another host or of another start.
    send(&DatagramEncoder::new(key(), "entry-3", 5).encode(&"no gossip", now).unwrap());
    send(&seal(key(), "entry-4", 5));
    send(&seal(key(), "entry-5", 6));
    wait_for_count(&recorder, "malformed", 3);

    let old =
        DatagramEncoder::new(key(), "entry-6", 5).encode(&gossip(), now.minus_ms(60_000)).unwrap();
    send(&old);
    wait_for_count(&recorder, "stale", 1);

    assert_eq!(membership.live_hosts(), ["entry-1"]);
    send(&good);
    send(&good);
    wait_for_count(&recorder, "replayed", 1);
    assert_eq!(membership.live_hosts(), ["entry-1", "entry-2"]);
}
