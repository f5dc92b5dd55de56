//! Fixtures for tests of routing: small fleets, load readings and requests.
#![allow(dead_code, reason = "each test uses only some of these fixtures")]

use std::collections::BTreeSet;

use godwit_core::placement::PlaceRequest;
use godwit_core::route::{Choice, Policy, PromptPrefix, RouteRequest, Router};
use godwit_core::{Admission, Reading, Target, UnixMs};
use godwit_schema::config::{BackendServer, Fleet, ServerRole};
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) const START: UnixMs = UnixMs(1_000_000);
pub(crate) const MODEL: &str = "crane";

pub(crate) fn engine(name: &str, failure_domain: &str) -> BackendServer {
    BackendServer {
        name: name.to_string(),
        address: "127.0.0.1:1".to_string(),
        failure_domain: failure_domain.to_string(),
        role: ServerRole::Engine,
        accelerator_kind: None,
        slots: 4,
        tokens_per_s: 100.0,
        prefill_tokens_per_s: 0.0,
        models: vec![MODEL.to_string()],
        layer_from: None,
        layer_to: None,
        service: None,
        checks_fencing: false,
    }
}

pub(crate) fn engines(count: usize, failure_domain: &str) -> Vec<BackendServer> {
    (0..count).map(|n| engine(&format!("engine-{n:03}"), failure_domain)).collect()
}

pub(crate) fn fleet(servers: Vec<BackendServer>) -> Fleet {
    Fleet { servers, reserve_share: 0.0, ..Fleet::default() }
}

pub(crate) fn router(fleet: &Fleet) -> Router {
    let mut router = Router::new("hall-a", Policy::EarliestFinish, 7);
    router.apply_fleet(fleet, START);
    router
}

pub(crate) fn admission() -> Admission {
    Admission {
        workspace: "shop".to_string(),
        kind: "draft".to_string(),
        event: None,
        rule: "all".to_string(),
        target: Target::Model { model: MODEL.to_string(), adapter: None },
        priority: 1,
        non_idempotent: false,
        deadline: START.plus_ms(60_000),
        max_tokens: 100,
        may_use_reserve: false,
        prompt_bytes: 400,
    }
}

pub(crate) fn reading(server: &str, measured_at: UnixMs, running: u32, waiting: u32) -> Reading {
    Reading {
        server: server.to_string(),
        measured_at,
        started_at: UnixMs(1),
        slots: 4,
        running,
        waiting,
        pending_tokens: u64::from(running + waiting) * 100,
        tokens_per_s: 100.0,
    }
}

pub(crate) fn rng() -> SmallRng {
    SmallRng::seed_from_u64(42)
}

pub(crate) fn choose(router: &mut Router, admission: &Admission, now: UnixMs) -> Choice {
    choose_with(router, admission, &[], &[], now)
}

pub(crate) fn choose_with(
    router: &mut Router,
    admission: &Admission,
    prefixes: &[PromptPrefix],
    excluded: &[&str],
    now: UnixMs,
) -> Choice {
    let excluded: BTreeSet<String> = excluded.iter().map(ToString::to_string).collect();
    let request = RouteRequest { admission, prefixes, excluded: &excluded, backlog: false };
    router.choose(request, now, &mut rng())
}

pub(crate) fn server_of(choice: &Choice) -> Option<&str> {
    match choice {
        Choice::Start { server, .. } => Some(server),
        Choice::Wait { .. } | Choice::Refuse { .. } => None,
    }
}

pub(crate) fn place_request(admission: Admission) -> PlaceRequest {
    PlaceRequest { admission, prefixes: Vec::new(), excluded: BTreeSet::new() }
}
