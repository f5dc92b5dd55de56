//! What must hold whatever fails, judged by what callers and servers saw.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::callers::{Asked, Record};
use crate::server::{Manner, Server};

/// Time before a request in which a fault may still explain what becomes of it.
const FAULT_SHADOW: Duration = Duration::from_secs(4);

/// Events of a whole stream.
pub(super) const EVENTS: u64 = 30;

/// Servers that a route lets one request run at.
const MAX_RUNS: usize = 2;

/// Runs of each request: the server and the manner of its answer.
pub(super) struct Runs(BTreeMap<String, Vec<(String, Manner)>>);

impl Runs {
    pub(super) fn of(servers: &[Server]) -> Runs {
        let mut runs: BTreeMap<String, Vec<(String, Manner)>> = BTreeMap::new();
        for server in servers {
            for (request, manner) in server.handled() {
                if manner != Manner::Full {
                    let id = request.header("godwitdeal-request-id").unwrap_or_default();
                    runs.entry(id.to_string()).or_default().push((server.id.clone(), manner));
                }
            }
        }
        Runs(runs)
    }

    fn get(&self, id: &str) -> &[(String, Manner)] {
        self.0.get(id).map_or(&[], Vec::as_slice)
    }
}

/// Times at which unplanned faults were at work.
#[derive(Default)]
pub(super) struct Faults(pub(super) Vec<(Instant, Instant)>);

impl Faults {
    fn touch(&self, record: &Record) -> bool {
        let overlaps = |(from, to): &(Instant, Instant)| {
            *from <= record.ended && record.sent <= *to + FAULT_SHADOW
        };
        self.0.iter().any(overlaps)
    }
}

fn is_clean(manner: Manner) -> bool {
    matches!(manner, Manner::Answer | Manner::Stream { is_whole: true, .. })
}

/// Numbers of the pieces that came, and whether all came whole and in order.
fn pieces_in_order(text: &str) -> (u64, bool) {
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    let is_expected = |(index, event): (usize, &&str)| {
        let number = index + 1;
        **event == format!("id: {number}\ndata: piece {number}")
    };
    (events.len() as u64, events.iter().enumerate().all(is_expected))
}

/// Promises that one request shows to be broken.
fn judge(record: &Record, runs: &[(String, Manner)], is_calm: bool) -> Vec<&'static str> {
    let mut broken = Vec::new();
    let mut expect = |holds: bool, promise: &'static str| {
        if !holds {
            broken.push(promise);
        }
    };
    let servers: BTreeSet<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
    expect(servers.len() <= MAX_RUNS, "runs at no more servers than the route allows");
    if record.asked == Asked::Order {
        expect(runs.len() <= 1, "runs once at most");
    }
    if record.asked == Asked::UnknownKey {
        expect(runs.is_empty(), "does not run without a known key");
        expect(matches!(record.status(), 0 | 401 | 503), "an unknown key is rejected");
        return broken;
    }
    if matches!(record.status(), 408 | 421 | 429 | 503) && record.asked == Asked::Order {
        expect(runs.is_empty(), "a refusal means not run");
    }
    let may_be_unknown = matches!(record.asked, Asked::Version(_)) && record.status() == 404;
    let is_denied = matches!(record.status(), 401 | 404) && !may_be_unknown;
    expect(!is_denied, "a known key and route are known");
    let is_success = record.status() == 200 && record.is_complete;
    let text = record.text();
    if record.asked == Asked::Stream && record.status() == 200 {
        let (count, is_in_order) = pieces_in_order(&text);
        expect(is_in_order, "pieces come once and in order");
        expect(!is_success || count == EVENTS, "a stream that ends as whole is whole");
    } else if is_success {
        let stamp = record
            .answer
            .as_ref()
            .and_then(|answer| answer.header("godwitdeal-response-stamp").map(str::to_string));
        expect(Some(text.as_str()) == stamp.as_deref(), "the body is the server's");
        expect(servers.contains(text.as_str()), "the answer is of a server that ran it");
        let own_id = record.answer.as_ref().and_then(|it| it.header("godwitdeal-request-id"));
        expect(own_id == Some(record.id.as_str()), "the answer belongs to the request");
    }
    let ran_clean = !runs.is_empty() && runs.iter().all(|(_, manner)| is_clean(*manner));
    if is_calm && ran_clean && record.is_sent {
        expect(record.is_complete, "planned work cuts no request that a server ran");
        expect(record.status() == 200, "planned work replaces no answer by a failure");
    }
    broken
}

/// All promises that were broken, with the request that shows it.
pub(super) fn broken_promises(records: &[Record], runs: &Runs, faults: &Faults) -> Vec<String> {
    let mut all = Vec::new();
    for record in records {
        let of_request = runs.get(&record.id);
        for promise in judge(record, of_request, !faults.touch(record)) {
            all.push(format!("{promise}: {record}, runs {of_request:?}"));
        }
    }
    let known: BTreeSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
    let unasked = runs.0.keys().filter(|id| !known.contains(id.as_str()));
    all.extend(unasked.map(|id| format!("a request that nobody sent ran: {id}")));
    all
}
