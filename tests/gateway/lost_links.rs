//! Hosts that have lost their links to backend servers, while callers, the store and the other hosts reach them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::links::{Link, LinkState};
use crate::server::{Behavior, FakeServer};
use crate::store::{FakeStore, ServerAddresses};

/// Time after the cut from which hosts without links must serve; `ContactWindowMs` of the platform.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Time for which requests are counted after [`CONTACT_WINDOW`].
const COUNTED_TIME: Duration = Duration::from_secs(4);

/// Time before the cut in which connections to the servers are opened.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Smallest share of requests that hosts without links serve, as a part of that of the other hosts.
const MIN_RELATIVE_SHARE: f64 = 0.95;

/// Smallest share of requests that hosts with links serve.
const MIN_SOUND_SHARE: f64 = 0.97;

/// Time in which half of the requests that no host can serve must be refused.
const PROMPT_REFUSAL: Duration = Duration::from_millis(20);

/// The same where all servers may have ended and be back at any time: requests wait for half of their latency target.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Time after their return within which links are used again.
const RETURN_TIME: Duration = Duration::from_secs(2);

const CALL_INTERVAL: Duration = Duration::from_millis(25);

const DOMAINS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const HOSTS_PER_DOMAIN: usize = 2;
const SERVERS_PER_SERVICE: usize = 4;
const SERVICES: usize = 2;

const COMPLETE_STREAM: Behavior = Behavior::Stream { events: 20, is_complete: true };

const REQUESTS: [(&str, &str); 3] = [("GET", "/read/1"), ("POST", "/order/1"), ("POST", "/chat/1")];

/// A request of a caller and what became of it.
struct Sample {
    path: &'static str,
    sent_at: Instant,
    status: u16,
    duration: Duration,
}

/// Hosts and servers with a link for each pair.
pub(crate) struct Site {
    pub(crate) store: FakeStore,
    pub(crate) hosts: Vec<Host>,
    pub(crate) servers: Vec<FakeServer>,
    /// Links of each host.
    links: Vec<Vec<Link>>,
}

impl Site {
    fn start() -> Site {
        let mut servers = Vec::new();
        for index in 0..SERVERS_PER_SERVICE {
            let plain = FakeServer::start(&format!("api-{index}"), &[Behavior::Respond]);
            let model = FakeServer::start(&format!("chat-{index}"), &[COMPLETE_STREAM]);
            servers.extend([plain, model]);
        }
        Site::start_with(servers, HOSTS_PER_DOMAIN)
    }

    /// Starts hosts in each failure domain before servers of the service `chat` or `api`, as their ids begin.
    pub(crate) fn start_with(servers: Vec<FakeServer>, hosts_per_domain: usize) -> Site {
        let store = FakeStore::start();
        store.put("config", "main", crate::host::configuration(1));
        for server in &servers {
            let is_model = server.id.starts_with("chat");
            let (service, layers) = if is_model { ("chat", Some((0, 16))) } else { ("api", None) };
            store.put("servers", &server.id, server.entry(service, layers));
        }
        let mut site = Site { store, hosts: Vec::new(), servers, links: Vec::new() };
        for domain in DOMAINS {
            for index in 0..hosts_per_domain {
                let links: Vec<Link> =
                    site.servers.iter().map(|server| Link::start(server.address)).collect();
                let addresses: BTreeMap<_, _> = site
                    .servers
                    .iter()
                    .zip(&links)
                    .map(|(server, link)| (server.id.clone(), link.address))
                    .collect();
                let addresses: ServerAddresses = Arc::new(Mutex::new(addresses));
                let store_address = site.store.with_server_addresses(&addresses);
                let name = format!("front-{domain}-{index}");
                let host = Host::start_in_domain(site.store.clone(), store_address, &name, domain);
                site.hosts.push(host);
                site.links.push(links);
            }
        }
        site.hosts.iter().for_each(Host::wait_until_ready);
        let knows_all = |host: &Host| {
            let known = format!("hosts_known {}", site.hosts.len());
            host.metrics().lines().any(|line| line == known)
        };
        site.hosts.iter().for_each(|host| host.wait_for("all hosts", || knows_all(host)));
        site
    }

    pub(crate) fn set_links(&self, hosts: &[usize], state: LinkState) {
        self.set_links_to_first(hosts, self.servers.len(), state);
    }

