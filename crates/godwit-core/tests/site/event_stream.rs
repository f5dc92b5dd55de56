//! Events of a stream over several runs: no caller has anything but a prefix of the whole events that were sent.

use godwit_core::site::{Broken, EventStream, MAX_BYTES_WITHOUT_EVENT, OpenStream, StreamBreak};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn push(open: OpenStream, bytes: &str) -> (String, Result<OpenStream, EventStream<Broken>>) {
    let pushed = open.push(bytes.as_bytes());
    (String::from_utf8(pushed.events).expect("whole events are text"), pushed.next)
}

/// Returns a stream that was broken after events with these ids.
fn broken_after(ids: &[u64]) -> EventStream<Broken> {
    let events: String = ids.iter().map(|id| event(*id)).collect();
    push(EventStream::begin(None), &events).1.expect("sound").break_off()
}

fn cause(run: Result<OpenStream, EventStream<Broken>>) -> Option<StreamBreak> {
    run.err().map(|broken| broken.cause())
}

#[test]
fn events_of_a_piece_survive_a_break_in_it() {
    let bytes = format!("{}HTTP/1.1 500 X\r\nx: y\r\n\r\n", event(1));
    let (events, run) = push(EventStream::begin(None), &bytes);
    assert_eq!((events, cause(run)), (event(1), Some(StreamBreak::NotAnEvent)));
    let long = event(1) + "data: " + &"x".repeat(MAX_BYTES_WITHOUT_EVENT);
    let (events, run) = push(EventStream::begin(None), &long);
    assert_eq!((events, cause(run)), (event(1), Some(StreamBreak::TooLong)));
}

#[test]
fn resumed_run_begins_at_the_event_due() {
    for (sent, first, late) in [
        (&[6_u64, 7][..], 8, None),
        (&[6, 7], 9, Some(StreamBreak::Late { id: 9, due: 8 })),
        (&[7], 9, Some(StreamBreak::Late { id: 9, due: 8 })),
        (&[4, 7, 8], 11, None),
        (&[4, 7, 8], 12, Some(StreamBreak::Late { id: 12, due: 11 })),
    ] {
        let resumed = broken_after(sent).resume().expect("numbered");
        let (events, run) = push(resumed, &event(first));
        assert_eq!(cause(run), late, "{sent:?}, then {first}");
        assert_eq!(events, if late.is_none() { event(first) } else { String::new() });
    }
}

#[test]
fn resumed_run_must_bring_the_event_that_had_begun() {
    let (_, run) = push(EventStream::begin(None), &(event(1) + "id: 2\nda"));
    let resumed = run.expect("sound").break_off().resume().expect("numbered");
    let empty = resumed.end_of_body().expect_err("an event is missing");
    assert_eq!(empty.cause(), StreamBreak::Missing);
    let (events, run) = push(empty.resume().expect("numbered"), &(event(1) + &event(2)));
    assert_eq!(events, event(2));
    assert!(run.expect("sound").end_of_body().is_ok());
    let (_, run) = push(EventStream::begin(None), &(event(1) + "no server"));
    let resumed = run.expect("sound").break_off().resume().expect("numbered");
    assert!(resumed.end_of_body().is_ok(), "no event had begun");
}

#[test]
fn resumed_run_opens_with_an_id_after_comments() {
    let resumed = broken_after(&[1, 2]).resume().expect("numbered");
    let (events, run) = push(resumed, &format!(": again\n\n\n{}{}", event(2), event(3)));
    assert_eq!((events, cause(run)), (event(3), None));
    let resumed = broken_after(&[1, 2]).resume().expect("numbered");
    let (events, run) = push(resumed, &format!("data: again\n\n{}", event(3)));
    assert_eq!((events.as_str(), cause(run)), ("", Some(StreamBreak::NoId)));
}

#[test]
fn events_without_ids_are_not_resumed() {
    let (events, run) = push(EventStream::begin(None), &format!("{}data: more\n\n", event(1)));
    assert_eq!(events, format!("{}data: more\n\n", event(1)));
    assert!(run.expect("sound").break_off().resume().is_err());
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let events = event(1).replace('\n', "\r\n") + ": still here\r\n\r\n" + &event(2);
    for cut in 0..events.len() {
        let (first, run) = push(EventStream::begin(None), &events[..cut]);
        let (second, run) = push(run.expect("sound"), &events[cut..]);
        assert_eq!(first + &second, events, "cut at {cut}");
        assert!(run.expect("sound").end_of_body().is_ok());
    }
}

