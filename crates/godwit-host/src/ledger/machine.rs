//! The thread that owns the state machine, and the threads that call the store for it.

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

/// Threads that call the store.
const STORE_THREADS: usize = 8;

/// Longest wait between two looks at the clock.
const MAX_WAIT_MS: u64 = 1_000;

/// An operation with the channel on which its outcome is awaited.
pub(super) struct Submission {
    pub(super) slice: SliceName,
    pub(super) operation: Operation,
    pub(super) origin: Origin,
    pub(super) reply: Sender<Outcome>,
}

/// What the thread of the state machine is told.
pub(super) enum Message {
    Submit(Submission),
    StoreDone(Input),
    Stats(Sender<LedgerStats>),
}

/// Starts the threads. They end when all senders of messages are gone.
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
    let machine_thread = MachineThread {
        machine: Machine::new(limits, seed),
        waiting: BTreeMap::new(),
        next_ticket: 0,
        forget_at: UnixMs(0),
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

struct MachineThread {
    machine: Machine,
    waiting: BTreeMap<Ticket, Sender<Outcome>>,
    next_ticket: u64,
    forget_at: UnixMs,
    inbox: Receiver<Message>,
    calls: Sender<Action>,
    clock: Arc<dyn Clock>,
}

impl MachineThread {
    fn run(mut self) {
        loop {
            match self.inbox.recv_timeout(self.wait()) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.machine.next_wake().is_some_and(|wake| wake.is_past(self.clock.now())) {
                self.step(Input::Tick);
            }
            self.forget_idle();
        }
    }

    fn forget_idle(&mut self) {
        let now = self.clock.now();
        if self.forget_at.is_past(now) {
            self.machine.evict_idle(now);
            self.forget_at = now.plus_ms(MAX_WAIT_MS);
        }
    }

    fn wait(&self) -> Duration {
        let latest = self.clock.now().plus_ms(MAX_WAIT_MS);
        let wake: UnixMs = self.machine.next_wake().unwrap_or(latest).min(latest);
        Duration::from_millis(wake.since_ms(self.clock.now()))
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Submit(submission) => self.submit(submission),
            Message::StoreDone(input) => self.step(input),
            Message::Stats(reply) => {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(self.machine.stats());
            }
        }
    }

    fn submit(&mut self, submission: Submission) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, submission.reply);
        let Submission { slice, operation, origin, .. } = submission;
        self.step(Input::Submit { ticket, slice, operation, origin });
    }

    fn step(&mut self, input: Input) {
        for action in self.machine.step(input, self.clock.now()) {
            match action {
                Action::Reply { ticket, outcome } => self.reply(ticket, outcome),
                // The store's threads end only after this one.
                call => drop(self.calls.send(call)),
            }
        }
        let stats = self.machine.stats();
        gauge!("godwit_ledger_operations").set(stats.operations as f64);
        gauge!("godwit_ledger_store_away").set(f64::from(u8::from(stats.store_away)));
    }

    fn reply(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some(reply) = self.waiting.remove(&ticket) {
            // Whoever asked may have stopped waiting.
            let _ = reply.send(outcome);
        }
    }
}
