//! Simulation of several hosts that share one store.

use std::collections::BTreeMap;

use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, Answer, Claim, Finish, Input, KeyHash, Ledger, LedgerLimits, Nonce, Operation, Origin,
    Outcome, Release, SliceName, Ticket,
};

use crate::oracle::Oracle;
use crate::store::{CallOutcome, Store, Update};
use crate::{HOSTS, InjectedFault, KEYS, RunEnd, Step};

/// How far the clock of each host is ahead of the simulated time.
const CLOCK_SKEW_MS: [u64; HOSTS] = [0, 150, 2_000];
const EVENT_START: UnixMs = UnixMs(1_000_000_000);
const RUN_DURATION_MS: u64 = 100;
const MAX_HEAL_ROUNDS: usize = 2_000;
const HEAL_STEP_MS: u64 = 20;

struct Host {
    ledger: Ledger,
    paused: bool,
    calls: Vec<Action>,
    inbox: Vec<Input>,
}

/// Operation that awaits the outcome of a ticket, with the index of its attempt or record.
#[derive(Clone, Copy)]
enum PendingOperation {
    Claim(usize),
    ForwardedClaim(usize),
    Record(usize),
    ForwardedRecord(usize),
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Phase {
    Forwarded,
    Submitted,
    Granted,
    Finished,
}

/// One claim made for a caller.
struct Attempt {
    host: usize,
    key: usize,
    body: u8,
    claim: Claim,
    phase: Phase,
    outcome: Option<Outcome>,
}

/// Finish or release of a granted claim, to be recorded in the store.
struct Record {
    host: usize,
    key: usize,
    operation: Operation,
    forwarded: bool,
    recorded: bool,
}

pub(crate) struct Simulation {
    store: Store,
    hosts: Vec<Host>,
    now: UnixMs,
    attempts: Vec<Attempt>,
    records: Vec<Record>,
    pending: BTreeMap<(usize, Ticket), PendingOperation>,
    next_ticket: u64,
    ran_bodies: BTreeMap<usize, u8>,
    oracle: Oracle,
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Simulation {
        Simulation {
            store: Store::new(fault),
            hosts: (0..HOSTS as u64).map(new_host).collect(),
            now: UnixMs(1_000_000),
            attempts: Vec::new(),
            records: Vec::new(),
            pending: BTreeMap::new(),
            next_ticket: 0,
            ran_bodies: BTreeMap::new(),
            oracle: Oracle::default(),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Claim { host, key, body, wait_ms, forward_to } => {
                self.claim(host, key, body, wait_ms, forward_to);
            }
            Step::Call { host, pick, call_outcome } => self.call(host, pick, call_outcome),
            Step::ApplyDelayed { pick } => self.store.apply_delayed(pick),
            Step::ForwardTimeout { pick } => self.forward_timeout(pick),
            Step::Run { pick, end, forward_to } => self.run(pick, end, forward_to),
            Step::Advance { ms } => self.advance(ms),
            Step::Pause { host } => self.hosts[host].paused = true,
            Step::Resume { host } => self.resume(host),
            Step::Crash { host } => self.crash(host),
        }
    }

    /// Ends all faults, completes all pending work, and checks each key with one more claim.
    pub(crate) fn heal_and_check(&mut self) {
        (0..HOSTS).for_each(|host| self.resume(host));
        self.settle();
        self.store.apply_all_delayed();
        for key in 0..KEYS {
            let attempt = self.attempts.len();
            let body = self.ran_bodies.get(&key).copied().unwrap_or_default();
            self.claim(0, key, body, 1_000, None);
            self.settle();
            let outcome = self.attempts[attempt].outcome.clone().expect("a claim has an outcome");
            self.oracle.check_healed_outcome(key, &outcome);
        }
        assert!(self.pending.is_empty(), "an operation was never answered");
    }

    fn settle(&mut self) {
        for _ in 0..MAX_HEAL_ROUNDS {
            self.forward_timeout(0);
            self.run(0, RunEnd::NeverSent, None);
            (0..HOSTS).for_each(|host| self.call(host, 0, CallOutcome::Answered));
            let has_calls = self.hosts.iter().any(|host| !host.calls.is_empty());
            let has_operations = self.hosts.iter().any(|host| host.ledger.stats().operations > 0);
            let has_granted = self.attempts.iter().any(|attempt| attempt.phase == Phase::Granted);
            if !has_calls && !has_operations && !has_granted && !self.is_forwarding() {
                return;
            }
            self.advance(HEAL_STEP_MS);
        }
        panic!("the ledger does not become idle");
    }

    fn is_forwarding(&self) -> bool {
        let claims = self.attempts.iter().any(|attempt| attempt.phase == Phase::Forwarded);
        claims || self.records.iter().any(|record| record.forwarded && !record.recorded)
    }

    fn host_now(&self, host: usize) -> UnixMs {
        self.now.plus_ms(CLOCK_SKEW_MS[host])
    }

