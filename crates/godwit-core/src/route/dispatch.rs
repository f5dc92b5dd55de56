//! Own dispatches: what they add to a server's load, and what their ends tell of its health.

use super::fleet::{Candidates, ServerIndex};
use super::health::{Pace, may_eject_one_more};
use super::load::DispatchId;
use super::own::OwnDispatch;
use super::router::Router;
use crate::UnixMs;

/// How a dispatch ended, as far as it tells of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchEnd {
    /// The whole answer came.
    Done {
        /// Tokens of the answer.
        tokens: u32,
        /// Time from the first token to the last, or of the whole call of a plain service, in milliseconds.
        took_ms: u64,
    },
    /// The server did not answer, broke off, or was too slow.
    Failed,
    /// The server refused to take it.
    Refused,
    /// The host gave it up for a reason that tells nothing of the server.
    Cancelled,
}

impl Router {
    /// Counts a dispatch that begins.
    pub fn started(&mut self, server: &str, max_tokens: u32, now: UnixMs) -> DispatchId {
        self.next_dispatch += 1;
        let id = DispatchId(self.next_dispatch);
        if let Some(index) = self.index(server) {
            let view = &mut self.views[index as usize];
            let tokens_left = u64::from(max_tokens);
            view.own.insert(id, OwnDispatch::new(tokens_left, now));
            view.load.begin(tokens_left);
        }
        id
    }

    /// Counts tokens that a dispatch has brought; true when its server is ejected for bringing them slowly.
    pub fn progressed(&mut self, server: &str, id: DispatchId, tokens: u32, now: UnixMs) -> bool {
        let Some(index) = self.index(server) else {
            return false;
        };
        let view = &mut self.views[index as usize];
        let Some(own) = view.own.get_mut(&id) else {
            return false;
        };
        let progress = own.progress(u64::from(tokens), now);
        view.load.progress(progress.tokens);
        let Some(lap) = progress.lap else {
            return false;
        };
        let pace = self.pace(index, lap.tokens, lap.took_ms as f64);
        self.views[index as usize].health.observe_pace(pace);
        self.eject_if_slow(index, now)
    }

    /// Counts the end of a dispatch; true when its server is ejected for it.
    pub fn ended(&mut self, server: &str, id: DispatchId, end: DispatchEnd, now: UnixMs) -> bool {
        let Some(index) = self.index(server) else {
            return false;
        };
        let view = &mut self.views[index as usize];
        if let Some(own) = view.own.remove(&id) {
            view.load.end(own.started_at, own.tokens_left, now);
        }
        let should_eject = match end {
            DispatchEnd::Cancelled => false,
            DispatchEnd::Failed | DispatchEnd::Refused => view.health.failed(now),
            DispatchEnd::Done { tokens, took_ms } => {
                let pace = self.pace(index, tokens.saturating_sub(1), took_ms as f64);
                let view = &mut self.views[index as usize];
                view.health.succeeded(pace, now);
                return self.eject_if_slow(index, now);
            }
        };
        should_eject && self.eject(index, now)
    }

    fn eject_if_slow(&mut self, index: ServerIndex, now: UnixMs) -> bool {
        let looks_slow = self.views[index as usize].health.looks_slow();
        looks_slow && self.is_slower_than_peers(index) && self.eject(index, now)
    }

    /// Ejects a server if one more may be out.
    fn eject(&mut self, index: ServerIndex, now: UnixMs) -> bool {
        let may_eject = self.may_eject(index, now);
        if may_eject {
            self.views[index as usize].health.eject(now);
        }
        may_eject
    }

    fn pace(&self, index: ServerIndex, steps: u32, took_ms: f64) -> Pace {
        let traits = &self.table.servers[index as usize];
        let tokens_per_ms = self.nominal_tokens_per_ms(index);
        if !traits.is_engine {
            return Pace::Call { took_ms };
        }
        if !traits.holds_whole_model || tokens_per_ms <= 0.0 || steps == 0 {
            return Pace::Unjudged;
        }
        Pace::Tokens { took_ms, expected_ms: f64::from(steps) / tokens_per_ms }
    }

    pub(super) fn may_eject(&self, index: ServerIndex, now: UnixMs) -> bool {
        self.table.shared_by(index).all(|candidates| {
            let is_out = |index: &ServerIndex| self.views[*index as usize].health.is_out(now);
            let others = candidates.all().filter(|other| *other != index);
            may_eject_one_more(others.filter(is_out).count(), candidates.len())
        })
    }

    fn is_slower_than_peers(&self, index: ServerIndex) -> bool {
        let peers = |candidates: &Candidates| {
            let others = candidates.all().filter(|other| *other != index);
            median(others.filter_map(|other| self.views[other as usize].health.judged_slowness()))
        };
        let slowest = self.table.shared_by(index).filter_map(peers).fold(0.0, f64::max);
        self.views[index as usize].health.is_slow_against(slowest)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
