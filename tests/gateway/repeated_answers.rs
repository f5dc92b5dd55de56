//! Servers that write an answer once more on a connection that is kept for other requests.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::host::{API_KEY, Host, ROUTE_HOST, configuration};
use crate::http::{Message, call, serve_connections, write_response};
use crate::links::LinkState;
use crate::lost_links::Site;
use crate::server::{
    Behavior, FakeServer, REPEATER_EVENTS, RepeatTime, RepeatedRefusal, event, last_event_id,
    server_entry,
};
use crate::store::FakeStore;

/// Statuses with which a server refuses a request that it did not run.
const REFUSAL_STATUSES: [u16; 4] = [503, 429, 421, 400];

const REPEAT_TIMES: [RepeatTime; 2] =
    [RepeatTime::BeforeNextRequest, RepeatTime::DuringNextRequest];

/// Requests sent for each status.
const CALLS: usize = 40;

/// What callers were told, compared with what servers ran.
#[derive(Debug, Default)]
struct Outcome {
    calls: usize,
    /// Requests that ran more than once.
    ran_twice: usize,
    /// Requests that ran and were answered as not run.
    refused_though_run: usize,
    /// Requests with the answer of their own run.
    served: usize,
    /// Requests with any other answer than these and a refusal of a request that did not run.
    other: BTreeMap<u16, usize>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "of {} requests {} ran twice, {} were refused though run, {} served, {:?} else",
            self.calls, self.ran_twice, self.refused_though_run, self.served, self.other
        )
    }
}

impl Outcome {
    /// Whether no request that ran was refused as not run, and each answer was of the own run.
    fn is_sound(&self) -> bool {
        self.served > 0 && self.refused_though_run == 0 && !self.other.contains_key(&200)
    }
}

/// Sends requests below a path to a host, and compares the answers with what the servers ran.
fn call_and_compare(host: &Host, servers: &[FakeServer], method: &str, prefix: &str) -> Outcome {
    compare(servers, prefix, |path| host.call(method, path, b""))
}

/// Sends an order without the id of a request.
fn call_without_id(host: &Host, path: &str) -> std::io::Result<Message> {
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("host", ROUTE_HOST), ("authorization", authorization.as_str())];
    call(host.caller_address(), "POST", path, &headers, b"")
}

fn compare(
    servers: &[FakeServer],
    prefix: &str,
    send: impl Fn(&str) -> std::io::Result<Message>,
) -> Outcome {
    let mut outcome = Outcome::default();
    for number in 0..CALLS {
        let path = format!("{prefix}{number}");
        let response = send(&path).expect("answered");
        let runs = servers.iter().flat_map(FakeServer::runs).filter(|run| *run == path).count();
        let pieces =
            (1..=REPEATER_EVENTS).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
        let expected = if prefix == "/chat/" { pieces.collect() } else { path };
        outcome.calls += 1;
        outcome.ran_twice += usize::from(runs > 1);
        match response.status() {
            503 | 429 | 421 | 408 => outcome.refused_though_run += usize::from(runs > 0),
            200 if runs > 0 && response.text() == expected => outcome.served += 1,
            status => *outcome.other.entry(status).or_default() += 1,
        }
    }
    println!("{prefix}: {outcome}");
    outcome
}

fn refusals(is_named: bool) -> impl Iterator<Item = RepeatedRefusal> {
    REPEAT_TIMES.into_iter().flat_map(move |time| {
        REFUSAL_STATUSES.map(|status| RepeatedRefusal { status, is_named, time })
    })
}

fn start_servers(service: &str, repeat: RepeatedRefusal) -> Vec<FakeServer> {
    let start = |index| {
        let server = FakeServer::start(&format!("{service}-{index}"), &[Behavior::Respond]);
        server.repeat_refusals(repeat);
        server
    };
    (0..2).map(start).collect()
}

/// Plays all kinds of repeats on connections of one host, and returns the outcomes that `is_sound` does not accept.
fn unsound_outcomes(
    (service, method, prefix): (&str, &str, &str),
    is_named: bool,
    is_sound: impl Fn(&Outcome) -> bool,
) -> Vec<String> {
    let play =
        |host: &Host, servers: &[FakeServer]| call_and_compare(host, servers, method, prefix);
    unsound_plays(service, is_named, play, is_sound)
}

fn unsound_plays(
    service: &str,
    is_named: bool,
    play: impl Fn(&Host, &[FakeServer]) -> Outcome,
    is_sound: impl Fn(&Outcome) -> bool,
) -> Vec<String> {
    let mut unsound = Vec::new();
    for repeat in refusals(is_named) {
        let servers = start_servers(service, repeat);
        let layers = (service == "chat").then_some((0, 16));
        let entries: Vec<(&str, Value)> =
            servers.iter().map(|it| (it.id.as_str(), it.entry(service, layers))).collect();
        let host = Host::start(&entries);
        let outcome = play(&host, &servers);
        if !is_sound(&outcome) {
            unsound.push(format!("{repeat:?}: {outcome}"));
        }
    }
    unsound
}

