//! The right to one dispatch, given back when it is dropped.

use std::sync::Arc;

use godwit_core::UnixMs;
use godwit_core::placement::DispatchHandle;
use godwit_core::route::{DispatchOutcome, Estimate};
use godwit_schema::engine::Stage;

use super::place::Placement;
use super::report;

/// Tokens after which progress is told to the router.
const TOKENS_PER_REPORT: u32 = 8;

/// The right to run a request of a split model over its stages.
#[derive(Debug)]
pub struct StageGrants {
    /// The plan, in order.
    pub stages: Vec<Stage>,
    /// When the request was expected to finish.
    pub estimate: Estimate,
    /// The right to each stage.
    pub grants: Vec<Grant>,
}

/// The right to dispatch a request to one server.
///
/// The end is told by [`done`](Grant::done), [`failed`](Grant::failed) or [`refused`](Grant::refused); a grant that is
/// dropped without one counts as cancelled.
#[derive(Debug)]
pub struct Grant {
    placement: Arc<Placement>,
    dispatch: DispatchHandle,
    estimate: Estimate,
    granted_at: UnixMs,
    first_token_at: Option<UnixMs>,
    tokens: u32,
    unreported_tokens: u32,
    end: DispatchOutcome,
}

impl Grant {
    pub(super) fn new(
        placement: Arc<Placement>,
        dispatch: DispatchHandle,
        estimate: Estimate,
        granted_at: UnixMs,
    ) -> Grant {
        Grant {
            placement,
            dispatch,
            estimate,
            granted_at,
            first_token_at: None,
            tokens: 0,
            unreported_tokens: 0,
            end: DispatchOutcome::Cancelled,
        }
    }

    /// Name of the server.
    pub fn server(&self) -> &str {
        &self.dispatch.server
    }

    /// When the request was expected to finish.
    pub fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Counts a token that came.
    pub fn token(&mut self) {
        self.tokens += 1;
        self.unreported_tokens += 1;
        if self.first_token_at.is_none() {
            let now = self.placement.now();
            self.first_token_at = Some(now);
            report::first_token(&self.estimate, now.since_ms(self.granted_at));
        }
        if self.unreported_tokens >= TOKENS_PER_REPORT {
            self.placement.progressed(&self.dispatch, self.unreported_tokens);
            self.unreported_tokens = 0;
        }
    }

    /// The whole answer came.
    pub fn done(mut self) {
        let now = self.placement.now();
        let since = self.first_token_at.unwrap_or(self.granted_at);
        self.end = DispatchOutcome::Done { tokens: self.tokens, took_ms: now.since_ms(since) };
        report::finished(&self.estimate, now.since_ms(self.granted_at));
    }

    /// The server did not answer, broke off or was too slow.
    pub fn failed(mut self) {
        self.end = DispatchOutcome::Failed;
    }

    /// The server refused the connection or the request.
    pub fn refused(mut self) {
        self.end = DispatchOutcome::Refused;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.placement.ended(&self.dispatch, self.end);
    }
}
