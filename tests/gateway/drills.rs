//! Hosts before a store that was away and comes back from an older copy, which its operators play as a drill.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::host::{API_KEY, Host, configuration, configuration_with_prefix};
use crate::readers::{CONFIG_APPLY_TIME, Cluster, lose_watches, status};
use crate::server::{Behavior, FakeServer};
use crate::store::{EraHeader, FakeStore, StoreCopy};

const HOSTS: usize = 6;

/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(700);

/// Time after its return at which what was written to the store since the copy is written again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which requests are sent after what was lost has been written again; longer than entries are kept.
const WATCH_TIME: Duration = Duration::from_millis(2_500);

/// Writes between the copy and its use; more than follow in a test, so that revisions stay lower than before.
const LOST_WRITES: u64 = 40;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn prefix(version: u64) -> String {
    format!("/version-{version}/")
}

fn put_version(store: &FakeStore, version: u64) {
    store.put("config", "main", configuration_with_prefix(version, &prefix(version)));
}

/// Writes entries of servers of another service.
fn write_much(store: &FakeStore) {
    for index in 0..LOST_WRITES {
        let entry =
            json!({"Service": "other", "Address": "127.0.0.1:9", "State": "ready", "Index": index});
        store.put("servers", "other", entry);
    }
}

fn drill(store: &FakeStore, copy: &StoreCopy, away: Duration) -> Instant {
    if away > Duration::ZERO {
        store.go_away();
        std::thread::sleep(away);
    }
    store.return_from(copy.clone());
    Instant::now()
}

fn assert_used_by(hosts: &[Host], version: u64, deadline: Instant) {
    let path = format!("{}1", prefix(version));
    for (index, host) in hosts.iter().enumerate() {
        while status(host, &path) != 200 {
            assert!(Instant::now() < deadline, "host {index} does not use version {version}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Hosts that use version 2, which was written after the copy.
fn cluster_with_copy(store: FakeStore) -> (Cluster, StoreCopy) {
    let cluster = Cluster::start_with_store(store, HOSTS);
    let copy = cluster.store.copy();
    write_much(&cluster.store);
    put_version(&cluster.store, 2);
    assert_used_by(&cluster.hosts, 2, Instant::now() + CONFIG_APPLY_TIME);
    (cluster, copy)
}

fn assert_changes_are_used(cluster: &Cluster, copy: &StoreCopy, away: Duration) {
    let returned_at = drill(&cluster.store, copy, away);
    put_version(&cluster.store, 3);
    put_version(&cluster.store, 4);
    assert_used_by(&cluster.hosts, 4, returned_at + CONFIG_APPLY_TIME);
    put_version(&cluster.store, 5);
    assert_used_by(&cluster.hosts, 5, Instant::now() + CONFIG_APPLY_TIME);
}

#[test]
fn configuration_written_after_a_drill_is_used() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    assert_changes_are_used(&cluster, &copy, AWAY_TIME);
}

#[test]
fn configuration_is_used_when_the_store_is_back_at_once() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    assert_changes_are_used(&cluster, &copy, Duration::ZERO);
}

#[test]
fn configuration_is_used_after_a_drill_of_a_store_in_a_late_era() {
    let store = FakeStore::start();
    store.set_era(7);
    let (cluster, copy) = cluster_with_copy(store);
    assert_changes_are_used(&cluster, &copy, AWAY_TIME);
}

/// The watches of the other kinds tell of the return.
#[test]
fn configuration_is_used_when_its_watches_hang_during_a_drill() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    lose_watches(&cluster, "config", || put_version(&cluster.store, 3));
    assert_changes_are_used(&cluster, &copy, AWAY_TIME);
}

/// No watch tells of the return.
#[test]
fn configuration_is_used_when_all_watches_hang_during_a_drill() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    lose_watches(&cluster, "config", || put_version(&cluster.store, 3));
    lose_watches(&cluster, "servers", || write_much(&cluster.store));
    lose_watches(&cluster, "godwit-hosts", || cluster.store.put("godwit-hosts", "none", json!({})));
    assert_changes_are_used(&cluster, &copy, Duration::ZERO);
}

/// The counter has passed the revision that hosts know before they ask again, so that their watches are answered.
#[test]
fn configuration_is_used_when_lost_revisions_are_given_out_again() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    cluster.store.go_away();
    std::thread::sleep(AWAY_TIME);
    let mut objects = copy;
    // Written while no host can ask.
    cluster.store.return_from(objects.clone());
    cluster.store.go_away();
    put_version(&cluster.store, 3);
    (0..3).for_each(|_| write_much(&cluster.store));
    objects = cluster.store.copy();
    cluster.store.return_from(objects);
    assert_used_by(&cluster.hosts, 3, Instant::now() + CONFIG_APPLY_TIME);
}

#[test]
fn configuration_is_used_after_two_drills() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    drill(&cluster.store, &copy, AWAY_TIME);
    std::thread::sleep(Duration::from_millis(500));
    assert_changes_are_used(&cluster, &copy, AWAY_TIME);
}