    /// Sets the links to the first servers of each service.
    fn set_links_to_first(&self, hosts: &[usize], servers_per_service: usize, state: LinkState) {
        let count = servers_per_service * SERVICES;
        let links = || hosts.iter().flat_map(|host| self.links[*host].iter().take(count));
        links().for_each(|link| link.set(state));
        while !links().all(Link::is_settled) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Lets the links of all hosts to their first server lead to another one.
    pub(crate) fn lead_links_to(&self, server: SocketAddr) {
        self.links.iter().for_each(|links| links[0].lead_to(server));
    }

    /// Sends requests to all hosts while `act` runs, and returns those that each host got.
    fn send_during(&self, act: impl FnOnce()) -> Vec<Vec<Sample>> {
        let is_over = Arc::new(AtomicBool::new(false));
        let samples: Vec<Mutex<Vec<Sample>>> =
            self.hosts.iter().map(|_| Mutex::default()).collect();
        std::thread::scope(|scope| {
            for (host, samples) in self.hosts.iter().zip(&samples) {
                for (method, path) in REQUESTS {
                    let is_over = is_over.clone();
                    scope.spawn(move || {
                        while !is_over.load(Ordering::Relaxed) {
                            let sent_at = Instant::now();
                            let status = host.call(method, path, b"").map_or(0, |it| it.status());
                            let duration = sent_at.elapsed();
                            let sample = Sample { path, sent_at, status, duration };
                            samples.lock().expect("no panic").push(sample);
                            std::thread::sleep(CALL_INTERVAL);
                        }
                    });
                }
            }
            act();
            is_over.store(true, Ordering::Relaxed);
        });
        samples.into_iter().map(|samples| samples.into_inner().expect("no panic")).collect()
    }

    /// Checks that no order has reached servers more than once.
    pub(crate) fn check_orders_ran_once(&self) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for request in self.servers.iter().flat_map(FakeServer::requests) {
            if request.start_line.contains("/order/") {
                let id = request.header("godwitdeal-request-id").unwrap_or_default();
                *runs.entry(id.to_string()).or_default() += 1;
            }
        }
        let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(repeated.is_empty(), "orders that ran more than once: {repeated:?}");
    }
}

/// Counts of requests to some hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: usize,
    served: usize,
}

