//! Test of two coordinators of engine orders against the stand-ins, over real sockets.
//!
//! It guards against engines that do not reach their desired state, and against orders with a lower fencing number than
//! an earlier one, when the coordinator of a failure domain changes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwit_core::orders::OrdersSettings;
use godwit_host::orders::{DomainFleet, Orders, OrdersStartSettings};
use godwit_host::{Clock, SystemClock};
use godwit_platform::{Platform, PlatformSettings};
use godwit_schema::config::BackendServer;
use godwit_schema::engine::JournalAction;
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, PlatformStandin};
use serde_json::json;

const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn any_port() -> std::net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn platform_client(standin: &PlatformStandin) -> Platform {
    Platform::new(&standin.address().to_string(), PlatformSettings::default())
}

fn start_engine(name: &str, checks_fencing: bool) -> EngineStandin {
    let mut settings = EngineSettings::new(any_port(), name);
    settings.models = vec![LoadedModel::whole("m0", 4)];
    settings.order_load_ms = 0;
    settings.checks_fencing = checks_fencing;
    EngineStandin::start(settings).unwrap()
}

fn domain_fleet(engines: &[(&str, &EngineStandin, bool)]) -> DomainFleet {
    let servers = engines.iter().map(|(name, engine, checks_fencing)| {
        let value = json!({
            "name": name,
            "address": engine.address().to_string(),
            "failure_domain": "hall-a",
            "role": "engine",
            "checks_fencing": checks_fencing,
        });
        serde_json::from_value::<BackendServer>(value).unwrap()
    });
    let models = ["m0", "m1", "m2"].map(str::to_string).to_vec();
    DomainFleet { engines: servers.collect(), models }
}

fn start_coordinator(standin: &PlatformStandin, host: &str, fleet: &DomainFleet) -> Orders {
    let mut settings = OrdersStartSettings::new(host, 1, "hall-a");
    settings.observe_interval_ms = 50;
    settings.delays = OrdersSettings {
        takeover_delay_ms: 50,
        load_interval_ms: 50,
        retry_delay_ms: 50,
        ..OrdersSettings::default()
    };
    let fleet = fleet.clone();
    let clock = Arc::new(SystemClock);
    Orders::start(&settings, &platform_client(standin), clock, Arc::new(move || fleet.clone()))
        .unwrap()
}

fn wait_for_models(engine: &EngineStandin, expected: &[&str]) {
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    loop {
        let now = SystemClock.now();
        let report = godwit_engine::load(&engine.address().to_string(), now.plus_ms(2_000), now);
        let held = report.map(|report| report.models).unwrap_or_default();
        if held == expected {
            return;
        }
        assert!(Instant::now() < deadline, "holds {held:?} instead of {expected:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn fencing_numbers(engine: &EngineStandin) -> Vec<u64> {
    let journal = engine.journal();
    let orders = journal.iter().filter(|entry| entry.action == JournalAction::Order);
    let details = orders.filter_map(|entry| entry.detail.as_deref());
    details.filter_map(|detail| detail.rsplit_once("fencing_number=")?.1.parse().ok()).collect()
}

#[test]
fn orders_converge_after_coordinator_change() {
    let standin =
        PlatformStandin::start(godwit_standin::PlatformSettings::new(any_port())).unwrap();
    let platform = platform_client(&standin);
    let (checking, plain) = (start_engine("e0", true), start_engine("e1", false));
    let fleet = domain_fleet(&[("e0", &checking, true), ("e1", &plain, false)]);
    let (first, second) =
        (start_coordinator(&standin, "h1", &fleet), start_coordinator(&standin, "h2", &fleet));
    first.set_hosts(["h1"]);
    second.set_hosts(["h1"]);
    let e0_version = platform.write("desired/e0", 0, &json!({"models": ["m1"]})).unwrap();
    platform.write("desired/e1", 0, &json!({"models": ["m0", "m2"], "role": "prefill"})).unwrap();
    wait_for_models(&checking, &["m1"]);
    wait_for_models(&plain, &["m0", "m2"]);
    first.set_hosts(["h2"]);
    second.set_hosts(["h2"]);
    platform.write("desired/e0", e0_version, &json!({"models": ["m2"]})).unwrap();
    wait_for_models(&checking, &["m2"]);
    let numbers = [fencing_numbers(&checking), fencing_numbers(&plain)];
    assert!(numbers.iter().all(|numbers| numbers.is_sorted()), "{numbers:?}");
    assert_eq!(numbers[0].len(), 4, "{numbers:?}");
    assert!(numbers[1].len() >= 2, "{numbers:?}");
}