    fn claim(
        &mut self,
        host: usize,
        key: usize,
        body: u8,
        wait_ms: u64,
        forward_to: Option<usize>,
    ) {
        if self.hosts[host].paused {
            return;
        }
        let now = self.host_now(host);
        let claim = Claim {
            key: KeyHash::of(&key.to_string()),
            body_hash: Claim::hash_body(&[body]),
            nonce: Nonce::from_random(self.attempts.len() as u128 + 1),
            deadline: now.plus_ms(wait_ms),
            run_deadline: now.plus_ms(wait_ms + RUN_DURATION_MS),
            event_start: EVENT_START,
        };
        let attempt = self.attempts.len();
        let operation = Operation::Claim(claim.clone());
        let phase = if forward_to.is_some() { Phase::Forwarded } else { Phase::Submitted };
        self.attempts.push(Attempt { host, key, body, claim, phase, outcome: None });
        match forward_to {
            Some(writer) => {
                self.submit(
                    writer,
                    operation,
                    Origin::Forwarded,
                    PendingOperation::ForwardedClaim(attempt),
                );
            }
            None => self.submit_claim(attempt, false),
        }
    }

    fn submit_claim(&mut self, attempt: usize, may_be_recorded: bool) {
        self.attempts[attempt].phase = Phase::Submitted;
        let host = self.attempts[attempt].host;
        let operation = Operation::Claim(self.attempts[attempt].claim.clone());
        self.submit(
            host,
            operation,
            Origin::Local { may_be_recorded },
            PendingOperation::Claim(attempt),
        );
    }

    fn submit(
        &mut self,
        host: usize,
        operation: Operation,
        origin: Origin,
        pending: PendingOperation,
    ) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.pending.insert((host, ticket), pending);
        let slice = SliceName::of_key("w", "e", "", 1);
        self.input(host, Input::Submit { ticket, slice, operation, origin });
    }

    fn input(&mut self, host: usize, input: Input) {
        if self.hosts[host].paused {
            self.hosts[host].inbox.push(input);
            return;
        }
        let now = self.host_now(host);
        for action in self.hosts[host].ledger.step(input, now) {
            match action {
                Action::Reply { ticket, outcome } => self.reply(host, ticket, outcome),
                call => self.hosts[host].calls.push(call),
            }
        }
    }

    fn reply(&mut self, host: usize, ticket: Ticket, outcome: Outcome) {
        let pending =
            self.pending.remove(&(host, ticket)).expect("a ticket gets exactly one outcome");
        match pending {
            PendingOperation::Claim(attempt) => self.end_claim(attempt, outcome),
            PendingOperation::ForwardedClaim(attempt) => {
                self.forwarded_claim_answered(attempt, outcome)
            }
            PendingOperation::Record(record) => self.end_record(record, outcome),
            PendingOperation::ForwardedRecord(record) => {
                self.records[record].recorded = true;
                self.end_record(record, outcome);
            }
        }
    }

    fn forwarded_claim_answered(&mut self, attempt: usize, outcome: Outcome) {
        if self.attempts[attempt].phase != Phase::Forwarded {
            return;
        }
        match outcome {
            Outcome::Unavailable => self.submit_claim(attempt, true),
            Outcome::StartedElsewhere { .. } => self.submit_claim(attempt, false),
            outcome => self.end_claim(attempt, outcome),
        }
    }

    fn end_claim(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { key, claim, phase, outcome: recorded_outcome, .. } =
            &mut self.attempts[attempt];
        self.oracle.check_outcome(*key, &outcome);
        *phase = if outcome == Outcome::Granted { Phase::Granted } else { Phase::Finished };
        if matches!(outcome, Outcome::Unavailable | Outcome::Stale | Outcome::KeyReused) {
            self.oracle.reported_not_run(&claim.nonce);
        }
        *recorded_outcome = Some(outcome);
    }

    fn end_record(&mut self, record: usize, outcome: Outcome) {
        assert_eq!(outcome, Outcome::Recorded, "the claim of a record must exist");
        if matches!(self.records[record].operation, Operation::Finish(_)) {
            self.oracle.recorded(self.records[record].key);
        }
    }

