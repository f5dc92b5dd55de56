//! Prints the cost of the ledger: calls to the store by claims per second and by preferred writers of one slice (one in
//! each failure domain), and duration and size of one update by the number of claims in its slice.
//! `cargo run --release -p godwit-core --example ledger_cost` runs the simulation.

use std::collections::BTreeMap;
use std::time::Instant;

use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, Answer, Claim, Finish, Input, KeyHash, Ledger, LedgerLimits, Nonce, Operation, Origin,
    Outcome, ReadResult, SliceName, Ticket, WriteResult, apply, empty_slice,
};
use godwit_schema::ledger::LedgerSlice;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STORE_LATENCY_MS: u64 = 5;
const RUN_DURATION_MS: u64 = 200;
const SIMULATED_MS: u64 = 10_000;
const EVENT_START: UnixMs = UnixMs(u64::MAX);
const BODY: &[u8] = &[b'a'; 120];

fn main() {
    println!(
        "writers write_interval_ms claims_per_s writes_per_s conflicts_per_s reads_per_s claim_p50_ms claim_p95_ms"
    );
    for (writers, write_interval_ms) in [(1, 0), (1, 100), (1, 200), (3, 100)] {
        for claims_per_s in [1, 5, 10, 50, 200] {
            Simulation::new(writers, write_interval_ms).run(claims_per_s);
        }
    }
    println!("claims_in_slice bytes_started bytes_done update_us");
    for claims in [100, 400, 1_600] {
        print_update_cost(claims);
    }
}

/// Simulation of one slice: claims arrive at random times through random writers, and each is finished after its run.
struct Simulation {
    ledgers: Vec<Ledger>,
    now: UnixMs,
    pending_inputs: BTreeMap<(UnixMs, u64), (usize, Input)>,
    sequence: u64,
    version: u64,
    value: LedgerSlice,
    writes: u64,
    conflicts: u64,
    reads: u64,
    claims: BTreeMap<Ticket, (UnixMs, Claim)>,
    latencies_ms: Vec<u64>,
    write_interval_ms: u64,
}

impl Simulation {
    fn new(writers: u64, write_interval_ms: u64) -> Simulation {
        let limits = LedgerLimits { write_interval_ms, ..LedgerLimits::default() };
        Simulation {
            ledgers: (0..writers).map(|seed| Ledger::new(limits, seed)).collect(),
            now: UnixMs(1),
            pending_inputs: BTreeMap::new(),
            sequence: 0,
            version: 0,
            value: empty_slice(),
            writes: 0,
            conflicts: 0,
            reads: 0,
            claims: BTreeMap::new(),
            latencies_ms: Vec::new(),
            write_interval_ms,
        }
    }

    fn run(mut self, claims_per_s: u64) {
        let mut rng = SmallRng::seed_from_u64(1);
        while self.now.0 < SIMULATED_MS {
            if rng.random_range(0..1_000) < claims_per_s {
                self.claim(rng.random_range(0..self.ledgers.len()));
            }
            while self
                .pending_inputs
                .first_key_value()
                .is_some_and(|((at, _), _)| at.is_past(self.now))
            {
                let (_, (writer, input)) =
                    self.pending_inputs.pop_first().expect("an input is due");
                self.step(writer, input);
            }
            for writer in 0..self.ledgers.len() {
                let wake_at = self.ledgers[writer].next_wake();
                if wake_at.is_some_and(|wake_at| wake_at.is_past(self.now)) {
                    self.step(writer, Input::Tick);
                }
            }
            self.now = self.now.plus_ms(1);
        }
        self.print(claims_per_s);
    }

    fn claim(&mut self, writer: usize) {
        let ticket = Ticket(self.sequence);
        let claim = new_claim(self.sequence, self.now);
        self.claims.insert(ticket, (self.now, claim.clone()));
        self.submit_at(self.now, writer, ticket, Operation::Claim(claim));
    }

    fn submit_at(&mut self, at: UnixMs, writer: usize, ticket: Ticket, operation: Operation) {
        let origin = Origin::Local { may_be_recorded: false };
        let slice = SliceName::of_key("w", "e", "", 1);
        self.push(at, writer, Input::Submit { ticket, slice, operation, origin });
    }

    fn push(&mut self, at: UnixMs, writer: usize, input: Input) {
        self.sequence += 1;
        self.pending_inputs.insert((at, self.sequence), (writer, input));
    }

