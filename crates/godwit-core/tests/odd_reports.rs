//! Load reports whose times cannot be. Guards against a server whose later reports, or whose silence, are ignored.

mod fleets;

use fleets::{START, engines, fleet, router};
use godwit_core::cluster_state::{Notice, ServerNotice};
use godwit_core::drain::ServerAvailability;
use godwit_core::{Reading, UnixMs};
use godwit_schema::engine::LoadReport;
use godwit_schema::operator::ServerState;

const SERVER: &str = "engine-000";
/// A time in microseconds where milliseconds are due.
const MICROSECONDS: u64 = 1_800_000_000_000_000;

fn report(started_at_unix_ms: u64, measured_at_unix_ms: u64, running: u32) -> LoadReport {
    LoadReport {
        highest_fencing_number: 0,
        measured_at_unix_ms,
        models: Vec::new(),
        pending_tokens: 0,
        running,
        slots: 8,
        started_at_unix_ms,
        tokens_per_s: 20.0,
        waiting: 0,
    }
}

/// Reports with impossible times, which arrive at [`START`].
fn odd_reports() -> Vec<LoadReport> {
    let mut reports = Vec::new();
    for odd in [u64::MAX, MICROSECONDS] {
        reports.push(report(START.0 - 1, odd, 1));
        reports.push(report(odd, START.0, 1));
        reports.push(report(odd, odd, 1));
    }
    reports
}

#[test]
fn report_from_the_future_gives_way_to_later_ones() {
    for odd in odd_reports() {
        let mut router = router(&fleet(engines(1, "hall-a")));
        let later = START.plus_ms(1_000);
        router.observe_reading(&Reading::from_report(SERVER, &odd, START), START);
        let sound = report(START.0 - 1, later.0, 7);
        router.observe_reading(&Reading::from_report(SERVER, &sound, later), later);
        let rows = router.status(later);
        let row = rows.iter().find(|row| row.server == SERVER).unwrap();
        assert_eq!(row.running, 7, "{odd:?}");
    }
}

#[test]
fn server_that_falls_silent_after_a_report_from_the_future_is_silent() {
    for odd in odd_reports() {
        let mut availability = ServerAvailability::default();
        availability.apply_reading(&Reading::from_report(SERVER, &odd, START));
        let silence = ServerNotice {
            server: SERVER.to_string(),
            notice: Notice::Silent,
            noticed_at: START.plus_ms(1_000),
        };
        availability.apply_notice(&silence);
        assert_eq!(availability.state(SERVER), ServerState::Silent, "{odd:?}");
    }
}

#[test]
fn report_of_a_clock_that_is_ahead_keeps_its_times() {
    let ahead = START.plus_ms(20_000);
    let reading = Reading::from_report(SERVER, &report(START.0, ahead.0, 1), START);
    assert_eq!((reading.started_at, reading.measured_at), (UnixMs(START.0), ahead));
}
