//! Generated exchanges of two runs that break, and a third that is sound. Guards against callers that have anything but a
//! prefix of whole events of what was sent, or a part of it that counts as complete.

use std::sync::{Arc, Mutex};

use godwit_host::dispatch::Outcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::engines::{TOKENS, expected_answer, run};
use crate::scripted::{CHUNKED, NO_LENGTH, chunk, done, line, lines, responding_engine};
use crate::support::{DispatchFixture, ListSource};

/// Number of generated cases; set `EXCHANGE_CASES` for more.
const CASES: u32 = 256;
const SEED: u64 = 0xE7C4;
/// An attempt that no request of these tests has.
const OTHER_ATTEMPT: u32 = 9;

/// Sound piece of some exchange, from its beginning or from one of its events.
#[derive(Clone, Debug)]
enum Piece {
    /// Tokens `[from, to)` of this run, with its end if there are no more.
    OwnRun { from: u32, to: u32 },
    /// Tokens `[from, to)` of another answer, with its end.
    OtherRun { from: u32, to: u32 },
    /// End of this run, without its tokens.
    Done,
    /// Error event of this run.
    Error,
    /// Another response, with its head.
    Response { status: u16 },
    /// Refusal without its head.
    Refusal,
    /// Text of an error page.
    Page,
}

/// Piece of an exchange of which only the first `kept` thousandths of the bytes are sent.
#[derive(Clone, Debug)]
struct Cut {
    piece: Piece,
    kept: usize,
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked {
        chunk_bytes: usize,
        is_ended: bool,
    },
    Length {
        missing_bytes: usize,
    },
    UntilClose,
    /// No head at all.
    Bare,
    Refusal {
        status: u16,
    },
}

#[derive(Clone, Debug)]
struct Exchange {
    framing: Framing,
    cuts: Vec<Cut>,
}

const REFUSAL: &str = r#"{"reason":"busy","message":"queue is full"}"#;

impl Piece {
    fn text(&self, own_attempt: u32) -> String {
        let own_end = |to| if to == TOKENS { done(own_attempt, to) } else { String::new() };
        match self {
            Piece::OwnRun { from, to } => lines(own_attempt, *from, *to) + &own_end(*to),
            Piece::OtherRun { from, to } => {
                let other = |position| line(OTHER_ATTEMPT, position, "other");
                (*from..*to).map(other).chain([done(OTHER_ATTEMPT, *to)]).collect()
            }
            Piece::Done => done(own_attempt, TOKENS),
            Piece::Error => {
                format!("{{\"kind\":\"error\",\"attempt\":{own_attempt},\"position\":0}}\n")
            }
            Piece::Response { status } => format!(
                "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n{REFUSAL}",
                REFUSAL.len()
            ),
            Piece::Refusal => format!("{REFUSAL}\n"),
            Piece::Page => "<html>fault</html>\n".to_string(),
        }
    }
}

