//! Cost of one decision, by the number of servers or workspaces: server selection, and placement with and without a
//! queue; and of the events of a stream.
//!
//! `cargo bench -p godwit-core --bench decisions`

use std::collections::BTreeSet;

use divan::Bencher;
use godwit_core::placement::{PlaceOutcome, PlaceRequest, Placer};
use godwit_core::route::{Choice, DispatchOutcome, Policy, PromptPrefix, RouteRequest, Router};
use godwit_core::site::{
    AcceleratorSpec, BackendServer as SiteServer, EventStream, ModelSpec, ServerState, plan_layout,
};
use godwit_core::{Admission, Reading, Target, UnixMs};
use godwit_schema::config::{BackendServer, Fleet, Model, ServerRole};
use godwit_schema::engine::{CacheAction, CacheEvent};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: UnixMs = UnixMs(1_000_000);
const SERVERS: [usize; 3] = [50, 200, 700];
const WORKSPACES: [usize; 3] = [10, 100, 740];
const DOMAINS: usize = 7;
const SLOTS: u32 = 8;
const WAITING_REQUESTS: u64 = 740;

fn main() {
    divan::main();
}

fn fleet(servers: usize) -> Fleet {
    let server = |n: usize| BackendServer {
        name: format!("engine-{n:03}"),
        address: "127.0.0.1:1".to_string(),
        failure_domain: format!("domain-{}", n % DOMAINS),
        role: ServerRole::Engine,
        accelerator_kind: None,
        slots: SLOTS,
        tokens_per_s: [20.0, 40.0, 80.0][n % 3],
        prefill_tokens_per_s: 4_000.0,
        models: vec!["crane".to_string()],
        layer_from: None,
        layer_to: None,
        service: None,
        checks_fencing: false,
    };
    Fleet { servers: (0..servers).map(server).collect(), ..Fleet::default() }
}

fn reading(n: usize, running: u32) -> Reading {
    Reading {
        server: format!("engine-{n:03}"),
        measured_at: NOW.minus_ms(500),
        started_at: UnixMs(1),
        slots: SLOTS,
        running,
        waiting: 0,
        pending_tokens: u64::from(running) * 50,
        tokens_per_s: 40.0,
    }
}

fn router(servers: usize, running: u32) -> Router {
    let mut router = Router::new("domain-0", Policy::EarliestFinish, 3);
    router.apply_fleet(&fleet(servers), NOW.minus_ms(100_000));
    router.set_host_count(50);
    (0..servers).for_each(|n| router.observe_reading(&reading(n, running), NOW));
    router
}

fn admission(workspace: usize) -> Admission {
    Admission {
        workspace: format!("workspace-{workspace:03}"),
        kind: "draft".to_string(),
        event: None,
        rule: "all".to_string(),
        target: Target::Model { model: "crane".to_string(), adapter: None },
        priority: 1,
        non_idempotent: false,
        deadline: NOW.plus_ms(60_000),
        max_tokens: 100,
        may_use_reserve: false,
        prompt_bytes: 2_000,
    }
}

fn bench_choose(bencher: Bencher<'_, '_>, mut router: Router, prefixes: &[PromptPrefix]) {
    let mut rng = SmallRng::seed_from_u64(1);
    let admission = admission(0);
    let excluded = BTreeSet::new();
    let request =
        RouteRequest { admission: &admission, prefixes, excluded: &excluded, backlog: false };
    bencher.bench_local(|| router.choose(request, NOW, &mut rng));
}

/// All servers have free slots, so that sampled servers decide.
#[divan::bench(args = SERVERS)]
fn choose_with_free_slots(bencher: Bencher<'_, '_>, servers: usize) {
    bench_choose(bencher, router(servers, SLOTS / 2), &[]);
}

/// No server has a free slot, so that all candidates are checked.
#[divan::bench(args = SERVERS)]
fn choose_with_all_full(bencher: Bencher<'_, '_>, servers: usize) {
    bench_choose(bencher, router(servers, SLOTS), &[]);
}