fn is_sound_order(outcome: &Outcome) -> bool {
    outcome.is_sound() && outcome.ran_twice == 0
}

const ORDERS: (&str, &str, &str) = ("api", "POST", "/order/");

#[test]
fn order_is_not_taken_for_refused_because_an_earlier_refusal_is_repeated() {
    let unsound = unsound_outcomes(ORDERS, true, is_sound_order);
    assert!(unsound.is_empty(), "{unsound:#?}");
}

#[test]
fn order_is_not_taken_for_refused_because_an_earlier_refusal_without_id_is_repeated() {
    let unsound = unsound_outcomes(ORDERS, false, is_sound_order);
    assert!(unsound.is_empty(), "{unsound:#?}");
}

#[test]
fn order_without_id_is_not_taken_for_refused_because_an_earlier_refusal_is_repeated() {
    let play = |host: &Host, servers: &[FakeServer]| {
        compare(servers, "/order/", |path| call_without_id(host, path))
    };
    let unsound = unsound_plays("api", false, play, is_sound_order);
    assert!(unsound.is_empty(), "{unsound:#?}");
}

#[test]
fn idempotent_call_is_not_taken_for_refused_because_an_earlier_refusal_is_repeated() {
    let unsound = unsound_outcomes(("api", "GET", "/read/"), true, Outcome::is_sound);
    assert!(unsound.is_empty(), "{unsound:#?}");
}

#[test]
fn stream_is_not_taken_for_refused_because_an_earlier_refusal_is_repeated() {
    let unsound = unsound_outcomes(("chat", "POST", "/chat/"), true, Outcome::is_sound);
    assert!(unsound.is_empty(), "{unsound:#?}");
}

/// The connection of another host is kept there, and used by requests of several hosts.
#[test]
fn order_over_detour_is_not_taken_for_refused_because_an_earlier_refusal_is_repeated() {
    let mut unsound = Vec::new();
    for repeat in refusals(true) {
        let site = Site::start_with(start_servers("api", repeat), 1);
        site.set_links(&[0, 1], LinkState::Refusing);
        for index in [0, 2] {
            let prefix = format!("/order/{index}-");
            let outcome = call_and_compare(&site.hosts[index], &site.servers, "POST", &prefix);
            if !is_sound_order(&outcome) {
                unsound.push(format!("{repeat:?}: {outcome}"));
            }
        }
    }
    assert!(unsound.is_empty(), "{unsound:#?}");
}

/// Returns another address of a store, at which the answer to each write is preceded by the answer to the write before on
/// the same connection.
fn repeat_write_answers(store: &FakeStore) -> SocketAddr {
    let address = store.address;
    let last_answers: Mutex<BTreeMap<SocketAddr, Message>> = Mutex::default();
    serve_connections(move |request, stream| {
        let (method, target) = (request.start_line_part(0), request.start_line_part(1));
        let Ok(answer) = call(address, method, target, &[], &request.body) else { return false };
        let write = |answer: &Message, stream: &mut _| {
            write_response(stream, answer.status(), &[], &answer.body)
        };
        if method == "GET" {
            return write(&answer, stream);
        }
        let peer = stream.peer_addr().expect("the connection is open");
        let earlier = last_answers.lock().expect("no panic").insert(peer, answer.clone());
        earlier.is_none_or(|earlier| write(&earlier, stream)) && write(&answer, stream)
    })
}

#[test]
fn leadership_is_not_taken_for_renewed_because_an_earlier_answer_is_repeated() {
    let stream = Behavior::Stream { events: REPEATER_EVENTS, is_complete: true };
    let [first, second] = ["s-1", "s-2"].map(|id| FakeServer::start(id, &[stream]));
    let store = FakeStore::start();
    store.put("config", "main", configuration(1));
    store.put("servers", "s-1", first.entry("chat", None));
    let address = repeat_write_answers(&store);
    let host = Host::start_with_store_address(store.clone(), address, "front-hall-a-1");
    host.wait_for("the first order", || !first.orders().is_empty());
    let order = first.orders().remove(0);
    let layer = |name: &str| u32::try_from(order[name].as_u64().expect("a number")).expect("small");
    store.put("servers", "s-1", first.entry("chat", Some((layer("From"), layer("To")))));
    store.put("godwit-layout", "holder", json!({"host": "front-hall-a-2"}));
    let taken_over_at = store.revision("godwit-layout", "holder").expect("it was just written");
    store.put("servers", "s-2", second.entry("chat", None));
    host.wait_for("the second order", || !second.orders().is_empty());
    let fences = second.orders().into_iter().map(|order| order["FencingToken"].as_u64());
    let fences: Vec<_> = fences.collect();
    assert!(fences.iter().all(|fence| *fence > Some(taken_over_at)), "{fences:?}, {taken_over_at}");
}

