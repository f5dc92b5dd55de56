//! Simulation of a store outage, against an overload of the store by retries.
//!
//! Many hosts hold waiting claims while the store is down and when it recovers. Both the retries during the outage and
//! the calls after the recovery must stay below a limit, and all claims must be granted.

use std::collections::BTreeMap;

use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, CallId, Claim, Input, KeyHash, Ledger, LedgerLimits, Nonce, Operation, Origin, Outcome,
    ReadResult, SliceName, Ticket, WriteResult,
};

const HOSTS: usize = 100;
const SLICES: u32 = 10;
const STORE_LATENCY_MS: u64 = 5;
const STORE_RECOVERS_AT: UnixMs = UnixMs(30_000);
const END_AT: UnixMs = UnixMs(40_000);
const CALL_WINDOW_MS: u64 = 100;

/// Hosts over one store. `calls` counts the calls to the store in each window of `CALL_WINDOW_MS`.
struct Simulation {
    ledgers: Vec<Ledger>,
    wake_times: Vec<Option<UnixMs>>,
    pending_inputs: BTreeMap<(UnixMs, usize, CallId), Input>,
    calls: BTreeMap<u64, usize>,
    granted: usize,
    now: UnixMs,
}

impl Simulation {
    fn new() -> Simulation {
        let ledgers = (0..HOSTS as u64).map(|seed| Ledger::new(LedgerLimits::default(), seed));
        Simulation {
            ledgers: ledgers.collect(),
            wake_times: vec![None; HOSTS],
            pending_inputs: BTreeMap::new(),
            calls: BTreeMap::new(),
            granted: 0,
            now: UnixMs(0),
        }
    }

    fn run(&mut self) {
        for host in 0..HOSTS {
            (0..SLICES).for_each(|slice| self.step(host, submit(host, slice)));
        }
        while self.now < END_AT {
            while self
                .pending_inputs
                .first_key_value()
                .is_some_and(|((at, ..), _)| at.is_past(self.now))
            {
                let ((_, host, _), input) =
                    self.pending_inputs.pop_first().expect("an input is due");
                self.step(host, input);
            }
            for host in 0..HOSTS {
                if self.wake_times[host].is_some_and(|wake_at| wake_at.is_past(self.now)) {
                    self.step(host, Input::Tick);
                }
            }
            self.now = self.now.plus_ms(1);
        }
    }

    fn step(&mut self, host: usize, input: Input) {
        let is_store_up = STORE_RECOVERS_AT.is_past(self.now);
        for action in self.ledgers[host].step(input, self.now) {
            let (call, input) = match action {
                Action::Reply { outcome, .. } => {
                    self.granted += usize::from(outcome == Outcome::Granted);
                    continue;
                }
                Action::Read { call, slice } => {
                    let result = if is_store_up { ReadResult::Absent } else { ReadResult::Failed };
                    (call, Input::ReadDone { slice, call, result })
                }
                Action::Write { call, slice, .. } => {
                    let result = if is_store_up {
                        WriteResult::Written { version: call.0 }
                    } else {
                        WriteResult::Unknown
                    };
                    (call, Input::WriteDone { slice, call, result })
                }
            };
            *self.calls.entry(self.now.0 / CALL_WINDOW_MS).or_default() += 1;
            self.pending_inputs.insert((self.now.plus_ms(STORE_LATENCY_MS), host, call), input);
        }
        self.wake_times[host] = self.ledgers[host].next_wake();
    }

    /// Largest number of calls to the store in one window between two times.
    fn peak_calls(&self, start: UnixMs, end: UnixMs) -> usize {
        let windows = self.calls.range(start.0 / CALL_WINDOW_MS..end.0 / CALL_WINDOW_MS);
        windows.map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}

fn submit(host: usize, slice: u32) -> Input {
    let key = format!("{host}-{slice}");
    let operation = Operation::Claim(Claim {
        key: KeyHash::of(&key),
        body_hash: Claim::hash_body(b""),
        nonce: Nonce(key),
        deadline: END_AT,
        run_deadline: END_AT,
        event_start: UnixMs(u64::MAX),
    });
    let slice = SliceName { workspace: format!("w{host}"), event: "e".to_string(), slice };
    let origin = Origin::Local { may_be_recorded: false };
    Input::Submit { ticket: Ticket(0), slice: slice.clone(), operation, origin }
}

#[test]
fn store_recovery_without_call_burst() {
    let mut simulation = Simulation::new();
    simulation.run();
    let (during_outage, after_recovery) = (
        simulation.peak_calls(UnixMs(10_000), STORE_RECOVERS_AT),
        simulation.peak_calls(STORE_RECOVERS_AT, END_AT),
    );
    assert!(
        during_outage <= 40,
        "{during_outage} calls in {CALL_WINDOW_MS} ms while the store is down"
    );
    assert!(
        after_recovery <= 150,
        "{after_recovery} calls in {CALL_WINDOW_MS} ms after the store recovered"
    );
    assert_eq!(simulation.granted, HOSTS * SLICES as usize);
}