/// A prompt of 8 KB, of which a few servers have prefixes cached.
#[divan::bench(args = SERVERS)]
fn choose_with_cached_prefixes(bencher: Bencher<'_, '_>, servers: usize) {
    let prefixes = PromptPrefix::of_prompt(&"a note on the week's produce ".repeat(280));
    let mut router = router(servers, SLOTS / 2);
    for n in 0..servers {
        let events: Vec<CacheEvent> = (1..200_u64).map(|sequence| event(n, sequence)).collect();
        router.observe_cache_events(&format!("engine-{n:03}"), &events);
    }
    for (n, prefix) in prefixes.iter().step_by(20).enumerate() {
        let stored_event = CacheEvent { sequence: 200, ..stored_event(prefix.hash) };
        router.observe_cache_events(&format!("engine-{n:03}"), &[stored_event]);
    }
    bench_choose(bencher, router, &prefixes);
}

fn event(server: usize, sequence: u64) -> CacheEvent {
    CacheEvent { sequence, ..stored_event(server as u64 * 1_000 + sequence) }
}

fn stored_event(hash: u64) -> CacheEvent {
    CacheEvent {
        sequence: 0,
        action: CacheAction::Stored,
        prefix_hash: format!("{hash:016x}"),
        prefix_bytes: 64,
    }
}

/// A model split in quarters over all servers, planned over the servers sampled for each range.
#[divan::bench(args = SERVERS)]
fn choose_split(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fleet = fleet(servers);
    for (n, server) in fleet.servers.iter_mut().enumerate() {
        let layer_from = 16 * (n as u32 % 4);
        (server.layer_from, server.layer_to) = (Some(layer_from), Some(layer_from + 16));
    }
    fleet.models = vec![Model { name: "crane".to_string(), layers: 64, adapters: Vec::new() }];
    let mut router = Router::new("domain-0", Policy::EarliestFinish, 3);
    router.apply_fleet(&fleet, NOW);
    bench_choose(bencher, router, &[]);
}

/// One request arrives, is granted at once and ends: the whole cost of a placement without a backlog.
#[divan::bench(args = SERVERS)]
fn place_without_backlog(bencher: Bencher<'_, '_>, servers: usize) {
    let mut placer = Placer::new(router(servers, SLOTS / 2), SmallRng::seed_from_u64(1));
    let done = DispatchOutcome::Done { tokens: 100, took_ms: 2_500 };
    bencher.with_inputs(|| request(0)).bench_local_values(|request| {
        if let PlaceOutcome::Granted(granted) = placer.place(request, NOW) {
            placer.record_end(&granted.dispatches[0], done, NOW);
        }
    });
}

/// One request ends, the next queued one gets its slot, and a new request takes its place in the queue.
#[divan::bench(args = WORKSPACES)]
fn place_with_backlog(bencher: Bencher<'_, '_>, workspaces: usize) {
    let mut router = router(700, SLOTS);
    let running_id = router.dispatch_started("engine-000", 100, NOW.minus_ms(1_000));
    router.observe_reading(&Reading { measured_at: NOW, ..reading(0, SLOTS) }, NOW);
    let mut placer = Placer::new(router, SmallRng::seed_from_u64(1));
    for n in 0..WAITING_REQUESTS {
        placer.place(request(n as usize % workspaces), NOW);
    }
    placer.router_mut().dispatch_ended("engine-000", running_id, DispatchOutcome::Cancelled, NOW);
    let mut next = 0;
    bencher.bench_local(|| {
        next += 1;
        placer.place(request(next % workspaces), NOW);
        placer.review(NOW.plus_ms(30));
        for decision in placer.take_decisions() {
            if let Ok(granted) = decision.outcome {
                placer.record_end(&granted.dispatches[0], DispatchOutcome::Cancelled, NOW);
            }
        }
    });
}

fn request(workspace: usize) -> PlaceRequest {
    PlaceRequest {
        admission: admission(workspace),
        prefixes: Vec::new(),
        excluded: BTreeSet::new(),
    }
}

