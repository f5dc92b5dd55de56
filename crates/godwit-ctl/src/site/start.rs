//! Starts a whole site.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwit_core::config::{FLEET_OBJECT, workspace_object};
use godwit_host::{Clock, Node, PolicyName, Settings, SystemClock};
use godwit_schema::config::Fleet;
use godwit_schema::platform::{HostRole, HostState, ListedHost};
use godwit_standin::{PlatformSettings, PlatformStandin, ServiceSettings, ServiceStandin};

use super::backends::{EngineSpec, RunningEngine, service_entry};
use super::configuration::{Names, WORKSPACE_KEY, fleet, workspace};
use super::ports::{FirstPorts, loopback};
use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Peer key that the hosts of a site share.
const PEER_KEY: &str = "a key for hosts on loopback only";

/// Timeout for all hosts of a site to become ready.
const READY_TIMEOUT_MS: u64 = 20_000;

/// Time without data from a server after which the demo's hosts probe it.
const SILENT_AFTER_MS: u64 = 700;

/// Slots of the plain service.
const SERVICE_SLOTS: u32 = 16;

const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parts and settings of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Names of the failure domains.
    pub failure_domains: Vec<String>,
    /// Number of entry hosts in each failure domain.
    pub hosts_per_domain: u16,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Number of workspaces besides the first.
    pub extra_workspaces: usize,
    /// Policy by which hosts choose servers.
    pub policy: PolicyName,
    /// Time without data from a server after which hosts probe it, in milliseconds.
    pub silent_after_ms: u64,
    /// First port of each group.
    pub ports: FirstPorts,
}

impl SiteSettings {
    /// Returns the settings of the demo's site: three failure domains with one host each, engines of two kinds, and a
    /// split model.
    pub fn demo(ports: FirstPorts) -> SiteSettings {
        let failure_domains: Vec<String> =
            ["hall-a", "hall-b", "hall-c"].iter().map(|name| (*name).to_string()).collect();
        let mut engines = Vec::new();
        for domain in &failure_domains {
            engines.push(whole_model_engine(domain, "fast", 8, 100.0));
            engines.push(whole_model_engine(domain, "slow", 4, 25.0));
        }
        let stages = [("hall-a", 0, 16), ("hall-b", 0, 16), ("hall-b", 16, 32), ("hall-c", 16, 32)];
        engines.extend(stages.iter().map(|(domain, from, to)| stage_engine(domain, *from, *to)));
        engines.push(stage_engine("hall-c", 8, 24));
        SiteSettings {
            failure_domains,
            hosts_per_domain: 1,
            engines,
            extra_workspaces: 0,
            policy: PolicyName::EarliestFinish,
            silent_after_ms: SILENT_AFTER_MS,
            ports,
        }
    }
}

fn whole_model_engine(domain: &str, kind: &str, slots: u32, tokens_per_s: f64) -> EngineSpec {
    EngineSpec {
        name: format!("{domain}-{kind}"),
        failure_domain: domain.to_string(),
        accelerator_kind: kind.to_string(),
        slots,
        tokens_per_s,
        model: Names::MODEL.to_string(),
        model_layers: 16,
        layers: None,
        load_report_lag_ms: 200,
    }
}

fn stage_engine(domain: &str, from: u32, to: u32) -> EngineSpec {
    EngineSpec {
        name: format!("{domain}-stage-{from}-{to}"),
        model: Names::SPLIT_MODEL.to_string(),
        model_layers: 32,
        layers: Some((from, to)),
        ..whole_model_engine(domain, "stage", 4, 200.0)
    }
}

/// A running site, which stops when it is dropped.
pub struct Site {
    /// Entry hosts, by name.
    pub nodes: BTreeMap<String, Node>,
    /// Engines, by name.
    pub engines: BTreeMap<String, RunningEngine>,
    /// The plain service.
    pub service: ServiceStandin,
    /// The platform.
    pub platform: PlatformStandin,
    /// The fleet as configured at the start.
    pub fleet: Fleet,
    settings: SiteSettings,
}

impl Site {
    /// Starts all parts and waits until every host is ready to accept requests.
    ///
    /// # Errors
    /// When a part cannot be started, or a host does not become ready.
    pub fn start(settings: SiteSettings) -> Result<Site, CtlError> {
        let platform =
            PlatformStandin::start(PlatformSettings::new(loopback(settings.ports.platform, 0)));
        let platform = platform.map_err(failed)?;
        let mut service_settings =
            ServiceSettings::new(loopback(settings.ports.service, 0), "orders-1");
        service_settings.slots = SERVICE_SLOTS;
        let service = ServiceStandin::start(service_settings).map_err(failed)?;
        let mut engines = BTreeMap::new();
        for spec in &settings.engines {
            let engine = RunningEngine::start(spec.clone()).map_err(failed)?;
            engines.insert(spec.name.clone(), engine);
        }
        let fleet = site_fleet(&settings, &engines, &service);
        let mut site = Site { nodes: BTreeMap::new(), engines, service, platform, fleet, settings };
        site.configure()?;
        site.start_nodes()?;
        site.wait_until_ready()?;
        Ok(site)
    }

