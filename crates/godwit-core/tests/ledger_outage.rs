//! Many hosts with waiting claims while the store is away and comes back, in simulated time.

use std::collections::BTreeMap;

use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, CallId, Claim, Input, KeyHash, Ledger, LedgerLimits, Nonce, Operation, Origin, Outcome,
    ReadResult, SliceName, Ticket, WriteResult,
};

const HOSTS: usize = 100;
const SLICES: u32 = 10;
const STORE_MS: u64 = 5;
const BACK_AT: UnixMs = UnixMs(30_000);
const END: UnixMs = UnixMs(40_000);
const WINDOW_MS: u64 = 100;

/// Calls of the store by window, and the claims granted.
struct Site {
    ledgers: Vec<Ledger>,
    wakes: Vec<Option<UnixMs>>,
    due: BTreeMap<(UnixMs, usize, CallId), Input>,
    calls: BTreeMap<u64, usize>,
    granted: usize,
    now: UnixMs,
}

impl Site {
    fn new() -> Site {
        let ledgers = (0..HOSTS as u64).map(|seed| Ledger::new(LedgerLimits::default(), seed));
        Site {
            ledgers: ledgers.collect(),
            wakes: vec![None; HOSTS],
            due: BTreeMap::new(),
            calls: BTreeMap::new(),
            granted: 0,
            now: UnixMs(0),
        }
    }

    fn run(&mut self) {
        for host in 0..HOSTS {
            (0..SLICES).for_each(|slice| self.step(host, submit(host, slice)));
        }
        while self.now < END {
            while self.due.first_key_value().is_some_and(|((at, ..), _)| at.is_past(self.now)) {
                let ((_, host, _), input) = self.due.pop_first().expect("an input is due");
                self.step(host, input);
            }
            for host in 0..HOSTS {
                if self.wakes[host].is_some_and(|wake| wake.is_past(self.now)) {
                    self.step(host, Input::Tick);
                }
            }
            self.now = self.now.plus_ms(1);
        }
    }

    fn step(&mut self, host: usize, input: Input) {
        let is_back = BACK_AT.is_past(self.now);
        for action in self.ledgers[host].step(input, self.now) {
            let (call, input) = match action {
                Action::Reply { outcome, .. } => {
                    self.granted += usize::from(outcome == Outcome::Granted);
                    continue;
                }
                Action::Read { call, slice } => {
                    let result = if is_back { ReadResult::Absent } else { ReadResult::Failed };
                    (call, Input::ReadDone { slice, call, result })
                }
                Action::Write { call, slice, .. } => {
                    let result = if is_back {
                        WriteResult::Written { version: call.0 }
                    } else {
                        WriteResult::Unknown
                    };
                    (call, Input::WriteDone { slice, call, result })
                }
            };
            *self.calls.entry(self.now.0 / WINDOW_MS).or_default() += 1;
            self.due.insert((self.now.plus_ms(STORE_MS), host, call), input);
        }
        self.wakes[host] = self.ledgers[host].next_wake();
    }

    /// Most calls of the store in one window between two times.
    fn peak(&self, from: UnixMs, to: UnixMs) -> usize {
        let windows = self.calls.range(from.0 / WINDOW_MS..to.0 / WINDOW_MS);
        windows.map(|(_, calls)| *calls).max().unwrap_or(0)
    }
}

fn submit(host: usize, slice: u32) -> Input {
    let key = format!("{host}-{slice}");
    let operation = Operation::Claim(Claim {
        key: KeyHash::of(&key),
        body_hash: Claim::hash_body(b""),
        nonce: Nonce(key),
        deadline: END,
        run_deadline: END,
        event_start: UnixMs(u64::MAX),
    });
    let slice = SliceName { workspace: format!("w{host}"), event: "e".to_string(), slice };
    let origin = Origin::Local { may_be_recorded: false };
    Input::Submit { ticket: Ticket(0), slice: slice.clone(), operation, origin }
}

#[test]
fn outage_ends_without_burst() {
    let mut site = Site::new();
    site.run();
    let (away, back) = (site.peak(UnixMs(10_000), BACK_AT), site.peak(BACK_AT, END));
    assert!(away <= 40, "{away} calls in {WINDOW_MS} ms while the store is away");
    assert!(back <= 150, "{back} calls in {WINDOW_MS} ms once it is back");
    assert_eq!(site.granted, HOSTS * SLICES as usize);
}