impl Served {
    fn count<'a>(samples: impl Iterator<Item = &'a Sample>) -> Served {
        let mut counts = Served::default();
        for sample in samples {
            counts.sent += 1;
            counts.served += usize::from(sample.status == 200);
        }
        counts
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Checks that the hosts that are cut serve about as often as the others from a time on.
fn check_shares(site: &Site, samples: &[Vec<Sample>], cut_hosts: &[usize], from: Instant) {
    let until = from + COUNTED_TIME;
    let is_counted = |sample: &&Sample| sample.sent_at >= from && sample.sent_at < until;
    let of_hosts = |is_cut: bool, path: &str| {
        let hosts = samples.iter().enumerate();
        let hosts = hosts.filter(move |(host, _)| cut_hosts.contains(host) == is_cut);
        let counted = hosts.flat_map(|(_, samples)| samples).filter(is_counted);
        Served::count(counted.filter(|sample| sample.path == path))
    };
    let by_path = REQUESTS.map(|(_, path)| (path, of_hosts(true, path), of_hosts(false, path)));
    println!("{} cut: {by_path:?}", cut_hosts.len());
    site.check_orders_ran_once();
    for (path, cut, others) in by_path {
        let others_share = if others.sent == 0 { 1.0 } else { others.share() };
        assert!(others_share >= MIN_SOUND_SHARE, "hosts with links served {others:?} of {path}");
        assert!(
            cut.share() >= MIN_RELATIVE_SHARE * others_share,
            "hosts without links served {cut:?} of {path}, the others {others:?}"
        );
    }
}

/// Cuts the links of some hosts to the first servers of each service and checks what they serve from [`CONTACT_WINDOW`]
/// on.
fn check_partial_cut(cut_hosts: &[usize], servers_per_service: usize, state: LinkState) {
    let site = Site::start();
    let mut cut_at = Instant::now();
    let samples = site.send_during(|| {
        std::thread::sleep(CALM_TIME);
        site.set_links_to_first(cut_hosts, servers_per_service, state);
        cut_at = Instant::now();
        std::thread::sleep(CONTACT_WINDOW + COUNTED_TIME);
    });
    check_shares(&site, &samples, cut_hosts, cut_at + CONTACT_WINDOW);
}

fn check_cut(cut_hosts: &[usize], state: LinkState) {
    check_partial_cut(cut_hosts, SERVERS_PER_SERVICE, state);
}

/// Cuts all links of all hosts. Checks that requests are refused promptly from [`CONTACT_WINDOW`] on, and served again soon
/// after the links return.
fn check_cut_of_all(state: LinkState, refusal_time: Duration) {
    let site = Site::start();
    let all: Vec<usize> = (0..site.hosts.len()).collect();
    let (mut cut_at, mut restored_at) = (Instant::now(), Instant::now());
    let samples = site.send_during(|| {
        std::thread::sleep(CALM_TIME);
        site.set_links(&all, state);
        cut_at = Instant::now();
        std::thread::sleep(CONTACT_WINDOW + COUNTED_TIME);
        site.set_links(&all, LinkState::Sound);
        restored_at = Instant::now();
        std::thread::sleep(RETURN_TIME + COUNTED_TIME);
    });
    let is_refused = |sample: &&Sample| {
        sample.sent_at >= cut_at + CONTACT_WINDOW
            && sample.sent_at < cut_at + CONTACT_WINDOW + COUNTED_TIME
    };
    let refused = samples.iter().flatten().filter(is_refused);
    let mut times: Vec<Duration> = refused.map(|sample| sample.duration).collect();
    times.sort();
    let median = times[times.len() / 2];
    println!("{state:?}: {} refused, median {median:?}, longest {:?}", times.len(), times.last());
    check_shares(&site, &samples, &all, restored_at + RETURN_TIME);
    assert!(median <= refusal_time, "requests are refused after {median:?}");
}

#[test]
fn host_without_links_serves_when_connections_are_reset() {
    check_cut(&[0, 2, 4], LinkState::Refusing);
}

#[test]
fn host_without_links_serves_when_connections_hang() {
    check_cut(&[0, 2, 4], LinkState::Hanging);
}

#[test]
fn host_without_links_serves_when_new_connections_are_refused() {
    check_cut(&[0, 2, 4], LinkState::RefusingNew);
}

#[test]
fn host_without_links_serves_when_new_connections_hang() {
    check_cut(&[0, 2, 4], LinkState::HangingNew);
}

#[test]
fn host_without_links_serves_through_the_only_host_with_links() {
    check_cut(&[0, 1, 2, 3, 4], LinkState::Refusing);
}

#[test]
fn host_without_links_serves_through_other_domains_when_its_domain_is_cut() {
    check_cut(&[0, 1], LinkState::Hanging);
}

#[test]
fn host_without_links_to_some_servers_serves_when_connections_hang() {
    check_partial_cut(&[0, 2, 4], 2, LinkState::Hanging);
}

#[test]
fn host_without_links_to_some_servers_serves_when_connections_are_reset() {
    check_partial_cut(&[0, 2, 4], 2, LinkState::Refusing);
}

#[test]
fn hosts_that_are_all_cut_refuse_soon_when_connections_are_reset() {
    check_cut_of_all(LinkState::Refusing, SHORT_WAIT);
}

#[test]
fn hosts_that_are_all_cut_refuse_promptly_when_connections_hang() {
    check_cut_of_all(LinkState::Hanging, PROMPT_REFUSAL);
}

/// Links that come and go must not end in a state in which neither way is used.
#[test]
fn host_whose_links_flap_serves() {
    let site = Site::start();
    let cut = [0, 2, 4];
    let mut cut_at = Instant::now();
    let samples = site.send_during(|| {
        std::thread::sleep(CALM_TIME);
        cut_at = Instant::now();
        while cut_at.elapsed() < CONTACT_WINDOW + COUNTED_TIME {
            for state in [LinkState::Refusing, LinkState::Sound] {
                site.set_links(&cut, state);
                std::thread::sleep(Duration::from_secs(1));
            }
        }
    });
    let flaps = COUNTED_TIME.as_secs() as usize;
    let counted =
        |host: &usize| samples[*host].iter().filter(|it| it.sent_at >= cut_at + CONTACT_WINDOW);
    let served = Served::count(cut.iter().flat_map(counted));
    println!("{served:?}");
    site.check_orders_ran_once();
    // A request that runs when its connection is reset may fail, one for each caller and flap.
    let failed = served.sent - served.served;
    assert!(failed <= cut.len() * REQUESTS.len() * flaps, "{served:?}");
}
