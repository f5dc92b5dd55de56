//! Streams that break in unusual ways, and resumed runs that do not go on at the token that is due.

use godwit_host::dispatch::Outcome;

use crate::engines::{
    TOKENS, address, executed_positions, expected_answer, run, run_request, start_whole_engine,
};
use crate::scripted::{CHUNKED, NO_LENGTH, chunk, done, line, lines, scripted_engine};
use crate::support::{DispatchFixture, ListSource};

/// Number of tokens that a first run sends before it breaks.
const SENT: u32 = 5;

/// Lines of tokens `[from, to)` of another answer, and its end.
fn other_answer(attempt: u32, from: u32, to: u32) -> String {
    let lines: String =
        (from..to).map(|position| line(attempt, position, &format!("other{position}"))).collect();
    lines + &done(attempt, to)
}

fn first_run_cut() -> String {
    format!("{CHUNKED}{}", chunk(&lines(1, 0, SENT)))
}

/// A first run that the engine ends with an error, so that no server counts as lost.
fn first_run_failed() -> String {
    let error = format!("{{\"kind\":\"error\",\"attempt\":1,\"position\":{SENT}}}\n");
    format!("{CHUNKED}{}0\r\n\r\n", chunk(&(lines(1, 0, SENT) + &error)))
}

/// Runs a request on engines with these responses, in order, and then on a whole engine, which must complete it.
#[track_caller]
fn assert_completed_after(case: &str, responses: &[String]) {
    let whole = start_whole_engine("whole");
    let names: Vec<String> = (0..responses.len()).map(|index| format!("s{index}")).collect();
    let addresses: Vec<String> = responses.iter().cloned().map(scripted_engine).collect();
    let mut servers: Vec<(&str, &str)> =
        names.iter().zip(&addresses).map(|(name, at)| (name.as_str(), at.as_str())).collect();
    let whole_address = address(&whole);
    servers.push(("whole", &whole_address));
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &ListSource::new(&servers));
    let called: Vec<&str> = run.report.attempts.iter().flatten().map(String::as_str).collect();
    let outcomes = fixture.recorder.outcomes();
    let names: Vec<&str> = servers.iter().map(|(name, _)| *name).collect();
    assert_eq!(called, names, "{case}: {:?} {outcomes:?}", run.outcome);
    assert!(matches!(run.outcome, Outcome::Answered { .. }), "{case}: {:?}", run.outcome);
    assert_eq!(tokens, expected_answer(), "{case}");
    assert_eq!(executed_positions(&whole), (SENT..TOKENS).collect::<Vec<_>>(), "{case}");
}

