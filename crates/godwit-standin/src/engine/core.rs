//! State of the engine stand-in, its crashes and restarts, and its injected faults.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use godwit_schema::engine::{EngineFaults, LoadReport};

use super::memory::Memory;
use super::settings::EngineSettings;
use super::wait::{AttemptContext, Interrupt, check_state};
use crate::StandinError;
use crate::http::HttpListener;
use crate::journal::Journal;
use crate::time::lock;

/// State of an engine across restarts; a crash clears `memory`.
pub(super) struct State {
    pub(super) incarnation: u64,
    pub(super) faults: EngineFaults,
    pub(super) memory: Memory,
    pub(super) alive: bool,
    hung: bool,
    stopped: bool,
    restart_at: Option<Instant>,
}

impl State {
    /// Whether the engine makes no progress and sends no responses.
    pub(super) fn is_hanging(&self) -> bool {
        self.faults.hang || self.hung
    }
}

/// Engine stand-in: settings, state and journal.
pub(super) struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) journal: Journal,
    listener: Arc<HttpListener>,
    state: Mutex<State>,
    pub(super) changed: Condvar,
}

impl Engine {
    pub(super) fn new(settings: EngineSettings, listener: Arc<HttpListener>) -> Engine {
        let state = State {
            incarnation: 0,
            faults: EngineFaults::default(),
            memory: Memory::new(&settings),
            alive: true,
            hung: false,
            stopped: false,
            restart_at: None,
        };
        let journal = Journal::new(&settings.name, settings.journal_limit);
        Engine { settings, journal, listener, state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Locks the state.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Wakes all threads that wait for a change of the state.
    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }

    /// Whether the engine is alive. Restarts a crashed engine whose restart time has come.
    pub(super) fn is_alive(&self) -> bool {
        let mut state = self.state();
        let is_restart_due =
            state.restart_at.is_some_and(|restart_at| restart_at <= Instant::now());
        if !state.alive && is_restart_due && !state.stopped {
            self.restart(&mut state);
        }
        state.alive
    }

    /// Replaces all faults; faults that are not set any more end.
    pub(super) fn set_faults(&self, faults: EngineFaults) -> Result<(), StandinError> {
        let mut state = self.state();
        let (crashes_now, accepts_connections) =
            (faults.dead && state.alive, !faults.refuse_connections);
        state.hung = false;
        state.faults = faults;
        if !state.faults.dead && !state.alive && !state.stopped {
            self.restart(&mut state);
        }
        drop(state);
        self.notify();
        if crashes_now {
            self.crash();
        }
        if accepts_connections {
            return self.listener.open();
        }
        self.listener.close();
        Ok(())
    }

    /// Simulates a crash: drops the memory and closes all connections.
    pub(super) fn crash(&self) {
        let mut state = self.state();
        if !state.alive {
            return;
        }
        state.alive = false;
        state.incarnation += 1;
        state.memory = Memory::new(&self.settings);
        let restart_after_ms = state.faults.restart_after_ms;
        state.restart_at = restart_after_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        drop(state);
        self.listener.close_connections();
        self.notify();
    }

    /// Stops the engine; it does not restart.
    pub(super) fn stop(&self) {
        self.state().stopped = true;
        self.crash();
    }

    fn restart(&self, state: &mut State) {
        state.alive = true;
        state.hung = false;
        state.restart_at = None;
        state.faults.dead = false;
        state.memory = Memory::new(&self.settings);
    }

    /// Applies the faults that take effect when a position is about to run, then waits while the engine hangs.
    pub(super) fn inject_faults(
        &self,
        context: AttemptContext<'_>,
        position: u32,
        prompt: &str,
    ) -> Result<(), Interrupt> {
        let mut state = self.state();
        check_state(&state, context)?;
        if state.faults.hang_at_position == Some(position) {
            state.faults.hang_at_position = None;
            state.hung = true;
        }
        let is_crash_position = state.faults.die_at_position == Some(position);
        if is_crash_position {
            state.faults.die_at_position = None;
        }
        let marker = state.faults.crash_marker.as_deref();
        let has_crash_marker = marker.is_some_and(|marker| prompt.contains(marker));
        drop(state);
        if is_crash_position || has_crash_marker {
            self.crash();
        }
        self.wait_until(context, Instant::now())
    }

    /// Processing time of `tokens` at a rate, multiplied by the `slow_factor` of the faults.
    pub(super) fn processing_time(&self, tokens: u32, tokens_per_s: f64) -> Duration {
        let slow_factor = self.state().faults.slow_factor.max(0.0);
        let seconds = f64::from(tokens) * slow_factor / tokens_per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the load report. Its load figures are as old as the settings and the faults demand.
    pub(super) fn load_report(&self) -> LoadReport {
        let mut state = self.state();
        let lag_ms = self.settings.load_report_lag_ms + state.faults.stale_load_report_ms;
        let memory = &mut state.memory;
        memory.inventory.complete_due_loads(Instant::now());
        let mut sample = memory.sample();
        if lag_ms > 0 {
            sample = memory.history.load_at(sample.at_unix_ms.saturating_sub(lag_ms));
        }
        LoadReport {
            measured_at_unix_ms: sample.at_unix_ms,
            started_at_unix_ms: memory.started_at_unix_ms,
            slots: self.settings.slots,
            running: sample.running,
            waiting: sample.waiting,
            pending_tokens: sample.pending_tokens,
            tokens_per_s: self.settings.tokens_per_s,
            models: memory.inventory.names(),
            highest_fencing_number: memory.inventory.highest_fencing_number(),
        }
    }
}
