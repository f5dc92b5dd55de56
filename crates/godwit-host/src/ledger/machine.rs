//! The thread that owns the state machine, and the threads that make its calls to the store.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use godwit_core::UnixMs;
use godwit_core::ledger::{
    Action, Input, Ledger as Machine, LedgerLimits, LedgerStats, Operation, Origin, Outcome,
    SliceName, Ticket,
};
use godwit_platform::Platform;
use metrics::gauge;

use super::store;
use crate::Clock;

/// Number of threads that call the store.
const STORE_THREADS: usize = 8;

/// Longest wait before the thread reads the clock again; also the interval at which idle slices are evicted.
const MAX_WAIT_MS: u64 = 1_000;

/// An operation with the channel for its outcome.
pub(super) struct Submission {
    pub(super) slice: SliceName,
    pub(super) operation: Operation,
    pub(super) origin: Origin,
    pub(super) reply: Sender<Outcome>,
}

/// Message to the thread of the state machine.
pub(super) enum Message {
    /// An operation to record.
    Submit(Submission),
    /// Result of a call to the store.
    StoreDone(Input),
    /// Query for the counts of the state machine, with the channel for the reply.
    Stats(Sender<LedgerStats>),
}

/// Starts the threads. They end when all senders of messages are dropped.
pub(super) fn start(
    platform: &Platform,
    limits: LedgerLimits,
    seed: u64,
    clock: &Arc<dyn Clock>,
) -> io::Result<Sender<Message>> {
    let (messages, inbox) = flume::unbounded();
    let (calls, call_queue) = flume::unbounded();
    for number in 0..STORE_THREADS {
        let worker = StoreWorker {
            platform: platform.clone(),
            calls: call_queue.clone(),
            results: messages.downgrade(),
            clock: Arc::clone(clock),
        };
        let name = format!("ledger-store-{number}");
        thread::Builder::new().name(name).spawn(move || worker.run())?;
    }
    let machine_thread = StateMachineThread {
        machine: Machine::new(limits, seed),
        reply_senders: BTreeMap::new(),
        next_ticket: 0,
        next_eviction_at: UnixMs(0),
        inbox,
        calls,
        clock: Arc::clone(clock),
    };
    thread::Builder::new().name("ledger".to_string()).spawn(move || machine_thread.run())?;
    Ok(messages)
}

struct StoreWorker {
    platform: Platform,
    calls: Receiver<Action>,
    results: flume::WeakSender<Message>,
    clock: Arc<dyn Clock>,
}

impl StoreWorker {
    fn run(self) {
        while let Ok(action) = self.calls.recv() {
            let Some(input) = store::call(&self.platform, action, self.clock.as_ref()) else {
                continue;
            };
            let Some(results) = self.results.upgrade() else { return };
            if results.send(Message::StoreDone(input)).is_err() {
                return;
            }
        }
    }
}

struct StateMachineThread {
    machine: Machine,
    reply_senders: BTreeMap<Ticket, Sender<Outcome>>,
    next_ticket: u64,
    next_eviction_at: UnixMs,
    inbox: Receiver<Message>,
    calls: Sender<Action>,
    clock: Arc<dyn Clock>,
}

impl StateMachineThread {
    fn run(mut self) {
        loop {
            match self.inbox.recv_timeout(self.time_to_wake()) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.machine.next_wake().is_some_and(|wake_at| wake_at.is_past(self.clock.now())) {
                self.step(Input::Tick);
            }
            self.evict_idle_slices();
        }
    }

    fn evict_idle_slices(&mut self) {
        let now = self.clock.now();
        if self.next_eviction_at.is_past(now) {
            self.machine.evict_idle(now);
            self.next_eviction_at = now.plus_ms(MAX_WAIT_MS);
        }
    }

    fn time_to_wake(&self) -> Duration {
        let latest = self.clock.now().plus_ms(MAX_WAIT_MS);
        let wake_at: UnixMs = self.machine.next_wake().unwrap_or(latest).min(latest);
        Duration::from_millis(wake_at.since_ms(self.clock.now()))
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit(submission) => self.submit(submission),
            Message::StoreDone(input) => self.step(input),
            Message::Stats(reply) => {
                // The receiver has been dropped if the query timed out.
                let _ = reply.send(self.machine.stats());
            }
        }
    }

    fn submit(&mut self, submission: Submission) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.reply_senders.insert(ticket, submission.reply);
        let Submission { slice, operation, origin, .. } = submission;
        self.step(Input::Submit { ticket, slice, operation, origin });
    }

    fn step(&mut self, input: Input) {
        for action in self.machine.step(input, self.clock.now()) {
            match action {
                Action::Reply { ticket, outcome } => self.reply(ticket, outcome),
                // The send cannot fail: the store threads end only after this thread.
                call => drop(self.calls.send(call)),
            }
        }
        let stats = self.machine.stats();
        gauge!("godwit_ledger_operations").set(stats.operations as f64);
        gauge!("godwit_ledger_store_away").set(f64::from(u8::from(stats.store_away)));
    }

    fn reply(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(reply) = self.reply_senders.remove(&ticket) {
            // The receiver has been dropped if its wait timed out.
            let _ = reply.send(outcome);
        }
    }
}