    fn step(&mut self, writer: usize, input: Input) {
        for action in self.ledgers[writer].step(input, self.now) {
            let answered_at = self.now.plus_ms(STORE_LATENCY_MS);
            match action {
                Action::Read { call, slice } => {
                    self.reads += 1;
                    let result = match self.version {
                        0 => ReadResult::Absent,
                        version => ReadResult::Found { version, value: self.value.clone() },
                    };
                    self.push(answered_at, writer, Input::ReadDone { slice, call, result });
                }
                Action::Write { call, slice, if_version, value } => {
                    let result = self.write(if_version, &value);
                    self.push(answered_at, writer, Input::WriteDone { slice, call, result });
                }
                Action::Reply { ticket, outcome: Outcome::Granted } => {
                    self.submit_finish(writer, ticket)
                }
                Action::Reply { .. } => {}
            }
        }
    }

    fn write(&mut self, if_version: u64, value: &LedgerSlice) -> WriteResult {
        self.writes += 1;
        if if_version != self.version {
            self.conflicts += 1;
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.value = value.clone();
        WriteResult::Written { version: self.version }
    }

    fn submit_finish(&mut self, writer: usize, ticket: Ticket) {
        let Some((claimed_at, claim)) = self.claims.remove(&ticket) else { return };
        self.latencies_ms.push(self.now.since_ms(claimed_at));
        let answer = Answer::new(200, 1000, "application/json", BODY);
        let finish = Finish { key: claim.key, nonce: claim.nonce, answer };
        let ticket = Ticket(u64::MAX - self.sequence);
        self.submit_at(
            self.now.plus_ms(RUN_DURATION_MS),
            writer,
            ticket,
            Operation::Finish(finish),
        );
    }

    fn print(mut self, claims_per_s: u64) {
        self.latencies_ms.sort_unstable();
        let count = self.latencies_ms.len().max(1);
        let percentile_ms =
            |percent: usize| self.latencies_ms.get(count * percent / 100).copied().unwrap_or(0);
        let per_s = |count: u64| count as f64 * 1_000.0 / SIMULATED_MS as f64;
        println!(
            "{} {} {claims_per_s} {:.1} {:.1} {:.1} {} {}",
            self.ledgers.len(),
            self.write_interval_ms,
            per_s(self.writes),
            per_s(self.conflicts),
            per_s(self.reads),
            percentile_ms(50),
            percentile_ms(95),
        );
    }
}

fn new_claim(number: u64, now: UnixMs) -> Claim {
    Claim {
        key: KeyHash::of(&number.to_string()),
        body_hash: Claim::hash_body(&number.to_le_bytes()),
        nonce: Nonce::from_random(u128::from(number) + 1),
        deadline: now.plus_ms(60_000),
        run_deadline: now.plus_ms(60_000),
        event_start: EVENT_START,
    }
}

fn print_update_cost(claims: u64) {
    let mut slice = empty_slice();
    let all_claims: Vec<Claim> = (0..claims).map(|number| new_claim(number, UnixMs(1))).collect();
    for claim in &all_claims {
        apply(&mut slice, &Operation::Claim(claim.clone()));
    }
    let bytes_started = serde_json::to_vec(&slice).map_or(0, |json| json.len());
    for Claim { key, nonce, .. } in all_claims {
        let answer = Answer::new(200, 1000, "application/json", BODY);
        apply(&mut slice, &Operation::Finish(Finish { key, nonce, answer }));
    }
    let bytes_done = serde_json::to_vec(&slice).map_or(0, |json| json.len());
    let mut ledger = Ledger::new(LedgerLimits::default(), 1);
    let submit = |number: u64| Input::Submit {
        ticket: Ticket(number),
        slice: SliceName::of_key("w", "e", "", 1),
        operation: Operation::Claim(new_claim(claims + number, UnixMs(1))),
        origin: Origin::Local { may_be_recorded: false },
    };
    let Some(Action::Read { call, slice: name }) = ledger.step(submit(0), UnixMs(1)).pop() else {
        return;
    };
    let result = ReadResult::Found { version: 1, value: slice };
    let started = Instant::now();
    let actions = ledger.step(Input::ReadDone { slice: name, call, result }, UnixMs(1));
    for action in &actions {
        if let Action::Write { value, .. } = action {
            std::hint::black_box(serde_json::to_vec(value.as_ref()).map_or(0, |json| json.len()));
        }
    }
    println!("{claims} {bytes_started} {bytes_done} {}", started.elapsed().as_micros());
}
