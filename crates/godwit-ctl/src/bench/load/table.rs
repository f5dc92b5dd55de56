//! Prints results as a table.

use comfy_table::Table;
use comfy_table::presets::NOTHING;

use super::report::{LoadRow, Percentiles};

const HEADER: [&str; 15] = [
    "POLICY",
    "LOAD %",
    "OFFERED",
    "DELIVERED",
    "GOODPUT",
    "% OF BOUND",
    "IN TIME %",
    "REFUSED",
    "LATE",
    "BROKEN",
    "FIRST TOKEN",
    "BETWEEN",
    "LOOKUP",
    "FAIRNESS",
    "SEND LAG",
];

/// Prints the rows as a table, followed by details of each row. Times are p50/p95/p99 in milliseconds, rates are tokens
/// per second.
pub(super) fn print(rows: &[LoadRow]) {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(HEADER);
    for row in rows {
        table.add_row(cells(row));
    }
    println!("{table}");
    println!(
        "times: p50/p95/p99 in ms; offered, delivered and goodput: tokens per second after the warm-up"
    );
    for row in rows {
        print_details(row);
    }
}

fn cells(row: &LoadRow) -> Vec<String> {
    let all = &row.all;
    vec![
        row.policy.clone(),
        row.load_percent.to_string(),
        format!("{:.0}", row.offered_tokens_per_s),
        format!("{:.0}", row.delivered_tokens_per_s),
        format!("{:.0}", row.goodput_tokens_per_s),
        format!("{:.1}", row.goodput_percent_of_bound),
        format!("{:.2}", row.in_time_percent_of_admitted),
        all.refused.to_string(),
        all.late.to_string(),
        (all.incomplete + all.wrong + all.no_answer).to_string(),
        times(&row.first_token),
        times(&row.between_tokens),
        times(&row.lookup_first_byte),
        format!("{:.3}", row.fairness),
        times(&row.send_lag),
    ]
}

fn times(times: &Percentiles) -> String {
    format!("{:.0}/{:.0}/{:.0}", times.p50_ms, times.p95_ms, times.p99_ms)
}

fn print_details(row: &LoadRow) {
    let refused_but_ran =
        row.refused_but_ran.map_or("unseen".to_string(), |count| count.to_string());
    println!(
        "policy={} load_percent={} mix={} bound_tokens_per_s={:.0} sent={} not_sent={} refused_but_ran={refused_but_ran}",
        row.policy, row.load_percent, row.mix, row.bound_tokens_per_s, row.all.sent, row.not_sent,
    );
    for class in &row.classes {
        let codes = class.codes.iter().map(|code| format!(" {}={}", code.name, code.count));
        println!(
            "  class={} sent={} in_time={} late={} refused={} first_byte_ms={}{}",
            class.class,
            class.endings.sent,
            class.endings.in_time,
            class.endings.late,
            class.endings.refused,
            times(&class.first_byte),
            codes.collect::<String>()
        );
    }
}