/// One load reading arrives.
#[divan::bench(args = SERVERS)]
fn observe_reading(bencher: Bencher<'_, '_>, servers: usize) {
    let mut router = router(servers, SLOTS / 2);
    let mut at = 0;
    bencher.bench_local(|| {
        at += 1;
        let reading = Reading { measured_at: NOW.plus_ms(at), ..reading(7, 4) };
        router.observe_reading(&reading, NOW.plus_ms(at));
    });
}

/// Only the decision for full servers. Asserts that it is to wait, as a guard that the benchmarks above measure what
/// they say.
#[divan::bench(args = SERVERS)]
fn wait_or_refuse(bencher: Bencher<'_, '_>, servers: usize) {
    let router = router(servers, SLOTS);
    let mut rng = SmallRng::seed_from_u64(1);
    let admission = admission(0);
    let excluded = BTreeSet::new();
    let request =
        RouteRequest { admission: &admission, prefixes: &[], excluded: &excluded, backlog: true };
    bencher.bench_local(|| {
        let choice = router.wait_or_refuse(request, NOW, &mut rng);
        assert!(matches!(choice, Choice::Wait { .. }));
        choice
    });
}

/// Number of large, middle and small accelerators of a site in each of three failure domains.
const SMALL_SITE: [[usize; 3]; 3] = [[1, 3, 8], [1, 6, 5], [2, 2, 5]];
const GROWN_SITE: [[usize; 3]; 3] = [[2, 9, 22], [2, 15, 12], [4, 6, 14]];

fn site_model() -> ModelSpec {
    let kind = |step_factor, read_factor, memory_mb| AcceleratorSpec {
        step_factor,
        read_factor,
        memory_mb,
    };
    let kinds = [kind(2.4, 3.2, 72e3), kind(5.6, 2.7, 43e3), kind(16.0, 8.2, 22e3)];
    ModelSpec {
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 918e3,
        load_ms: 14_000,
        loads_at_once: 5,
        step_ms: 1.02,
        step_per_request_ms: 0.007,
        step_per_kilotoken_ms: 0.01,
        read_tokens_per_s: 164e3,
        steps_per_pass: 5,
        usual_prompt_tokens: 774,
        usual_answer_tokens: 200,
        report_lag_ms: 200,
        activation_bytes: 45_900.0,
        link_mbps: 10_400.0,
        kinds: (0..).map(|kind: usize| kind.to_string()).zip(kinds).collect(),
    }
}

#[divan::bench(args = [SMALL_SITE, GROWN_SITE])]
fn layout_of_an_empty_site(bencher: Bencher<'_, '_>, counts: [[usize; 3]; 3]) {
    let model = site_model();
    let mut servers = Vec::new();
    for (domain, kinds) in counts.iter().enumerate() {
        for (kind, count) in kinds.iter().enumerate() {
            servers.extend((0..*count).map(|number| SiteServer {
                id: format!("{domain}-{kind}-{number}"),
                service: "model".to_string(),
                address: ([10, 0, 0, 1], 80).into(),
                failure_domain: domain.to_string(),
                state: ServerState::Ready,
                slots: 192,
                kind: kind.to_string(),
                layers: None,
                born_unix_ms: 0,
                heartbeats: 1,
            }));
        }
    }
    let refs: Vec<&SiteServer> = servers.iter().collect();
    bencher.bench(|| plan_layout(&model, &refs));
}

/// Number of events of a stream.
const EVENTS: u64 = 1_000;

/// Splits a stream whose pieces hold `piece_bytes` each.
#[divan::bench(args = [16, 64, 1_400, 16_384])]
fn events_of_a_stream(bencher: Bencher<'_, '_>, piece_bytes: usize) {
    let text: String = (1..=EVENTS)
        .map(|id| format!("id: {id}\ndata: {{\"text\": \" token {id}\"}}\n\n"))
        .collect();
    bencher.counter(divan::counter::ItemsCount::new(EVENTS)).bench(|| {
        let mut open = EventStream::begin(None);
        let mut event_bytes = 0;
        for piece in divan::black_box(text.as_bytes()).chunks(piece_bytes) {
            let pushed = open.push(piece);
            event_bytes += pushed.events.len();
            open = pushed.next.expect("a sound stream");
        }
        open.end_of_body().expect("a sound stream").complete();
        event_bytes
    });
}
