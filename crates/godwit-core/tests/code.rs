//! Checks that docs/CODES.md lists exactly the defined codes.

use godwit_core::Code;

#[test]
fn code_table_matches_codes() {
    let page = include_str!("../../../docs/CODES.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| ")).skip(1).collect();
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            let retry = if code.retry_can_help() { "yes" } else { "no" };
            format!(
                "| {} | `{}` | `{}` | {} | {} | {} |",
                code.number(),
                code.name(),
                code.verdict().as_str(),
                code.http_status(),
                retry,
                code.meaning()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn code_numbers_ascend() {
    assert!(Code::ALL.is_sorted_by_key(|code| code.number()));
}