/// Number of events after which the first run of a stream breaks off.
const CUT_EVENT: u64 = 2;

/// What a server that refuses each stream once has seen.
#[derive(Default)]
struct RefusedOnce {
    refused: BTreeSet<String>,
    /// Refusals that are not yet written once more, by the peer of their connection.
    pending: BTreeMap<SocketAddr, String>,
    /// Number of streams sent whole.
    answered: usize,
}

/// Returns the address of a server that refuses each stream once and sends it whole the second time. Ahead of that it writes
/// the refusal once more, under its id, on a connection on which it has refused.
fn refuse_once(seen: &Arc<Mutex<RefusedOnce>>) -> SocketAddr {
    let seen = seen.clone();
    serve_connections(move |request, stream| {
        let Some(id) = request.header("godwitdeal-request-id") else {
            return write_response(stream, 200, &[], b"{\"Sequence\": 0}");
        };
        let mut seen = seen.lock().expect("no panic");
        let peer = stream.peer_addr().expect("the connection is open");
        let refuse = |id: &str, stream: &mut _| {
            let headers = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Not-Executed", "1")];
            write_response(stream, 503, &headers, b"")
        };
        if seen.refused.insert(id.to_string()) {
            seen.pending.insert(peer, id.to_string());
            return refuse(id, stream);
        }
        if let Some(refused) = seen.pending.remove(&peer)
            && !refuse(&refused, stream)
        {
            return false;
        }
        seen.answered += 1;
        let events: String = (last_event_id(request) + 1..=REPEATER_EVENTS).map(event).collect();
        let stamp = ("Godwitdeal-Response-Stamp", "s-1");
        let media_type = ("Content-Type", "text/event-stream");
        let headers = [("Godwitdeal-Request-Id", id), stamp, media_type];
        write_response(stream, 200, &headers, events.as_bytes())
    })
}

#[test]
fn resumed_stream_is_not_taken_for_refused_because_its_earlier_refusal_is_repeated() {
    let seen = Arc::default();
    let refusing = server_entry(refuse_once(&seen), "chat", Some((0, 16)));
    let cut = Behavior::Stream { events: CUT_EVENT, is_complete: false };
    let cutting = FakeServer::start("s-2", &[cut]);
    let host = Host::start(&[("s-1", refusing), ("s-2", cutting.entry("chat", Some((0, 16))))]);
    let mut whole = 0;
    host.wait_for("streams that are resumed at the server that has refused them", || {
        let response = host.call("POST", "/chat/1", b"hello");
        whole += usize::from(response.is_ok_and(|response| {
            response.text() == (1..=REPEATER_EVENTS).map(event).collect::<String>()
        }));
        seen.lock().expect("no panic").answered >= 5
    });
    assert_eq!(whole, seen.lock().expect("no panic").answered, "streams whole and sent");
}

/// Returns the address of a server that answers the first request on each connection and refuses the others without their id.
fn refuse_unnamed_on_kept_connections(name: &'static str) -> SocketAddr {
    let served: Mutex<BTreeSet<SocketAddr>> = Mutex::default();
    serve_connections(move |request, stream| {
        let id = request.header("godwitdeal-request-id").unwrap_or_default();
        let peer = stream.peer_addr().expect("the connection is open");
        if served.lock().expect("no panic").insert(peer) {
            let headers = [("Godwitdeal-Request-Id", id), ("Godwitdeal-Response-Stamp", name)];
            return write_response(stream, 200, &headers, name.as_bytes());
        }
        write_response(stream, 503, &[("Godwitdeal-Not-Executed", "1")], b"")
    })
}

#[test]
fn order_refused_without_its_id_neither_waits_out_its_deadline_nor_ejects_the_server() {
    let address = refuse_unnamed_on_kept_connections("s-1");
    let host = Host::start(&[("s-1", server_entry(address, "api", None))]);
    for _ in 0..3 {
        assert_eq!(host.call("POST", "/order/1", b"").expect("answered").status(), 200);
        let refused = host.call("POST", "/order/1", b"").expect("answered");
        assert_eq!(refused.status(), 502);
        assert!(refused.text().contains("outcome_unknown"), "{refused:?}");
    }
}

#[test]
fn call_refused_without_its_id_is_sent_to_another_server() {
    let refusing = server_entry(refuse_unnamed_on_kept_connections("s-1"), "api", None);
    let other = FakeServer::start("s-2", &[Behavior::Respond]);
    let host = Host::start(&[("s-1", refusing), ("s-2", other.entry("api", None))]);
    for _ in 0..16 {
        assert_eq!(host.call("GET", "/read/1", b"").expect("answered").status(), 200);
    }
}
