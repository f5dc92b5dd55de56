//! Permission for one dispatch, released on drop.

use std::sync::Arc;

use godwit_core::UnixMs;
use godwit_core::placement::DispatchHandle;
use godwit_core::route::{DispatchOutcome, Estimate};
use godwit_schema::engine::Stage;

use super::driver::Placement;
use super::report;

/// Number of tokens after which progress is reported to the router.
const PROGRESS_REPORT_TOKENS: u32 = 8;

/// Permission to run a request of a split model on the servers of its stages.
#[derive(Debug)]
pub struct StageGrants {
    /// Stages of the plan, in order.
    pub stages: Vec<Stage>,
    /// Estimated times of the request.
    pub estimate: Estimate,
    /// Grant of each stage.
    pub grants: Vec<Grant>,
}

/// Permission to dispatch a request to one server.
///
/// The outcome is reported by [`done`](Grant::done), [`failed`](Grant::failed) or [`refused`](Grant::refused). A grant
/// that is dropped without any of them counts as cancelled.
#[derive(Debug)]
pub struct Grant {
    placement: Arc<Placement>,
    dispatch: DispatchHandle,
    estimate: Estimate,
    granted_at: UnixMs,
    first_token_at: Option<UnixMs>,
    tokens: u32,
    unreported_tokens: u32,
    outcome: DispatchOutcome,
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
            outcome: DispatchOutcome::Cancelled,
        }
    }

    /// Name of the server.
    pub fn server(&self) -> &str {
        &self.dispatch.server
    }

    /// Estimated times of the request.
    pub fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Counts a received token.
    pub fn count_token(&mut self) {
        self.tokens += 1;
        self.unreported_tokens += 1;
        if self.first_token_at.is_none() {
            let now = self.placement.now();
            self.first_token_at = Some(now);
            report::first_token_received(&self.estimate, now.since_ms(self.granted_at));
        }
        if self.unreported_tokens >= PROGRESS_REPORT_TOKENS {
            self.placement.record_progress(&self.dispatch, self.unreported_tokens);
            self.unreported_tokens = 0;
        }
    }

    /// Ends the dispatch with a complete answer.
    pub fn done(mut self) {
        let now = self.placement.now();
        let generation_started_at = self.first_token_at.unwrap_or(self.granted_at);
        self.outcome = DispatchOutcome::Done {
            tokens: self.tokens,
            took_ms: now.since_ms(generation_started_at),
        };
        report::answer_completed(&self.estimate, now.since_ms(self.granted_at));
    }

    /// Ends the dispatch because the server did not answer, broke off its answer or was too slow.
    pub fn failed(mut self) {
        self.outcome = DispatchOutcome::Failed;
    }

    /// Ends the dispatch because the server refused the connection or the request.
    pub fn refused(mut self) {
        self.outcome = DispatchOutcome::Refused;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.placement.record_end(&self.dispatch, self.outcome);
    }
}