#[test]
fn host_that_restarts_after_a_drill_uses_what_is_written_then() {
    let (mut cluster, copy) = cluster_with_copy(FakeStore::start());
    let readers = cluster.readers();
    let follower = (0..HOSTS).find(|index| !readers.contains(index)).expect("a follower");
    drill(&cluster.store, &copy, AWAY_TIME);
    for index in [readers[0], follower] {
        cluster.hosts[index].signal(Signal::KILL);
        cluster.restart(index);
    }
    put_version(&cluster.store, 2);
    for index in [readers[0], follower] {
        cluster.hosts[index].wait_until_ready();
    }
    put_version(&cluster.store, 3);
    assert_used_by(&cluster.hosts, 3, Instant::now() + CONFIG_APPLY_TIME);
}

#[test]
fn version_in_force_does_not_go_back_and_a_withdrawn_key_stays_withdrawn() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    let mut withdrawn = configuration_with_prefix(3, &prefix(3));
    withdrawn["Tenants"][0]["ApiKeys"] = json!(["another-key"]);
    cluster.store.put("config", "main", withdrawn.clone());
    std::thread::sleep(CONFIG_APPLY_TIME);
    let returned_at = drill(&cluster.store, &copy, AWAY_TIME);
    let mut is_rewritten = false;
    let authorization = format!("Bearer {API_KEY}");
    while returned_at.elapsed() < REWRITE_DELAY + WATCH_TIME {
        if !is_rewritten && returned_at.elapsed() >= REWRITE_DELAY {
            cluster.store.put("config", "main", withdrawn.clone());
            is_rewritten = true;
        }
        for host in &cluster.hosts {
            let headers = [("authorization", authorization.as_str())];
            let response = host.call_with("GET", &format!("{}1", prefix(3)), &headers, b"");
            assert_eq!(response.expect("an answer").status(), 401);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    put_version(&cluster.store, 4);
    assert_used_by(&cluster.hosts, 4, Instant::now() + CONFIG_APPLY_TIME);
}

/// Plays a drill in which `write` changed the list of servers after the copy, and does so again [`REWRITE_DELAY`] after the
/// return. All requests must be answered by a server other than `s-1`.
fn assert_left_server_is_not_used(write: impl Fn(&Cluster)) {
    let cluster = Cluster::start(HOSTS);
    let copy = cluster.store.copy();
    let server = FakeServer::start("s-2", &[Behavior::Respond]);
    let change = || {
        cluster.store.put("servers", "s-2", server.entry("api", None));
        write(&cluster);
    };
    change();
    write_much(&cluster.store);
    std::thread::sleep(CONFIG_APPLY_TIME);
    let before = cluster.server.requests().len();
    let returned_at = drill(&cluster.store, &copy, AWAY_TIME);
    let mut is_rewritten = false;
    while returned_at.elapsed() < REWRITE_DELAY + WATCH_TIME {
        if !is_rewritten && returned_at.elapsed() >= REWRITE_DELAY {
            change();
            is_rewritten = true;
        }
        for (index, host) in cluster.hosts.iter().enumerate() {
            let after = returned_at.elapsed();
            assert_eq!(status(host, "/read/1"), 200, "host {index}, {after:?} after the return");
            let used = cluster.server.requests().len() - before;
            assert_eq!(used, 0, "host {index}, {after:?} after the return");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    // The list of servers is followed again.
    let last = FakeServer::start("s-3", &[Behavior::Respond]);
    cluster.store.put("servers", "s-3", last.entry("api", None));
    cluster.store.remove("servers", "s-2");
    std::thread::sleep(CONFIG_APPLY_TIME);
    let before = last.requests().len();
    for host in &cluster.hosts {
        assert_eq!(status(host, "/read/1"), 200);
    }
    assert_eq!(last.requests().len(), before + HOSTS);
}

#[test]
fn server_known_to_drain_is_not_used_on_the_word_of_the_copy() {
    assert_left_server_is_not_used(|cluster| {
        let mut entry = cluster.server.entry("api", None);
        entry["State"] = json!("draining");
        cluster.store.put("servers", "s-1", entry);
    });
}

#[test]
fn server_known_to_be_gone_is_not_used_on_the_word_of_the_copy() {
    assert_left_server_is_not_used(|cluster| {
        if cluster.store.specification("servers", "s-1").is_some() {
            cluster.store.remove("servers", "s-1");
        }
    });
}

#[test]
fn server_that_appears_after_a_drill_is_used() {
    let (cluster, copy) = cluster_with_copy(FakeStore::start());
    let returned_at = drill(&cluster.store, &copy, AWAY_TIME);
    let server = FakeServer::start("s-2", &[Behavior::Respond]);
    cluster.store.put("servers", "s-2", server.entry("api", None));
    let mut entry = cluster.server.entry("api", None);
    entry["State"] = json!("draining");
    cluster.store.put("servers", "s-1", entry);
    let deadline = returned_at + CONFIG_APPLY_TIME;
    for (index, host) in cluster.hosts.iter().enumerate() {
        let before = server.requests().len();
        while server.requests().len() == before {
            assert!(Instant::now() < deadline, "host {index} does not use the server");
            assert_eq!(status(host, &format!("{}1", prefix(2))), 200);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Hosts that all know of no other would all read the store.
#[test]
fn records_of_hosts_that_the_copy_lacks_are_written_again() {
    let cluster = Cluster::start(HOSTS);
    let readers = cluster.readers();
    let copy = cluster.store.copy().without("godwit-hosts");
    let returned_at = drill(&cluster.store, &copy, Duration::ZERO);
    let is_registered =
        |index| cluster.store.specification("godwit-hosts", &format!("front-hall-a-{index}"));
    while !(0..HOSTS).all(|index| is_registered(index).is_some()) {
        assert!(returned_at.elapsed() < CONFIG_APPLY_TIME * 2, "a host is not registered");
        assert_eq!(cluster.readers(), readers);
        std::thread::sleep(POLL_INTERVAL);
    }
    std::thread::sleep(CONFIG_APPLY_TIME);
    assert_eq!(cluster.readers(), readers);
}

#[test]
fn orders_after_a_drill_have_higher_fencing_numbers() {
    const COMPLETE_STREAM: Behavior = Behavior::Stream { events: 5, is_complete: true };
    let [first, second] = ["s-1", "s-2"].map(|id| FakeServer::start(id, &[COMPLETE_STREAM]));
    let store = FakeStore::start();
    store.put("config", "main", configuration(1));
    let copy = store.copy();
    write_much(&store);
    store.put("servers", "s-1", first.entry("chat", None));
    let host = Host::start_with_store(store.clone());
    host.wait_for("the first order", || !first.orders().is_empty());
    let orders = first.orders();
    let [from, to] = ["From", "To"].map(|name| orders[0][name].as_u64().expect("a layer") as u32);
    drill(&store, &copy, AWAY_TIME);
    store.put("servers", "s-1", first.entry("chat", Some((from, to))));
    store.put("servers", "s-2", second.entry("chat", None));
    host.wait_for("the second order", || !second.orders().is_empty());
    let fence = |order: &Value| order["FencingToken"].as_u64();
    assert!(fence(&second.orders()[0]) > fence(&orders[orders.len() - 1]));
}

/// As of a replica of the store that has not followed the return.
#[test]
fn answers_of_an_earlier_era_have_no_effect() {
    let store = FakeStore::start();
    store.set_era(7);
    let cluster = Cluster::start_with_store(store, 3);
    cluster.store.set_era(6);
    put_version(&cluster.store, 2);
    let changed_at = Instant::now();
    while changed_at.elapsed() < CONFIG_APPLY_TIME {
        for (index, host) in cluster.hosts.iter().enumerate() {
            // 503 once the store has not confirmed for some time that nothing newer is in force.
            let status = status(host, "/version-2/1");
            assert!(matches!(status, 404 | 503), "host {index}: {status}");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    cluster.store.set_era(7);
    // Hosts call again after 2 s at most.
    assert_used_by(&cluster.hosts, 2, Instant::now() + CONFIG_APPLY_TIME * 2);
}

/// Revisions that go back without a new era cannot be told from old answers.
#[test]
fn store_that_goes_back_without_an_era_is_not_listed_without_a_pause() {
    const OBSERVED: Duration = Duration::from_secs(3);
    /// Calls of a reader in this time: for each kind one in 200 ms at most, while it cannot be read.
    const MAX_CALLS: usize = 2 * 3 * 15;
    let store = FakeStore::start();
    store.set_era_header(EraHeader::Absent);
    let cluster = Cluster::start_with_store(store, 3);
    let copy = cluster.store.copy();
    write_much(&cluster.store);
    put_version(&cluster.store, 2);
    assert_used_by(&cluster.hosts, 2, Instant::now() + CONFIG_APPLY_TIME);
    drill(&cluster.store, &copy, AWAY_TIME);
    let before = cluster.store.calls();
    std::thread::sleep(OBSERVED);
    let calls = cluster.store.calls() - before;
    println!("{calls} calls");
    assert!(calls <= MAX_CALLS, "{calls} calls in {OBSERVED:?}");
}

#[test]
fn era_that_is_absent_or_unreadable_changes_nothing() {
    for era_header in [EraHeader::Absent, EraHeader::Unreadable] {
        let store = FakeStore::start();
        store.set_era_header(era_header);
        let cluster = Cluster::start_with_store(store, 3);
        let before = cluster.store.calls();
        for version in 2..5 {
            put_version(&cluster.store, version);
            assert_used_by(&cluster.hosts, version, Instant::now() + CONFIG_APPLY_TIME);
        }
        let calls = cluster.store.calls() - before;
        assert!(calls <= 12, "{calls} calls for 3 changes");
    }
}
