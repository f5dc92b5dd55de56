//! Tests of members over real sockets on the loopback interface.
//!
//! They guard against hosts and failure domains that are not discovered or not removed, against configuration digests
//! and hints that do not reach the other hosts, and against a member that stops after a malformed datagram.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use godwit_core::replica::ReplicaDigest;
use godwit_core::{Hint, UnixMs};
use godwit_host::membership::{Membership, MembershipEvent, MembershipSettings};
use godwit_host::{Clock, SystemClock};
use godwit_peer::PeerKey;

fn start_member(host: &str, failure_domain: &str, seeds: &[SocketAddr]) -> Membership {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Membership::start(MembershipSettings {
        host: host.to_string(),
        failure_domain: failure_domain.to_string(),
        bind: any_port,
        advertised: any_port,
        key: PeerKey::new(b"the shared key of the tests"),
        seeds: seeds.to_vec(),
        clock: Arc::new(SystemClock),
    })
    .unwrap()
}

/// Waits until `condition` holds; fails after a time that no run on a working machine needs.
fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < Duration::from_secs(30), "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn live_hosts_follow_joins_and_departures() {
    let first = start_member("entry-1", "hall-a", &[]);
    let second = start_member("entry-2", "hall-a", &[first.address()]);
    let third = start_member("entry-3", "hall-a", &[first.address()]);
    let all_hosts = ["entry-1", "entry-2", "entry-3"];
    for member in [&first, &second, &third] {
        wait_for("all members", || member.live_hosts() == all_hosts);
    }
    second.leave();
    wait_for("the leaving host", || first.live_hosts() == ["entry-1", "entry-3"]);
    drop(third);
    wait_for("the killed host", || first.live_hosts() == ["entry-1"]);
}

#[test]
fn reachable_domains_lists_other_domain() {
    let first = start_member("entry-1", "hall-a", &[]);
    let second = start_member("entry-2", "hall-a", &[first.address()]);
    let other = start_member("entry-9", "hall-b", &[first.address()]);
    wait_for("hall-b", || second.reachable_domains() == ["hall-b"]);
    wait_for("hall-a", || other.reachable_domains() == ["hall-a"]);
    let expected =
        [("entry-1".to_string(), first.address()), ("entry-2".to_string(), second.address())];
    wait_for("the hosts of hall-a", || other.hosts_of_domain("hall-a") == expected);
}

#[test]
fn events_deliver_digest_and_hint() {
    let first = start_member("entry-1", "hall-a", &[]);
    let second = start_member("entry-2", "hall-a", &[first.address()]);
    wait_for("both", || second.live_hosts().len() == 2);
    let digest = ReplicaDigest { highest_version: 5, hash: 77 };
    first.set_configuration_digest(digest);
    let expires_at = SystemClock.now().plus_ms(60_000);
    let hint = Hint::CrashMark { fingerprint: 3, server: "farm-1".to_string(), expires_at };
    first.publish_hint(&hint);
    let mut missing = vec![
        MembershipEvent::ConfigurationHeard {
            host: "entry-1".to_string(),
            address: first.address(),
            digest,
        },
        MembershipEvent::Hint(hint),
    ];
    while !missing.is_empty() {
        let event = second.events().recv_timeout(Duration::from_secs(30)).unwrap();
        missing.retain(|expected| *expected != event);
    }
}

#[test]
fn member_ignores_malformed_datagrams() {
    let first = start_member("entry-1", "hall-a", &[]);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size_bytes in [0, 1, 17, 300, 1_200, 1_201, 4_000] {
        unknown_sender.send_to(&vec![1; size_bytes], first.address()).unwrap();
    }
    let second = start_member("entry-2", "hall-a", &[first.address()]);
    wait_for("both", || first.live_hosts().len() == 2 && second.live_hosts().len() == 2);
    assert!(first.incarnation() <= SystemClock.now().0);
    assert_ne!(UnixMs(first.incarnation()), UnixMs(0));
}