/// One run of a server that is asked for the events after an id, and how it deviates from a sound one.
#[derive(Clone, Debug)]
struct Run {
    /// Number of events that it repeats.
    repeated: u64,
    /// Number of events that it leaves out at its start.
    skipped: u64,
    /// Bytes of the sound rest after which its body ends; all if there are fewer.
    bytes: usize,
    /// What it sends ahead of its events, and after them if it sends them all.
    before: &'static str,
    after: &'static str,
    /// Length of the pieces in which it arrives.
    piece: usize,
    /// Whether its end is that of a body, rather than of its connection.
    is_framed: bool,
}

/// Lines up to a blank one that are no event with an id.
fn block() -> impl Strategy<Value = &'static str> {
    prop_oneof![
        10 => Just(""),
        1 => Just(": comment\n\n"),
        1 => Just("\n"),
        1 => Just("HTTP/1.1 500 X\r\nx: y\r\n\r\n"),
        1 => Just("no server\n\n"),
    ]
}

/// What may follow the last whole event of a body.
fn rest() -> impl Strategy<Value = &'static str> {
    prop_oneof![
        4 => block(),
        1 => Just("HTTP/1.1 500 X\r\ncontent-length: 9\r\n\r\nno server"),
        1 => Just("{\"error\": \"no server\"}"),
    ]
}

prop_compose! {
    fn run()(
        repeated in prop_oneof![3 => Just(0), 1 => 0..9_u64],
        skipped in prop_oneof![3 => Just(0), 1 => 0..4_u64],
        bytes in prop_oneof![1 => 0..200_usize, 1 => Just(usize::MAX)],
        before in block(),
        after in rest(),
        piece in 1..60_usize,
        is_framed: bool,
    ) -> Run {
        Run { repeated, skipped, bytes, before, after, piece, is_framed }
    }
}

/// The text of a comment, which may stand between any two events.
const IGNORED: [&str; 2] = [": comment\n\n", "\n"];

/// Returns the events that a caller has, without comments between them.
fn events_of(text: &str) -> String {
    let mut rest = text;
    let mut events = String::new();
    while !rest.is_empty() {
        if let Some(after) = IGNORED.iter().find_map(|ignored| rest.strip_prefix(ignored)) {
            rest = after;
            continue;
        }
        let end = rest.find("\n\n").map_or(rest.len(), |at| at + 2);
        events.push_str(&rest[..end]);
        rest = &rest[end..];
    }
    events
}

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Incomplete,
    /// Complete after a run that sent all events that were left.
    Complete,
    /// Complete after a run whose body left events out and ended between two, which nothing tells from a sound end.
    CompleteEarly,
}

/// Relays runs one after the other as a host does. Returns what the caller has.
fn relay(ids: &[u64], runs: &[Run]) -> (String, End) {
    let mut received = String::new();
    let mut open = EventStream::begin(None);
    for run in runs {
        let known = ids.iter().filter(|id| Some(**id) <= open.last_event_id()).count();
        // Nothing tells which event is due first.
        let skipped = if known == 0 { 0 } else { run.skipped as usize };
        let start = known.saturating_sub(run.repeated as usize) + skipped;
        let mut sent: String = ids.iter().skip(start).map(|id| event(*id)).collect();
        let is_cut = run.bytes < sent.len();
        sent.truncate(run.bytes);
        let sent = format!("{}{sent}{}", run.before, if is_cut { "" } else { run.after });
        let mut state = Ok(open);
        for piece in sent.as_bytes().chunks(run.piece) {
            state = match state {
                Ok(open) => {
                    let pushed = open.push(piece);
                    received += std::str::from_utf8(&pushed.events).expect("whole events are text");
                    pushed.next
                }
                broken => broken,
            };
        }
        let ended = match state {
            Ok(open) if run.is_framed => open.end_of_body(),
            Ok(open) => Err(open.break_off()),
            Err(broken) => Err(broken),
        };
        open = match ended {
            Ok(ended) => {
                ended.complete();
                let leaves_out = is_cut || start > known;
                return (received, if leaves_out { End::CompleteEarly } else { End::Complete });
            }
            Err(broken) => match broken.resume() {
                Ok(resumed) => resumed,
                Err(_) => return (received, End::Incomplete),
            },
        };
    }
    (received, End::Incomplete)
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60D7),
        failure_persistence: None,
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(256),
        ..Config::default()
    })]

    #[test]
    fn caller_has_a_prefix_of_whole_events(
        count in 1..12_u64,
        step in 1..4_u64,
        runs in prop::collection::vec(run(), 1..5),
    ) {
        let ids: Vec<u64> = (1..=count).map(|number| number * step).collect();
        let whole: String = ids.iter().map(|id| event(*id)).collect();
        let (received, end) = relay(&ids, &runs);
        let events = events_of(&received);
        prop_assert!(whole.starts_with(&events), "{received:?}");
        prop_assert!(events.is_empty() || events.ends_with("\n\n"), "{received:?}");
        if end == End::Complete {
            prop_assert_eq!(events, whole);
        }
    }
}