#[test]
fn generate_resumes_after_body_that_ends_within_event() {
    let sent = lines(1, 0, SENT);
    let due = lines(1, SENT, SENT + 1);
    let part = &due[..due.len() / 2];
    let unterminated = due.trim_end();
    let ended = format!("{sent}{part}");
    assert_completed_after(
        "last chunk within an event",
        &[format!("{CHUNKED}{}0\r\n\r\n", chunk(&ended))],
    );
    assert_completed_after(
        "length within an event",
        &[format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{ended}", ended.len())],
    );
    assert_completed_after("no length, end within an event", &[format!("{NO_LENGTH}{ended}")]);
    assert_completed_after(
        "no length, end before the newline",
        &[format!("{NO_LENGTH}{sent}{unterminated}")],
    );
}

#[test]
fn generate_after_head_that_is_cut_is_no_answer() {
    for head in [CHUNKED, NO_LENGTH] {
        for bytes in 0..head.len() {
            let engine = scripted_engine(head[..bytes].to_string());
            let (run, tokens) = run(&DispatchFixture::new(), &ListSource::new(&[("s0", &engine)]));
            let is_answered = matches!(run.outcome, Outcome::Answered { .. });
            assert!(!is_answered, "{:?}: {:?}", &head[..bytes], run.outcome);
            assert!(tokens.is_empty(), "{:?}: {tokens:?}", &head[..bytes]);
        }
    }
}

#[test]
fn generate_resumes_after_body_without_length_that_ends_between_events() {
    assert_completed_after("no length", &[format!("{NO_LENGTH}{}", lines(1, 0, SENT))]);
    let framed = format!("{CHUNKED}{}0\r\n\r\n", chunk(&lines(1, 0, SENT)));
    assert_completed_after("last chunk", &[framed]);
}

#[test]
fn generate_resumes_after_other_answer_within_stream() {
    let error = "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nfault";
    let due = lines(1, SENT, SENT + 1);
    let part = &due[..due.len() / 2];
    for stray in [error.to_string(), format!("{part}{error}"), format!("{part}{due}")] {
        assert_completed_after(
            "within a chunk",
            &[format!("{CHUNKED}{}{}", chunk(&lines(1, 0, SENT)), chunk(&stray))],
        );
        assert_completed_after(
            "instead of a chunk",
            &[format!("{CHUNKED}{}{stray}", chunk(&lines(1, 0, SENT)))],
        );
    }
}

#[test]
fn generate_skips_resumed_run_that_is_no_stream() {
    let second = |response: &str| [first_run_cut(), response.to_string()];
    let page = "<html>not found</html>\n";
    for status in ["200 OK", "204 No Content", "302 Found", "404 Not Found", "500 Error"] {
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{page}", page.len());
        assert_completed_after(status, &second(&response));
    }
    let refusal = r#"{"reason":"busy","message":"queue is full"}"#;
    let with_length = format!("Content-Length: {}\r\n\r\n{refusal}", refusal.len());
    assert_completed_after("refusal", &second(&format!("HTTP/1.1 503 Busy\r\n{with_length}")));
    // Nothing tells these from the answer of a server that ended, and a second loss would quarantine the request.
    let refusal_as_stream = format!("HTTP/1.1 200 OK\r\n{with_length}");
    for response in [refusal_as_stream.as_str(), "fault\n", ""] {
        assert_completed_after(response, &[first_run_failed(), response.to_string()]);
    }
}

#[test]
fn generate_skips_resumed_run_that_begins_later() {
    let later = lines(2, SENT + 2, TOKENS) + &done(2, TOKENS);
    assert_completed_after("later", &[first_run_cut(), format!("{CHUNKED}{}", chunk(&later))]);
    let ended = done(2, TOKENS);
    assert_completed_after(
        "only the end",
        &[first_run_cut(), format!("{CHUNKED}{}", chunk(&ended))],
    );
    let of_other_attempt = lines(1, SENT, TOKENS) + &done(1, TOKENS);
    assert_completed_after(
        "of the first attempt",
        &[first_run_cut(), format!("{CHUNKED}{}", chunk(&of_other_attempt))],
    );
}

#[test]
fn generate_skips_resumed_run_that_repeats_other_text() {
    let other = other_answer(2, 0, TOKENS);
    assert_completed_after("other text", &[first_run_cut(), format!("{CHUNKED}{}", chunk(&other))]);
}

#[test]
fn generate_resumed_run_that_repeats_same_text_completes() {
    let repeated = lines(2, 0, TOKENS) + &done(2, TOKENS);
    let addresses =
        [first_run_cut(), format!("{CHUNKED}{}", chunk(&repeated))].map(scripted_engine);
    let source = ListSource::new(&[("s0", &addresses[0]), ("s1", &addresses[1])]);
    let fixture = DispatchFixture::new();
    let (run, tokens) = run(&fixture, &source);
    let outcomes = fixture.recorder.outcomes();
    assert!(matches!(run.outcome, Outcome::Answered { .. }), "{:?} {outcomes:?}", run.outcome);
    assert_eq!(tokens, expected_answer());
}

#[test]
fn generate_refusal_without_its_status_has_unknown_outcome() {
    let refusal = r#"{"reason":"busy","message":"queue is full"}"#;
    for head in ["garbled", "HTTP/1.1 OK", "HTTP/1.1 202 Accepted"] {
        let response = format!("{head}\r\nContent-Length: {}\r\n\r\n{refusal}", refusal.len());
        let other = start_whole_engine("other");
        let (scripted, whole) = (scripted_engine(response), address(&other));
        let source = ListSource::new(&[("s0", &scripted), ("other", &whole)]);
        let (run, _) = run_request(&DispatchFixture::new(), &source, true);
        assert!(matches!(run.outcome, Outcome::Unknown(_)), "{head}: {:?}", run.outcome);
        assert!(other.journal().is_empty(), "{head}: ran twice");
    }
}
