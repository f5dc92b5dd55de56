//! Waits of attempts on the engine's state, and the reasons that interrupt them.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use super::core::{Engine, State};
use crate::http::Responder;

/// Maximum wait between two checks for an interrupt.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why an attempt ends before it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// The engine crashed.
    EngineCrashed,
    /// The attempt was cancelled, or a newer attempt arrived.
    Superseded,
    /// The client closed its connection.
    ClientDisconnected,
}

/// One attempt of a request, in one incarnation of the engine, and the connection of its client.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext<'a> {
    pub(super) request_id: &'a str,
    pub(super) attempt: u32,
    pub(super) incarnation: u64,
    pub(super) client: &'a Responder<'a>,
}

impl Engine {
    /// Waits until `due`, or until the engine stops hanging if that is later.
    pub(super) fn wait_until(
        &self,
        context: AttemptContext<'_>,
        due: Instant,
    ) -> Result<(), Interrupt> {
        self.wait_for(context, Some(due), |_| false).map(|_| ())
    }

    /// Waits until `ready` returns true or `due` has passed; returns whether `ready` returned true.
    pub(super) fn wait_for(
        &self,
        context: AttemptContext<'_>,
        due: Option<Instant>,
        mut ready: impl FnMut(&mut State) -> bool,
    ) -> Result<bool, Interrupt> {
        let mut state = self.state();
        loop {
            check_state(&state, context)?;
            let mut wait = RECHECK_INTERVAL;
            if !state.is_hanging() {
                if ready(&mut state) {
                    return Ok(true);
                }
                let remaining = due.map(|due| due.saturating_duration_since(Instant::now()));
                if remaining.is_some_and(|remaining| remaining.is_zero()) {
                    return Ok(false);
                }
                wait = remaining.unwrap_or(RECHECK_INTERVAL).min(RECHECK_INTERVAL);
            }
            let waited = self.changed.wait_timeout(state, wait);
            let (woken, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            state = woken;
            let is_long_wait = timeout.timed_out() && wait == RECHECK_INTERVAL;
            if is_long_wait && !state.is_hanging() && context.client.is_client_disconnected() {
                return Err(Interrupt::ClientDisconnected);
            }
        }
    }

    /// Fails if the attempt has ended or its client has disconnected.
    pub(super) fn check_interrupt(&self, context: AttemptContext<'_>) -> Result<(), Interrupt> {
        check_state(&self.state(), context)?;
        if context.client.is_client_disconnected() {
            Err(Interrupt::ClientDisconnected)
        } else {
            Ok(())
        }
    }

    /// Blocks while the engine hangs.
    pub(super) fn wait_while_hanging(&self) {
        let mut state = self.state();
        while state.is_hanging() && state.alive {
            let waited = self.changed.wait_timeout(state, RECHECK_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Fails if the engine has crashed since the attempt began, or the attempt was cancelled or superseded.
pub(super) fn check_state(state: &State, context: AttemptContext<'_>) -> Result<(), Interrupt> {
    if !state.alive || state.incarnation != context.incarnation {
        return Err(Interrupt::EngineCrashed);
    }
    if !state.memory.attempts.is_current(context.request_id, context.attempt) {
        return Err(Interrupt::Superseded);
    }
    Ok(())
}
