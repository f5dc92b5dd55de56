//! What tells the end of a response, and what does not.

use godwit_framing::{
    Framing, FramingError, chunk_size, is_field, is_interim, parse_digits, response_framing,
};

fn framing_of(status: u16, headers: &[(&str, &str)]) -> Result<Framing, FramingError> {
    let headers = headers.iter().map(|(name, value)| (*name, value.as_bytes()));
    response_framing(status, false, headers)
}

#[test]
fn parse_digits_reads_digits_alone() {
    assert_eq!(parse_digits("0"), Some(0));
    assert_eq!(parse_digits("0021"), Some(21));
    assert_eq!(parse_digits("18446744073709551615"), Some(u64::MAX));
    let odd = ["", "+1", "-1", " 1", "1 ", "1_0", "1.0", "0x1", "a", "\u{662}", "\u{a0}1"];
    for text in odd.into_iter().chain(["18446744073709551616"]) {
        assert_eq!(parse_digits(text), None, "{text:?}");
    }
}

#[test]
fn is_interim_knows_the_statuses_that_exist() {
    for status in 0..=1_000 {
        let expected = match status {
            100..=199 => Ok(true),
            200..=599 => Ok(false),
            _ => Err(FramingError::Status),
        };
        assert_eq!(is_interim(status), expected, "{status}");
    }
}

#[test]
fn response_framing_reads_lengths_and_encodings() {
    let length = ("Content-Length", " 21\t");
    assert_eq!(framing_of(200, &[length]), Ok(Framing::Length(21)));
    assert_eq!(framing_of(200, &[length, ("content-length", "21")]), Ok(Framing::Length(21)));
    assert_eq!(framing_of(500, &[("transfer-encoding", "Chunked")]), Ok(Framing::Chunked));
    assert_eq!(framing_of(200, &[]), Ok(Framing::UntilClose));
}

#[test]
fn response_framing_rejects_contradictions() {
    let (length, chunked) = (("content-length", "21"), ("transfer-encoding", "chunked"));
    assert_eq!(framing_of(200, &[length, chunked]), Err(FramingError::Contradiction));
    let other_length = ("content-length", "22");
    assert_eq!(framing_of(200, &[length, other_length]), Err(FramingError::Contradiction));
    assert_eq!(framing_of(200, &[chunked, chunked]), Err(FramingError::Encoding));
    assert_eq!(framing_of(204, &[length]), Err(FramingError::Contradiction));
    assert_eq!(framing_of(204, &[chunked]), Err(FramingError::Contradiction));
}

#[test]
fn response_framing_without_body_reads_the_length_of_what_is_left_out() {
    let length = ("content-length", "21");
    assert_eq!(framing_of(304, &[length]), Ok(Framing::Length(0)));
    assert_eq!(framing_of(304, &[("content-length", "+21")]), Err(FramingError::Length));
    assert_eq!(framing_of(204, &[]), Ok(Framing::Length(0)));
    assert_eq!(framing_of(204, &[("content-length", "0")]), Ok(Framing::Length(0)));
    let to_head = response_framing(200, true, [("content-length", &b"21"[..])].into_iter());
    assert_eq!(to_head, Ok(Framing::Length(0)));
}

#[test]
fn chunk_size_reads_hexadecimal_digits() {
    for (line, size) in [("0", 0), ("1F", 31), ("00a", 10), ("5 \t", 5), ("5;x=y", 5), ("5 ;x", 5)]
    {
        assert_eq!(chunk_size(line.as_bytes()), Some(size), "{line:?}");
    }
    let odd = ["", "+0", "-0", " 0", "0x0", "0 0", ";0", "\u{a0}0", "0\u{3000}", "\u{b}0", "g"];
    for line in odd.into_iter().chain(["10000000000000000"]) {
        assert_eq!(chunk_size(line.as_bytes()), None, "{line:?}");
    }
    assert_eq!(chunk_size(b"0\xff"), None);
}

#[test]
fn is_field_takes_a_name_and_a_value() {
    for line in ["x: y", "x:", "x-y:z", "X: \u{e9}"] {
        assert!(is_field(line.as_bytes()), "{line:?}");
    }
    for line in ["", "x", "x y: z", "x : y", ": y", " x: y", "x\u{1}: y", "x: \u{0}", "x: y\rz"] {
        assert!(!is_field(line.as_bytes()), "{line:?}");
    }
    assert!(!is_field(b"x: y\r\nz: a"), "two fields");
}
