//! Schedules that once made the model test fail.

use crate::schedules::{Step, replay};

#[test]
fn restart_then_immediate_kill() {
    // A delayed part of an old host list restored a dead host of another domain.
    replay(&[
        Step::Restart(0),
        Step::Run { duration_ms: 1_800 },
        Step::Partition { sides: 31 },
        Step::Run { duration_ms: 550 },
        Step::Settle,
        Step::Run { duration_ms: 2_200 },
        Step::Restart(5),
        Step::Kill(5),
    ]);
}

#[test]
fn pause_while_reading_expires() {
    // A reading that had been dropped because of its age was accepted again.
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
fn mark_during_partition() {
    // Three marks sent in rotation over rounds of three messages: each receiver always got the same mark.
    replay(&[
        Step::Mark { host: 0, fingerprint: 2 },
        Step::Partition { sides: 130 },
        Step::Run { duration_ms: 650 },
        Step::Pause(0),
        Step::Heal,
        Step::Run { duration_ms: 2_550 },
        Step::Partition { sides: 94 },
        Step::Run { duration_ms: 1_350 },
        Step::Leave(2),
        Step::Leave(6),
        Step::Pause(4),
        Step::Network { loss_percent: 27, max_delay_ms: 1 },
        Step::Leave(5),
        Step::Run { duration_ms: 900 },
        Step::Partition { sides: 17 },
        Step::Mark { host: 5, fingerprint: 3 },
        Step::Poll { host: 0, server: 0 },
        Step::Mark { host: 1, fingerprint: 0 },
        Step::Restart(0),
        Step::Network { loss_percent: 32, max_delay_ms: 218 },
        Step::Run { duration_ms: 650 },
        Step::Resume(0),
        Step::Run { duration_ms: 2_400 },
    ]);
}