    fn configure(&self) -> Result<(), CtlError> {
        let store = Store::new(&self.platform.address().to_string());
        edit::write(&store, FLEET_OBJECT, 0, &self.fleet)?;
        for (name, key) in self.workspaces() {
            let value = workspace(&name, &key, SystemClock.now());
            edit::write(&store, &workspace_object(&name), 0, &value)?;
        }
        Ok(())
    }

    /// Returns the names of the workspaces with their keys.
    pub fn workspaces(&self) -> Vec<(String, String)> {
        let first = (Names::WORKSPACE.to_string(), WORKSPACE_KEY.to_string());
        let more = 1..=self.settings.extra_workspaces;
        let more = more.map(|n| (format!("shop-{n}"), format!("shop-{n}-demo-key")));
        std::iter::once(first).chain(more).collect()
    }

    fn start_nodes(&mut self) -> Result<(), CtlError> {
        let mut index = 0;
        for domain in self.settings.failure_domains.clone() {
            for number in 1..=self.settings.hosts_per_domain {
                self.start_node(&format!("{domain}-entry-{number}"), &domain, index)?;
                index += 1;
            }
        }
        Ok(())
    }

    /// Starts an entry host and adds it to the platform's host list. `index` is added to the first ports of the site.
    ///
    /// # Errors
    /// When the host cannot be started, for example because one of its addresses is in use.
    pub fn start_node(&mut self, name: &str, domain: &str, index: u16) -> Result<(), CtlError> {
        let settings = Settings {
            host: name.to_string(),
            failure_domain: domain.to_string(),
            caller_address: loopback(self.settings.ports.caller, index),
            operator_address: loopback(self.settings.ports.operator, index),
            peer_address: loopback(None, 0),
            platform_address: self.platform.address(),
            peer_key: PEER_KEY.to_string(),
            seeds: self.nodes.values().map(Node::peer_address).collect(),
            max_concurrent_calls: 1_024,
            max_queued_calls: 512,
            max_body_bytes: 1_048_576,
            max_prompt_bytes: 524_288,
            max_header_bytes: 16_384,
            silent_after_ms: self.settings.silent_after_ms,
            platform_reads_per_s: 100.0,
            platform_writes_per_s: 100.0,
            policy: self.settings.policy,
            log: "warn".to_string(),
        };
        let node = Node::start(&settings, Arc::new(SystemClock)).map_err(failed)?;
        self.nodes.insert(name.to_string(), node);
        self.update_host_list();
        Ok(())
    }

    /// Replaces the platform's host list by the hosts, engines and service that are running.
    pub fn update_host_list(&self) {
        let listed =
            |name: &str, role, address: SocketAddr, operator: Option<SocketAddr>, domain: &str| {
                ListedHost {
                    name: name.to_string(),
                    role,
                    address: address.to_string(),
                    operator_address: operator.map(|address| address.to_string()),
                    failure_domain: domain.to_string(),
                    state: HostState::Live,
                }
            };
        let domain_of = |name: &str| name.split("-entry").next().unwrap_or_default().to_string();
        let mut hosts = Vec::new();
        for (name, node) in &self.nodes {
            let operator = Some(node.operator_address());
            hosts.push(listed(
                name,
                HostRole::Entry,
                node.peer_address(),
                operator,
                &domain_of(name),
            ));
        }
        for (name, engine) in &self.engines {
            let domain = &engine.spec.failure_domain;
            hosts.push(listed(name, HostRole::Backend, engine.standin.address(), None, domain));
        }
        let domain = self.settings.failure_domains.first().cloned().unwrap_or_default();
        hosts.push(listed("orders-1", HostRole::Backend, self.service.address(), None, &domain));
        self.platform.set_hosts(hosts);
    }

    fn wait_until_ready(&self) -> Result<(), CtlError> {
        let deadline = SystemClock.now().plus_ms(READY_TIMEOUT_MS);
        while !self.nodes.values().all(Node::is_ready) {
            if deadline.is_past(SystemClock.now()) {
                return Err(CtlError::Failed("the hosts did not become ready in time".to_string()));
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the caller addresses of the hosts, in the order of the host names.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(Node::caller_address).collect()
    }
}

fn failed(error: impl std::fmt::Display) -> CtlError {
    CtlError::Failed(error.to_string())
}

fn site_fleet(
    settings: &SiteSettings,
    engines: &BTreeMap<String, RunningEngine>,
    service: &ServiceStandin,
) -> Fleet {
    let mut servers: Vec<_> = engines.values().map(RunningEngine::entry).collect();
    let domain = settings.failure_domains.first().cloned().unwrap_or_default();
    servers.push(service_entry("orders-1", Names::SERVICE, SERVICE_SLOTS, &domain, service));
    let models: BTreeMap<String, u32> =
        settings.engines.iter().map(|spec| (spec.model.clone(), spec.model_layers)).collect();
    fleet(&models.into_iter().collect::<Vec<_>>(), servers)
}
