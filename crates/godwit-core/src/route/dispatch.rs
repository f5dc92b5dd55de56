//! Accounting of this host's dispatches: their load on a server, and their outcomes as a sign of its health.

use super::active_dispatch::ActiveDispatch;
use super::fleet::{Candidates, ServerIndex};
use super::health::{AnswerTiming, may_eject_one_more};
use super::load::DispatchId;
use super::router::Router;
use crate::UnixMs;

/// Outcome of a dispatch, as far as it concerns the health of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchOutcome {
    /// The answer arrived complete.
    Done {
        /// Number of tokens in the answer.
        tokens: u32,
        /// Time from the first to the last token, or of the whole call to a plain service, in milliseconds.
        took_ms: u64,
    },
    /// The server did not answer, closed the stream early, or was too slow.
    Failed,
    /// The server rejected the request.
    Refused,
    /// The host cancelled the dispatch for a reason that is unrelated to the server's health.
    Cancelled,
}

impl Router {
    /// Records the start of a dispatch and returns its number.
    pub fn dispatch_started(&mut self, server: &str, max_tokens: u32, now: UnixMs) -> DispatchId {
        self.next_dispatch += 1;
        let id = DispatchId(self.next_dispatch);
        if let Some(index) = self.index(server) {
            let view = &mut self.views[index as usize];
            let tokens_left = u64::from(max_tokens);
            view.active_dispatches.insert(id, ActiveDispatch::new(tokens_left, now));
            view.load.dispatch_started(tokens_left);
        }
        id
    }

    /// Records newly received tokens of a dispatch; returns true if its server is ejected for being slow.
    pub fn dispatch_progressed(
        &mut self,
        server: &str,
        id: DispatchId,
        tokens: u32,
        now: UnixMs,
    ) -> bool {
        let Some(index) = self.index(server) else {
            return false;
        };
        let view = &mut self.views[index as usize];
        let Some(dispatch) = view.active_dispatches.get_mut(&id) else {
            return false;
        };
        let progress = dispatch.record_progress(u64::from(tokens), now);
        view.load.dispatch_progressed(progress.tokens);
        let Some(sample) = progress.sample else {
            return false;
        };
        let timing = self.answer_timing(index, sample.tokens, sample.took_ms as f64);
        self.views[index as usize].health.record_timing(timing);
        self.eject_if_slow(index, now)
    }

    /// Records the end of a dispatch; returns true if its server is ejected because of it.
    pub fn dispatch_ended(
        &mut self,
        server: &str,
        id: DispatchId,
        outcome: DispatchOutcome,
        now: UnixMs,
    ) -> bool {
        let Some(index) = self.index(server) else {
            return false;
        };
        let view = &mut self.views[index as usize];
        if let Some(dispatch) = view.active_dispatches.remove(&id) {
            view.load.dispatch_ended(dispatch.started_at, dispatch.tokens_left, now);
        }
        let should_eject = match outcome {
            DispatchOutcome::Cancelled => false,
            DispatchOutcome::Failed | DispatchOutcome::Refused => view.health.record_failure(now),
            DispatchOutcome::Done { tokens, took_ms } => {
                let timing = self.answer_timing(index, tokens.saturating_sub(1), took_ms as f64);
                let view = &mut self.views[index as usize];
                view.health.record_success(timing, now);
                return self.eject_if_slow(index, now);
            }
        };
        should_eject && self.eject(index, now)
    }

    fn eject_if_slow(&mut self, index: ServerIndex, now: UnixMs) -> bool {
        let may_be_slow = self.views[index as usize].health.may_be_slow();
        may_be_slow && self.is_slower_than_peers(index) && self.eject(index, now)
    }

    /// Ejects a server unless too many servers of one of its targets are ejected or suspected; returns whether it did.
    fn eject(&mut self, index: ServerIndex, now: UnixMs) -> bool {
        let may_eject = self.may_eject(index, now);
        if may_eject {
            self.views[index as usize].health.eject(now);
        }
        may_eject
    }

    fn answer_timing(&self, index: ServerIndex, steps: u32, took_ms: f64) -> AnswerTiming {
        let spec = &self.table.servers[index as usize];
        let tokens_per_ms = self.nominal_tokens_per_ms(index);
        if !spec.is_engine {
            return AnswerTiming::Call { took_ms };
        }
        if !spec.holds_whole_model || tokens_per_ms <= 0.0 || steps == 0 {
            return AnswerTiming::Ignored;
        }
        AnswerTiming::Tokens { took_ms, expected_ms: f64::from(steps) / tokens_per_ms }
    }

    pub(super) fn may_eject(&self, index: ServerIndex, now: UnixMs) -> bool {
        self.table.containing(index).all(|candidates| {
            let counts_as_ejected =
                |index: &ServerIndex| self.views[*index as usize].health.counts_as_ejected(now);
            let others = candidates.all().filter(|other| *other != index);
            may_eject_one_more(others.filter(counts_as_ejected).count(), candidates.len())
        })
    }

    fn is_slower_than_peers(&self, index: ServerIndex) -> bool {
        let peer_median = |candidates: &Candidates| {
            let others = candidates.all().filter(|other| *other != index);
            median(others.filter_map(|other| self.views[other as usize].health.measured_slowness()))
        };
        let slowest_median =
            self.table.containing(index).filter_map(peer_median).fold(0.0, f64::max);
        self.views[index as usize].health.is_slower_than(slowest_median)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
