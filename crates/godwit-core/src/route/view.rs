//! Runtime state of each server as this host sees it: load, speed and health.

use std::collections::BTreeMap;

use godwit_schema::operator::{ServerState, ServerStatus};

use super::active_dispatch::ActiveDispatch;
use super::choice::RouteRequest;
use super::estimate::{FIRST_SERVICE_CALL_MS, ServerSpeed, decode_ms, queue_ms};
use super::fleet::ServerIndex;
use super::health::{HealthState, ServerHealth};
use super::load::{DispatchId, LoadEstimate, ServerLoad};
use super::router::{Ineligibility, Router};
use crate::UnixMs;

/// Time for which the dither of a host and server stays the same, in milliseconds.
const DITHER_PERIOD_MS: u64 = 1_500;

/// Load of a server that can run a stage of a split model.
#[derive(Clone, Debug, PartialEq)]
pub struct StageLoad {
    /// Name of the server.
    pub server: String,
    /// Whether the server may get work.
    pub usable: bool,
    /// Wait for a slot, in milliseconds.
    pub queue_ms: f64,
    /// Time of one token through all layers that the server holds, in milliseconds.
    pub token_ms: f64,
}

/// Runtime state of one server, besides its configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerView {
    pub(crate) load: ServerLoad,
    pub(crate) health: ServerHealth,
    pub(super) active_dispatches: BTreeMap<DispatchId, ActiveDispatch>,
    pub(super) last_reading_at: UnixMs,
}

impl ServerView {
    pub(super) fn first_seen_at(now: UnixMs) -> ServerView {
        ServerView { last_reading_at: now, ..ServerView::default() }
    }
}

impl Router {
    /// Loads of all engines, in order of name.
    pub fn stage_loads(&self, now: UnixMs) -> Vec<StageLoad> {
        let engines = self.table.by_name.values().copied();
        engines
            .filter(|index| self.table.servers[*index as usize].is_engine)
            .map(|index| self.stage_load(index, now))
            .collect()
    }

    /// Status of each server as this host sees it, in order of name.
    pub fn status(&self, now: UnixMs) -> Vec<ServerStatus> {
        self.table.by_name.values().map(|index| self.server_status(*index, now)).collect()
    }

    pub(crate) fn load_estimate(&self, index: ServerIndex) -> LoadEstimate {
        self.views[index as usize].load.estimate(self.other_hosts)
    }

    pub(crate) fn speed(&self, index: ServerIndex) -> ServerSpeed {
        let spec = &self.table.servers[index as usize];
        let view = &self.views[index as usize];
        let reading = view.load.reading.as_ref();
        let slots = reading.map(|reading| reading.slots).filter(|slots| *slots > 0);
        ServerSpeed {
            slots: f64::from(slots.unwrap_or(spec.slots)),
            tokens_per_ms: self.nominal_tokens_per_ms(index) / view.health.slowdown(),
            call_ms: view.health.call_ms().unwrap_or(FIRST_SERVICE_CALL_MS),
        }
    }

    /// Number of requests, from all hosts, below which the server can start another one.
    pub(crate) fn request_limit(&self, index: ServerIndex, may_use_reserve: bool) -> f64 {
        let slots = self.speed(index).slots;
        if may_use_reserve {
            return slots;
        }
        slots - f64::from(self.table.servers[index as usize].reserved_slots).min(slots - 1.0)
    }

    /// Whether the server has a free slot for the request.
    pub(crate) fn has_slot(
        &self,
        index: ServerIndex,
        request: &RouteRequest<'_>,
        now: UnixMs,
    ) -> bool {
        let view = &self.views[index as usize];
        let admission = request.admission;
        match view.health.state(now) {
            HealthState::Ejected => return false,
            HealthState::Probing => {
                return view.load.own_dispatches == 0 && !admission.non_idempotent;
            }
            HealthState::Healthy => {}
        }
        let limit =
            self.request_limit(index, admission.may_use_reserve || admission.non_idempotent);
        if request.backlog {
            self.is_below_fair_share(index, limit, now)
        } else {
            self.load_estimate(index).requests < limit
        }
    }

