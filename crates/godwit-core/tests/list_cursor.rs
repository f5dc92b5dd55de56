//! Lists that come in pages, from stores that read the names in queries in different ways.

use std::collections::BTreeSet;

use godwit_core::replica::{ListCursor, ListStalled};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Items of a page.
const PAGE_ITEMS: usize = 3;

/// Reads a list up to its end. `decode` is what the store takes for the name after which a page starts.
fn read_list(
    names: &BTreeSet<&str>,
    decode: impl Fn(&str) -> String,
) -> Result<BTreeSet<String>, ListStalled> {
    let mut cursor = ListCursor::default();
    let mut read = BTreeSet::new();
    loop {
        let after = cursor.after().map(|name| std::str::from_utf8(name).expect("a name"));
        let after = after.map(&decode);
        let behind = names.iter().filter(|name| after.as_ref().is_none_or(|it| **name > it));
        let behind: Vec<&str> = behind.copied().collect();
        let page = &behind[..behind.len().min(PAGE_ITEMS)];
        read.extend(page.iter().map(ToString::to_string));
        if page.len() == behind.len() {
            return Ok(read);
        }
        cursor.advance(page.iter().map(|name| name.as_bytes()))?;
    }
}

fn owned(names: &BTreeSet<&str>) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// Returns the name without what follows the first reserved byte, as a store reads one that is not encoded.
fn cut_at_reserved(name: &str) -> String {
    let is_unreserved = |letter: char| letter.is_ascii_alphanumeric() || "-._~".contains(letter);
    name.split(|letter| !is_unreserved(letter)).next().unwrap_or_default().to_string()
}

#[test]
fn advance_in_list_without_unreserved_names_reads_all() {
    let names = BTreeSet::from(["&", "& &", "&&", "+", "%", "%26", "k k", "\u{e9}"]);
    assert_eq!(read_list(&names, str::to_string), Ok(owned(&names)));
}

#[test]
fn advance_in_list_that_goes_on_after_unreserved_names_only_reads_all() {
    let names = BTreeSet::from(["a-1", "a 2", "b&", "b-1", "c#", "d-1", "d%", "e-1", "e-2"]);
    assert_eq!(read_list(&names, cut_at_reserved), Ok(owned(&names)));
}

#[test]
fn advance_behind_long_name_starts_after_a_short_one() {
    let long = "k".repeat(300);
    let mut cursor = ListCursor::default();
    assert_eq!(cursor.advance(["i-1", &long].map(str::as_bytes)), Ok(()));
    assert_eq!(cursor.after(), Some(&b"i-1"[..]));
    assert_eq!(cursor.advance([long.as_bytes()]), Ok(()));
    assert_eq!(cursor.after(), Some(long.as_bytes()));
}

#[test]
fn advance_behind_empty_name_does_not_begin_again() {
    let mut cursor = ListCursor::default();
    assert_eq!(cursor.advance([&b""[..]]), Ok(()));
    assert_eq!(cursor.after(), Some(&b" "[..]));
    assert_eq!(cursor.advance([&b"i-1"[..]]), Ok(()));
    assert_eq!(cursor.after(), Some(&b"i-1"[..]));
}

#[test]
fn advance_behind_page_that_is_repeated_stalls() {
    let names = BTreeSet::from(["a-1", "b&1", "b&2", "b&3", "b&4", "c-1"]);
    assert_eq!(read_list(&names, cut_at_reserved), Err(ListStalled));
}

#[test]
fn advance_behind_page_without_names_stalls() {
    let mut cursor = ListCursor::default();
    assert_eq!(cursor.advance([]), Err(ListStalled));
    let mut cursor = ListCursor::default();
    assert_eq!(cursor.advance([&b"a-1"[..]]), Ok(()));
    assert_eq!(cursor.advance([]), Err(ListStalled));
}

#[test]
fn advance_between_two_repeated_pages_stalls() {
    let mut cursor = ListCursor::default();
    let pages = [["a-1", "k&"], ["b-1", "l&"], ["a-1", "k&"]];
    let pages = pages.map(|page| page.map(str::as_bytes));
    assert_eq!(cursor.advance(pages[0]), Ok(()));
    assert_eq!(cursor.advance(pages[1]), Ok(()));
    assert_eq!(cursor.advance(pages[2]), Ok(()));
    assert_eq!(cursor.after(), Some(&b"l&"[..]));
    assert_eq!(cursor.advance(pages[2]), Err(ListStalled));
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(19), ..Config::with_cases(512) })]

    /// A list that is read to its end has all names, whatever the store makes of the encoded ones.
    #[test]
    fn advance_to_the_end_reads_all_unless_it_stalls(
        names in prop::collection::btree_set("[ab][ &%a]{0,3}", 0..24),
        decoding in 0..2_usize,
    ) {
        let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        let decode = [str::to_string, cut_at_reserved][decoding];
        match read_list(&names, decode) {
            Ok(read) => prop_assert_eq!(read, owned(&names)),
            Err(ListStalled) => prop_assert_eq!(decoding, 1),
        }
    }
}
