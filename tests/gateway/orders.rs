//! Orders that place layers on servers, sent by the one host that holds the leadership.

use serde_json::{Value, json};

use crate::host::{Host, configuration};
use crate::server::{Behavior, FakeServer};
use crate::store::FakeStore;

const COMPLETE_STREAM: Behavior = Behavior::Stream { events: 5, is_complete: true };
const LAYERS: u32 = 16;

fn start_store_with(servers: &[&FakeServer]) -> FakeStore {
    let store = FakeStore::start();
    store.put("config", "main", configuration(1));
    for server in servers {
        store.put("servers", &server.id, server.entry("chat", None));
    }
    store
}

fn order_range(order: &Value) -> (u32, u32) {
    let bound = |name: &str| {
        u32::try_from(order[name].as_u64().expect("a layer number")).expect("fits into u32")
    };
    (bound("From"), bound("To"))
}

#[test]
fn orders_place_each_empty_server_once() {
    let servers = ["s-1", "s-2"].map(|id| FakeServer::start(id, &[COMPLETE_STREAM]));
    let store = start_store_with(&servers.each_ref());
    let host = Host::start_with_store(store.clone());
    host.wait_for("the orders", || servers.iter().all(|server| !server.orders().is_empty()));
    let leader_revision =
        store.revision("godwit-layout", "holder").expect("a host holds the leadership");
    let mut covered = vec![false; LAYERS as usize];
    for server in &servers {
        let orders = server.orders();
        assert_eq!(orders.len(), 1, "{orders:?}");
        assert_eq!(orders[0]["Operation"], "place");
        assert_eq!(orders[0]["Expect"], 0);
        assert_eq!(orders[0]["FencingToken"].as_u64(), Some(leader_revision));
        let (from, to) = order_range(&orders[0]);
        covered[from as usize..to as usize].fill(true);
        store.put("servers", &server.id, server.entry("chat", Some((from, to))));
    }
    assert!(covered.iter().all(|is_covered| *is_covered));
    host.wait_for("the gauge of missing layers", || {
        host.metrics().contains("layers_missing{service=\"chat\",domain=\"hall-a\"} 0")
    });
    host.wait_for("a stream", || {
        host.call("POST", "/chat/1", b"hello").is_ok_and(|response| response.status() == 200)
    });
}

/// Hosts that had lost the leadership once continued to send orders after another host had taken it. The leadership is
/// therefore renewed before each round, and each renewal gives a higher fencing token.
#[test]
fn orders_after_lost_leadership_have_higher_fencing_token() {
    let first = FakeServer::start("s-1", &[COMPLETE_STREAM]);
    let second = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    let store = start_store_with(&[&first]);
    let host = Host::start_with_store(store.clone());
    host.wait_for("the first order", || !first.orders().is_empty());
    store.put("servers", "s-1", first.entry("chat", Some(order_range(&first.orders()[0]))));
    store.put("godwit-layout", "holder", json!({"host": "front-hall-a-2"}));
    let takeover_revision =
        store.revision("godwit-layout", "holder").expect("the leader record was just written");
    store.put("servers", "s-2", second.entry("chat", None));
    host.wait_for("the second order", || !second.orders().is_empty());
    let fencing_tokens = second.orders().into_iter().map(|order| order["FencingToken"].as_u64());
    assert!(fencing_tokens.flatten().all(|fencing_token| fencing_token > takeover_revision));
    assert!(first.orders()[0]["FencingToken"].as_u64() < Some(takeover_revision));
}

#[test]
fn orders_skip_server_with_all_layers() {
    let server = FakeServer::start("s-1", &[COMPLETE_STREAM]);
    let store = start_store_with(&[]);
    store.put("servers", "s-1", server.entry("chat", Some((0, LAYERS))));
    let host = Host::start_with_store(store.clone());
    host.wait_until_ready();
    let empty = FakeServer::start("s-2", &[COMPLETE_STREAM]);
    store.put("servers", "s-2", empty.entry("chat", None));
    host.wait_for("the order to the empty server", || !empty.orders().is_empty());
    assert!(server.orders().is_empty());
}
