//! Orders to servers: the layout of an empty site, and one host at a time.

use serde_json::{Value, json};

use crate::host::{Host, configuration};
use crate::server::{Manner, Server};
use crate::store::Store;

const WHOLE: Manner = Manner::Stream { events: 5, is_whole: true };
const LAYERS: u32 = 16;

fn store_with(servers: &[&Server]) -> Store {
    let store = Store::start();
    store.put("config", "main", configuration(1));
    for server in servers {
        store.put("servers", &server.id, server.entry("chat", None));
    }
    store
}

fn range(order: &Value) -> (u32, u32) {
    let bound = |name: &str| u32::try_from(order[name].as_u64().expect("a layer")).expect("small");
    (bound("From"), bound("To"))
}

#[test]
fn empty_servers_are_ordered_once_and_then_serve() {
    let servers = ["s-1", "s-2"].map(|id| Server::start(id, &[WHOLE]));
    let store = store_with(&servers.each_ref());
    let host = Host::start_on(store.clone());
    host.wait_for("the orders", || servers.iter().all(|server| !server.orders().is_empty()));
    let holder = store.revision("godwit-layout", "holder").expect("the right is held");
    let mut covered = vec![false; LAYERS as usize];
    for server in &servers {
        let orders = server.orders();
        assert_eq!(orders.len(), 1, "{orders:?}");
        assert_eq!(orders[0]["Operation"], "place");
        assert_eq!(orders[0]["Expect"], 0);
        assert_eq!(orders[0]["FencingToken"].as_u64(), Some(holder));
        let (from, to) = range(&orders[0]);
        covered[from as usize..to as usize].fill(true);
        store.put("servers", &server.id, server.entry("chat", Some((from, to))));
    }
    assert!(covered.iter().all(|is_covered| *is_covered));
    host.wait_for("the gauge of missing layers", || {
        host.metrics().contains("layers_missing{service=\"chat\",domain=\"hall-a\"} 0")
    });
    host.wait_for("a stream", || {
        host.call("POST", "/chat/1", b"hello").is_ok_and(|answer| answer.status() == 200)
    });
}

#[test]
fn host_that_lost_the_right_orders_with_a_higher_fence_only() {
    let first = Server::start("s-1", &[WHOLE]);
    let second = Server::start("s-2", &[WHOLE]);
    let store = store_with(&[&first]);
    let host = Host::start_on(store.clone());
    host.wait_for("the first order", || !first.orders().is_empty());
    store.put("servers", "s-1", first.entry("chat", Some(range(&first.orders()[0]))));
    store.put("godwit-layout", "holder", json!({"host": "front-hall-a-2"}));
    let lost_at = store.revision("godwit-layout", "holder").expect("it was just written");
    store.put("servers", "s-2", second.entry("chat", None));
    host.wait_for("the second order", || !second.orders().is_empty());
    let fences = second.orders().into_iter().map(|order| order["FencingToken"].as_u64());
    assert!(fences.flatten().all(|fence| fence > lost_at));
    assert!(first.orders()[0]["FencingToken"].as_u64() < Some(lost_at));
}

#[test]
fn layout_that_stands_is_neither_ordered_nor_loaded_again() {
    let server = Server::start("s-1", &[WHOLE]);
    let store = store_with(&[]);
    store.put("servers", "s-1", server.entry("chat", Some((0, LAYERS))));
    let host = Host::start_on(store.clone());
    host.wait_until_ready();
    let empty = Server::start("s-2", &[WHOLE]);
    store.put("servers", "s-2", empty.entry("chat", None));
    host.wait_for("the order to the empty server", || !empty.orders().is_empty());
    assert!(server.orders().is_empty());
}
