//! Objects that no writer of ours wrote, in the store of the platform stand-in: they must not hold up the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use godwit_core::orders::OrdersSettings;
use godwit_host::SystemClock;
use godwit_host::configuration::{
    Configuration, ConfigurationSettings, Neighbours, PlatformSource, SourceError,
};
use godwit_host::orders::{DomainFleet, Orders, OrdersStartSettings};
use godwit_platform::{Platform, PlatformSettings};
use godwit_schema::config::BackendServer;
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, PlatformStandin};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the calls of an undisturbed host are counted.
const CALM: Duration = Duration::from_secs(2);
/// Calls that a watching host may make in [`CALM`]: a poll and its watch, each with some room.
const MAX_CALM_CALLS: u64 = 12;
/// Nesting that the store accepts but that, within a reply, exceeds the limit of the parser.
const STORABLE_NESTING: usize = 127;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn start_platform() -> (PlatformStandin, Platform) {
    let standin =
        PlatformStandin::start(godwit_standin::PlatformSettings::new(any_port())).unwrap();
    let platform = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    (standin, platform)
}

fn odd_value() -> Value {
    (0..STORABLE_NESTING).fold(json!([]), |value, _| json!([value]))[0].clone()
}

#[track_caller]
fn wait_until(what: &str, is_reached: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A host without neighbours, which watches the platform.
struct Alone;

impl Neighbours for Alone {
    fn call(&self, _: SocketAddr, _: &[u8]) -> Result<Vec<u8>, SourceError> {
        Err(SourceError("no neighbours".to_string()))
    }

    fn is_watcher(&self) -> bool {
        true
    }
}

#[test]
fn configuration_follows_changes_beside_an_unreadable_object() {
    let (standin, platform) = start_platform();
    let mut fleet: Value =
        serde_json::from_str(include_str!("../../../tests/fixtures/fleet.json")).unwrap();
    let fleet = fleet["value"].take();
    let version = platform.write("config/fleet", 0, &fleet).unwrap();
    platform.write("config/workspaces/odd", 0, &odd_value()).unwrap();
    let configuration = Configuration::start(ConfigurationSettings {
        source: Arc::new(PlatformSource(platform.clone())),
        neighbours: Arc::new(Alone),
        clock: Arc::new(SystemClock),
    })
    .unwrap();
    wait_until("the fleet is in use", || configuration.view().is_usable());
    wait_until("the odd object is known", || {
        configuration.view().unreadable() == ["workspaces/odd"]
    });
    assert!(configuration.is_platform_reachable());
    let mut larger = fleet;
    larger["models"].as_array_mut().unwrap().push(json!({"name": "second", "layers": 4}));
    platform.write("config/fleet", version, &larger).unwrap();
    wait_until("the change is in use", || configuration.view().fleet().models.len() == 2);
    let counts = || {
        let counts = standin.counts();
        counts.reads + counts.lists + counts.watches
    };
    let before = counts();
    std::thread::sleep(CALM);
    let calls = counts() - before;
    assert!(calls <= MAX_CALM_CALLS, "{calls} calls without a change");
}

#[test]
fn orders_reach_engines_beside_an_unreadable_desired_object() {
    let (standin, platform) = start_platform();
    let engines = ["e0", "e1"].map(|name| {
        let mut settings = EngineSettings::new(any_port(), name);
        settings.models = vec![LoadedModel::whole("m0", 4)];
        settings.order_load_ms = 0;
        EngineStandin::start(settings).unwrap()
    });
    let servers = engines.iter().enumerate().map(|(index, engine)| {
        let value = json!({
            "name": format!("e{index}"),
            "address": engine.address().to_string(),
            "failure_domain": "hall-a",
            "role": "engine",
        });
        serde_json::from_value::<BackendServer>(value).unwrap()
    });
    let models = ["m0", "m1"].map(str::to_string).to_vec();
    let fleet = DomainFleet { engines: servers.collect(), models };
    platform.write("desired/e0", 0, &odd_value()).unwrap();
    platform.write("desired/e1", 0, &json!({"models": ["m1"]})).unwrap();
    let mut settings = OrdersStartSettings::new("h1", 1, "hall-a");
    settings.observe_interval_ms = 50;
    settings.delays = OrdersSettings {
        takeover_delay_ms: 50,
        load_interval_ms: 50,
        retry_delay_ms: 50,
        ..OrdersSettings::default()
    };
    let client = Platform::new(&standin.address().to_string(), PlatformSettings::default());
    let orders =
        Orders::start(&settings, &client, Arc::new(SystemClock), Arc::new(move || fleet.clone()))
            .unwrap();
    orders.set_hosts(["h1"]);
    let address = engines[1].address().to_string();
    wait_until("the second engine has its model", || {
        let loaded = godwit_engine::load(&address, now_plus(2_000), now_plus(0));
        loaded.is_ok_and(|report| report.models == ["m1"])
    });
}

fn now_plus(ms: u64) -> godwit_core::UnixMs {
    godwit_host::Clock::now(&SystemClock).plus_ms(ms)
}
