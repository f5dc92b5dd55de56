//! Ledger slices at their limits of size and operations, and calls while the store fails.
//!
//! A slice that grants claims without room for their answers could not record the answers, and probes by every slice
//! would overload a failed store.

use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, Answer, CallId, Claim, Finish, Input, KeyHash, Ledger, LedgerLimits, Nonce, Operation,
    Origin, Outcome, ReadResult, SliceName, Ticket, WriteResult,
};
use godwit_schema::ledger::LedgerSlice;

const MEGABYTE: usize = 1_000_000;
const BATCH: u64 = 200;
const NOW: UnixMs = UnixMs(1);

fn slice_name() -> SliceName {
    SliceName::of_key("w", "e", "", 1)
}

fn claim(number: u64) -> Claim {
    Claim {
        key: KeyHash::of(&number.to_string()),
        body_hash: Claim::hash_body(b""),
        nonce: Nonce::from_random(u128::from(number)),
        deadline: UnixMs(1_000),
        run_deadline: UnixMs(1_000),
        event_start: UnixMs(2_000),
    }
}

fn finish(number: u64) -> Operation {
    let Claim { key, nonce, .. } = claim(number);
    let answer = Answer::new(200, 1000, "text/plain", &[b'a'; 590]);
    Operation::Finish(Finish { key, nonce, answer })
}

fn submit(number: u64, operation: Operation) -> Input {
    let origin = Origin::Local { may_be_recorded: false };
    Input::Submit { ticket: Ticket(number), slice: slice_name(), operation, origin }
}

/// Answers all calls at once until none is left. Returns the outcomes and leaves the last written value in `value`.
fn answer_calls(
    ledger: &mut Ledger,
    mut actions: Vec<Action>,
    value: &mut LedgerSlice,
    now: UnixMs,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !actions.is_empty() {
        for action in std::mem::take(&mut actions) {
            let input = match action {
                Action::Reply { outcome, .. } => {
                    outcomes.push(outcome);
                    continue;
                }
                Action::Read { call, slice } => {
                    let result = ReadResult::Found { version: 1, value: value.clone() };
                    Input::ReadDone { slice, call, result }
                }
                Action::Write { call, slice, value: new, .. } => {
                    *value = LedgerSlice::clone(&new);
                    let version = call.0;
                    Input::WriteDone { slice, call, result: WriteResult::Written { version } }
                }
            };
            actions.extend(ledger.step(input, now));
        }
    }
    outcomes
}

#[test]
fn ledger_slice_size_limit() {
    let limits =
        LedgerLimits { write_interval_ms: 0, finish_delay_ms: 0, ..LedgerLimits::default() };
    let mut ledger = Ledger::new(limits, 1);
    let mut value = godwit_core::ledger::empty_slice();
    let mut outcomes = Vec::new();
    while !outcomes.contains(&Outcome::Unavailable) {
        let first = outcomes.len() as u64;
        let claims = first..first + BATCH;
        let inputs = claims.map(|number| submit(number, Operation::Claim(claim(number))));
        let actions = inputs.flat_map(|input| ledger.step(input, NOW)).collect();
        outcomes.extend(answer_calls(&mut ledger, actions, &mut value, NOW));
    }
    let granted = outcomes.iter().filter(|outcome| **outcome == Outcome::Granted).count();
    assert!(granted > 1_000);
    let numbers: Vec<u64> = (0..granted as u64).collect();
    for batch in numbers.chunks(BATCH as usize) {
        let inputs = batch.iter().map(|number| submit(u64::MAX - number, finish(*number)));
        let actions = inputs.flat_map(|input| ledger.step(input, NOW)).collect();
        let recorded = answer_calls(&mut ledger, actions, &mut value, NOW);
        assert!(recorded.iter().all(|outcome| *outcome == Outcome::Recorded));
        assert_eq!(recorded.len(), batch.len());
    }
    assert!(serde_json::to_vec(&value).unwrap().len() < MEGABYTE);
}

#[test]
fn ledger_slice_operation_limit() {
    let limits = LedgerLimits { max_slice_operations: 2, ..LedgerLimits::default() };
    let mut ledger = Ledger::new(limits, 1);
    let actions = ledger.step(submit(0, Operation::Claim(claim(0))), NOW);
    assert_eq!(actions, [Action::Read { call: CallId(2), slice: slice_name() }]);
    assert_eq!(ledger.step(submit(1, Operation::Claim(claim(1))), NOW), []);
    let refused = Action::Reply { ticket: Ticket(2), outcome: Outcome::Unavailable };
    assert_eq!(ledger.step(submit(2, Operation::Claim(claim(2))), NOW), [refused]);
}

#[test]
fn ledger_probes_failed_store_by_one_call() {
    let mut ledger = Ledger::new(LedgerLimits::default(), 1);
    let mut now = NOW;
    let mut calls = Vec::new();
    for slice in 0..20 {
        let slice = SliceName { slice, ..slice_name() };
        let long_claim = Claim { deadline: UnixMs(1_000_000), ..claim(1) };
        let origin = Origin::Local { may_be_recorded: false };
        let operation = Operation::Claim(long_claim);
        calls.extend(
            ledger.step(Input::Submit { ticket: Ticket(0), slice, operation, origin }, now),
        );
    }
    assert_eq!(calls.len(), 20);
    for _ in 0..100 {
        for action in std::mem::take(&mut calls) {
            let Action::Read { call, slice } = action else { panic!("{action:?}") };
            calls.extend(
                ledger.step(Input::ReadDone { slice, call, result: ReadResult::Failed }, now),
            );
        }
        now = now.plus_ms(100);
        calls.extend(ledger.step(Input::Tick, now));
        assert!(calls.len() <= 1, "{calls:?}");
    }
    assert!(ledger.stats().store_away);
}

#[test]
fn claim_recorded_after_its_deadline() {
    let mut ledger = Ledger::new(LedgerLimits::default(), 1);
    let read = ledger.step(submit(0, Operation::Claim(claim(0))), NOW);
    let [Action::Read { call, slice }] = read.as_slice() else { panic!("{read:?}") };
    let absent = Input::ReadDone { slice: slice.clone(), call: *call, result: ReadResult::Absent };
    let write = ledger.step(absent, NOW);
    let [Action::Write { call, slice, value, .. }] = write.as_slice() else { panic!("{write:?}") };
    let result = WriteResult::Written { version: 1 };
    let written = Input::WriteDone { slice: slice.clone(), call: *call, result };
    let mut value = LedgerSlice::clone(value);
    let late = UnixMs(2_000);
    let actions = ledger.step(written, late);
    assert_eq!(answer_calls(&mut ledger, actions, &mut value, late), [Outcome::Unavailable]);
    let retried = Claim { deadline: UnixMs(3_000), nonce: Nonce::from_random(9), ..claim(0) };
    let actions = ledger.step(submit(1, Operation::Claim(retried)), late);
    assert_eq!(answer_calls(&mut ledger, actions, &mut value, late), []);
    let later = late.plus_ms(LedgerLimits::default().write_interval_ms);
    let actions = ledger.step(Input::Tick, later);
    assert_eq!(answer_calls(&mut ledger, actions, &mut value, later), [Outcome::Granted]);
}