    /// Reason why the server is not eligible for the request, if any.
    pub(crate) fn ineligibility_for(
        &self,
        index: ServerIndex,
        request: &RouteRequest<'_>,
        now: UnixMs,
    ) -> Option<Ineligibility> {
        let name = &self.table.servers[index as usize].name;
        if !request.excluded.is_empty() && request.excluded.contains(name) {
            return Some(Ineligibility::Excluded);
        }
        self.ineligibility(index, now)
    }

    /// Whether this host is below its fair share of the server's slots.
    pub(crate) fn is_below_fair_share(&self, index: ServerIndex, limit: f64, now: UnixMs) -> bool {
        let load = &self.views[index as usize].load;
        load.is_below_fair_share(limit, self.other_hosts, self.dither(index, now))
    }

    /// Pseudo-random number from 0 to 1 that decides whether a fraction of a slot is rounded up. Differs between hosts
    /// and servers, and changes once per [`DITHER_PERIOD_MS`].
    fn dither(&self, index: ServerIndex, now: UnixMs) -> f64 {
        let phase = mix(self.seed ^ u64::from(index));
        let period = now.0.wrapping_add(phase % DITHER_PERIOD_MS) / DITHER_PERIOD_MS;
        mix(phase.wrapping_add(period)) as f64 / u64::MAX as f64
    }

    pub(crate) fn sample_chance(&self, index: ServerIndex, now: UnixMs) -> f64 {
        let view = &self.views[index as usize];
        let started_at = view.load.reading.as_ref().map(|reading| reading.started_at);
        view.health.sample_chance(started_at, now)
    }

    pub(super) fn nominal_tokens_per_ms(&self, index: ServerIndex) -> f64 {
        let spec = &self.table.servers[index as usize];
        if !spec.is_engine {
            return 0.0;
        }
        let reading = self.views[index as usize].load.reading.as_ref();
        let reported = reading.map(|reading| reading.tokens_per_s);
        let reported = reported.filter(|rate| rate.is_finite() && *rate > 0.0);
        reported.unwrap_or(spec.tokens_per_s) / 1_000.0
    }

    fn stage_load(&self, index: ServerIndex, now: UnixMs) -> StageLoad {
        let speed = self.speed(index);
        let load = self.load_estimate(index);
        StageLoad {
            server: self.table.servers[index as usize].name.clone(),
            usable: self.ineligibility(index, now).is_none(),
            queue_ms: queue_ms(&speed, &load),
            token_ms: decode_ms(&speed, 1.0),
        }
    }

    fn server_status(&self, index: ServerIndex, now: UnixMs) -> ServerStatus {
        let spec = &self.table.servers[index as usize];
        let view = &self.views[index as usize];
        let reading = view.load.reading.as_ref();
        ServerStatus {
            server: spec.name.clone(),
            failure_domain: spec.failure_domain.clone(),
            state: self.state(index, now),
            running: reading.map_or(0, |reading| reading.running),
            waiting: reading.map_or(0, |reading| reading.waiting),
            own_dispatches: view.load.own_dispatches,
            measured_at_unix_ms: reading.map_or(0, |reading| reading.measured_at.0),
        }
    }

    fn state(&self, index: ServerIndex, now: UnixMs) -> ServerState {
        let spec = &self.table.servers[index as usize];
        if spec.drained {
            return ServerState::Drained;
        }
        if self.leaving.contains(&spec.name) {
            return ServerState::Leaving;
        }
        match self.ineligibility(index, now) {
            None => ServerState::Usable,
            Some(Ineligibility::Silent | Ineligibility::Unreachable) => ServerState::Silent,
            Some(Ineligibility::NoNewWork | Ineligibility::Excluded) => ServerState::Ejected,
        }
    }
}

/// Hashes a number with the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