impl Exchange {
    fn response(&self, own_attempt: u32) -> String {
        let body: String = self.cuts.iter().map(|cut| cut.text(own_attempt)).collect();
        match self.framing {
            Framing::Chunked { chunk_bytes, is_ended } => {
                let chunks = body.as_bytes().chunks(chunk_bytes);
                let chunks: String =
                    chunks.map(|bytes| chunk(std::str::from_utf8(bytes).unwrap())).collect();
                let end = if is_ended { "0\r\n\r\n" } else { "" };
                format!("{CHUNKED}{chunks}{end}")
            }
            Framing::Length { missing_bytes } => {
                let length = body.len() + missing_bytes;
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
            }
            Framing::UntilClose => format!("{NO_LENGTH}{body}"),
            Framing::Bare => body,
            Framing::Refusal { status } => {
                format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
        }
    }
}

impl Cut {
    fn text(&self, own_attempt: u32) -> String {
        let mut text = self.piece.text(own_attempt);
        text.truncate(text.len() * self.kept / 1_000);
        text
    }
}

fn piece() -> impl Strategy<Value = Piece> {
    let range = || (0..TOKENS, 0..=TOKENS).prop_map(|(a, b)| (a.min(b), a.max(b)));
    prop_oneof![
        6 => range().prop_map(|(from, to)| Piece::OwnRun { from, to }),
        2 => Just(Piece::OwnRun { from: 0, to: TOKENS }),
        2 => range().prop_map(|(from, to)| Piece::OtherRun { from, to }),
        1 => Just(Piece::Done),
        1 => Just(Piece::Error),
        1 => prop::sample::select(vec![200, 404, 500, 503])
            .prop_map(|status| Piece::Response { status }),
        1 => Just(Piece::Refusal),
        1 => Just(Piece::Page),
    ]
}

fn cut() -> impl Strategy<Value = Cut> {
    let kept = prop_oneof![2 => Just(1_000_usize), 3 => 0..1_000_usize];
    (piece(), kept).prop_map(|(piece, kept)| Cut { piece, kept })
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let framing = prop_oneof![
        4 => (1..400_usize, any::<bool>())
            .prop_map(|(chunk_bytes, is_ended)| Framing::Chunked { chunk_bytes, is_ended }),
        2 => prop_oneof![Just(0_usize), 1..400_usize]
            .prop_map(|missing_bytes| Framing::Length { missing_bytes }),
        2 => Just(Framing::UntilClose),
        1 => Just(Framing::Bare),
        1 => prop::sample::select(vec![204, 302, 404, 500, 503])
            .prop_map(|status| Framing::Refusal { status }),
    ];
    // An end by an error is no loss of the server, of which two would quarantine the request before the next run.
    (framing, prop::collection::vec(cut(), 0..4), prop::bool::weighted(0.7)).prop_map(
        |(framing, mut cuts, is_failed)| {
            cuts.extend(is_failed.then_some(Cut { piece: Piece::Error, kept: 1_000 }));
            Exchange { framing, cuts }
        },
    )
}

/// Attempt of a generate call.
fn attempt(request: &str) -> u32 {
    let (_, body) = request.split_once("\r\n\r\n").unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    u32::try_from(body["attempt"].as_u64().unwrap()).unwrap()
}

/// Starts an engine that answers by what `exchange` holds at the time.
fn engine(exchange: &Arc<Mutex<Exchange>>) -> String {
    let exchange = exchange.clone();
    responding_engine(move |request| exchange.lock().unwrap().response(attempt(request)))
}

#[test]
fn generate_of_broken_exchanges_yields_a_prefix() {
    let cases = std::env::var("EXCHANGE_CASES").map_or(CASES, |cases| cases.parse().unwrap());
    let sound = Exchange {
        framing: Framing::Chunked { chunk_bytes: 100, is_ended: true },
        cuts: vec![Cut { piece: Piece::OwnRun { from: 0, to: TOKENS }, kept: 1_000 }],
    };
    let exchanges: [Arc<Mutex<Exchange>>; 3] =
        std::array::from_fn(|_| Arc::new(Mutex::new(sound.clone())));
    let addresses = exchanges.each_ref().map(engine);
    let names = ["s0", "s1", "s2"];
    let servers: Vec<(&str, &str)> =
        names.iter().zip(&addresses).map(|(name, address)| (*name, address.as_str())).collect();
    let expected = expected_answer();
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let ends = Mutex::new([0_u32; 2]);
    let result = TestRunner::new(config).run(&(exchange(), exchange()), |(first, second)| {
        *exchanges[0].lock().unwrap() = first;
        *exchanges[1].lock().unwrap() = second;
        let (run, tokens) = run(&DispatchFixture::new(), &ListSource::new(&servers));
        prop_assert!(expected.starts_with(&tokens), "{tokens:?}");
        let is_complete = matches!(run.outcome, Outcome::Answered { .. });
        prop_assert!(!is_complete || tokens == expected, "complete with {tokens:?}");
        ends.lock().unwrap()[usize::from(is_complete)] += 1;
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    let [incomplete, complete] = *ends.lock().unwrap();
    eprintln!("{complete} complete, {incomplete} incomplete");
    assert!(complete > 0 && incomplete > 0, "one of the ends is not tested");
}