    fn run(&mut self, pick: usize, end: RunEnd, forward_to: Option<usize>) {
        let is_granted = |attempt: &&Attempt| attempt.phase == Phase::Granted;
        let count = self.attempts.iter().filter(is_granted).count();
        if count == 0 {
            return;
        }
        let attempts = self.attempts.iter_mut().filter(|attempt| attempt.phase == Phase::Granted);
        let mut granted = attempts;
        let attempt = granted.nth(pick % count).expect("pick is below the count");
        if self.hosts[attempt.host].paused {
            return;
        }
        attempt.phase = Phase::Finished;
        let (host, key, claim) = (attempt.host, attempt.key, attempt.claim.clone());
        if !matches!(end, RunEnd::NeverSent) {
            self.ran_bodies.insert(key, attempt.body);
        }
        match end {
            RunEnd::NeverSent => {
                self.oracle.reported_not_run(&claim.nonce);
                let Claim { key: hash, nonce, event_start, .. } = claim;
                let release = Release { key: hash, nonce, event_start };
                self.record(host, key, Operation::Release(release), forward_to);
            }
            RunEnd::OutcomeLost => self.oracle.run(key, &claim.nonce),
            RunEnd::Answered => {
                self.oracle.run(key, &claim.nonce);
                let answer = Answer::new(200, 1000, "text/plain", claim.nonce.0.as_bytes());
                self.oracle.answered(key, &answer);
                let finish = Finish { key: claim.key, nonce: claim.nonce, answer };
                self.record(host, key, Operation::Finish(finish), forward_to);
            }
        }
    }

    fn record(&mut self, host: usize, key: usize, operation: Operation, forward_to: Option<usize>) {
        let record = self.records.len();
        let forwarded = forward_to.is_some();
        let recorded_operation = operation.clone();
        self.records.push(Record {
            host,
            key,
            operation: recorded_operation,
            forwarded,
            recorded: false,
        });
        match forward_to {
            Some(writer) => {
                self.submit(
                    writer,
                    operation,
                    Origin::Forwarded,
                    PendingOperation::ForwardedRecord(record),
                );
            }
            None => self.submit_record(record),
        }
    }

    fn submit_record(&mut self, record: usize) {
        self.records[record].forwarded = false;
        let (host, operation) = (self.records[record].host, self.records[record].operation.clone());
        self.submit(
            host,
            operation,
            Origin::Local { may_be_recorded: false },
            PendingOperation::Record(record),
        );
    }

    fn forward_timeout(&mut self, pick: usize) {
        let claims = self.attempts.iter().enumerate();
        let claims = claims.filter(|(_, attempt)| attempt.phase == Phase::Forwarded);
        let claims: Vec<usize> = claims.map(|(index, _)| index).collect();
        let records = self.records.iter().enumerate();
        let records = records.filter(|(_, record)| record.forwarded && !record.recorded);
        let records: Vec<usize> = records.map(|(index, _)| index).collect();
        if claims.is_empty() && records.is_empty() {
            return;
        }
        let index = pick % (claims.len() + records.len());
        match claims.get(index) {
            Some(attempt) => self.submit_claim(*attempt, true),
            None => self.submit_record(records[index - claims.len()]),
        }
    }

    fn call(&mut self, host: usize, pick: usize, call_outcome: CallOutcome) {
        if self.hosts[host].calls.is_empty() {
            return;
        }
        let index = pick % self.hosts[host].calls.len();
        let now = self.host_now(host);
        let input = match self.hosts[host].calls.remove(index) {
            Action::Read { call, slice } => {
                let result = self.store.read(&slice, call_outcome, now);
                Input::ReadDone { slice, call, result }
            }
            Action::Write { call, slice, if_version, value } => {
                let update = Update { slice: slice.clone(), if_version, value };
                let result = self.store.write(update, call_outcome, now);
                Input::WriteDone { slice, call, result }
            }
            Action::Reply { .. } => return,
        };
        self.input(host, input);
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        for host in 0..HOSTS {
            let wake_at = self.hosts[host].ledger.next_wake();
            if !self.hosts[host].paused
                && wake_at.is_some_and(|wake_at| wake_at.is_past(self.host_now(host)))
            {
                self.input(host, Input::Tick);
            }
        }
    }

    fn resume(&mut self, host: usize) {
        self.hosts[host].paused = false;
        let inbox = std::mem::take(&mut self.hosts[host].inbox);
        inbox.into_iter().for_each(|input| self.input(host, input));
        self.input(host, Input::Tick);
    }

    /// Discards all state that a host has in memory. Its updates in flight may still be applied.
    fn crash(&mut self, host: usize) {
        let lost = std::mem::replace(&mut self.hosts[host], new_host(self.next_ticket + 100));
        for call in lost.calls {
            if let Action::Write { slice, if_version, value, .. } = call {
                self.store.delay(Update { slice, if_version, value });
            }
        }
        let had_pending_work = lost.ledger.stats().operations > 0 || !lost.inbox.is_empty();
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.host == host) {
            if had_pending_work || attempt.phase != Phase::Finished {
                self.oracle.host_crashed(attempt.key);
            }
            attempt.phase = Phase::Finished;
        }
        for record in self.records.iter_mut().filter(|record| record.host == host) {
            if had_pending_work || record.forwarded && !record.recorded {
                self.oracle.host_crashed(record.key);
            }
            record.forwarded = false;
        }
        self.pending.retain(|(owner, _), _| *owner != host);
    }
}

fn new_host(seed: u64) -> Host {
    Host {
        ledger: Ledger::new(LedgerLimits::default(), seed),
        paused: false,
        calls: Vec::new(),
        inbox: Vec::new(),
    }
}
