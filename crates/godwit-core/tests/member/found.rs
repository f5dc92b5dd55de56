//! Schedules that failed once.

use crate::schedules::{Step, replay};

#[test]
fn restart_and_kill_at_once() {
    // An old part of a host list, still on its way, brought a dead host of another domain back.
    replay(&[
        Step::Restart(0),
        Step::Run { duration_ms: 1_800 },
        Step::Cut { sides: 31 },
        Step::Run { duration_ms: 550 },
        Step::Settle,
        Step::Run { duration_ms: 2_200 },
        Step::Restart(5),
        Step::Kill(5),
    ]);
}

#[test]
fn pause_while_reading_ages() {
    // A reading that had been dropped for its age was taken in anew.
    replay(&[
        Step::Pause(6),
        Step::Poll { host: 5, server: 0 },
        Step::Run { duration_ms: 3_500 },
        Step::Run { duration_ms: 2_800 },
        Step::Run { duration_ms: 850 },
        Step::Run { duration_ms: 2_950 },
    ]);
}

#[test]
fn mark_while_cut_off() {
    // Three marks in turn in rounds of three messages: each receiver was always told the same one.
    replay(&[
        Step::Mark { host: 0, fingerprint: 2 },
        Step::Cut { sides: 130 },
        Step::Run { duration_ms: 650 },
        Step::Pause(0),
        Step::Heal,
        Step::Run { duration_ms: 2_550 },
        Step::Cut { sides: 94 },
        Step::Run { duration_ms: 1_350 },
        Step::Leave(2),
        Step::Leave(6),
        Step::Pause(4),
        Step::Network { loss_percent: 27, max_delay_ms: 1 },
        Step::Leave(5),
        Step::Run { duration_ms: 900 },
        Step::Cut { sides: 17 },
        Step::Mark { host: 5, fingerprint: 3 },
        Step::Poll { host: 0, server: 0 },
        Step::Mark { host: 1, fingerprint: 0 },
        Step::Restart(0),
        Step::Network { loss_percent: 32, max_delay_ms: 218 },
        Step::Run { duration_ms: 650 },
        Step::Wake(0),
        Step::Run { duration_ms: 2_400 },
    ]);
}
