//! The threads that keep the configuration up to date.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_core::UnixMs;
use godwit_core::config::{CONFIG_PREFIX, ConfigView};
use godwit_core::replica::{AcceptOutcome, ObjectReplica, ReplicaDigest, StoredObject};
use godwit_schema::platform::ObjectHead;
use rand::Rng;

use super::fetch;
use super::source::{ConfigSource, Neighbours, SourceError};
use crate::clock::Clock;
use crate::stop::StopSignal;

/// Longest wait of one watch call.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Poll interval of a watcher. It polls in addition to its watch, since a watch can stall without an error.
const WATCHER_POLL_INTERVAL_MS: u64 = 2_000;

/// Poll interval of any other host, in case its neighbours have nothing newer.
const FALLBACK_POLL_INTERVAL_MS: u64 = 30_000;

/// Poll interval of a host that has no usable configuration or knows of a newer one.
const CATCH_UP_POLL_INTERVAL_MS: u64 = 500;

/// Delay before the retry of a fetch from a neighbour that did not answer.
const FETCH_RETRY_DELAY_MS: u64 = 200;

/// Longest wait of a thread before it checks the stop signal.
const MAX_WAIT_MS: u64 = 1_000;

/// Capacity of the queue of neighbours' digests; digests beyond it are dropped.
const DIGEST_QUEUE_CAPACITY: usize = 64;

/// Callback that gets the new view after each change.
type Listener = Box<dyn Fn(&ConfigView) + Send + Sync>;

/// Dependencies of the driver.
pub struct ConfigurationSettings {
    /// Access to the platform.
    pub source: Arc<dyn ConfigSource>,
    /// Access to the other hosts.
    pub neighbours: Arc<dyn Neighbours>,
    /// Clock for delays.
    pub clock: Arc<dyn Clock>,
}

struct NeighbourDigest {
    address: SocketAddr,
    digest: ReplicaDigest,
}

struct Shared {
    settings: ConfigurationSettings,
    store: Mutex<ObjectReplica>,
    view: RwLock<Arc<ConfigView>>,
    listeners: Mutex<Vec<Listener>>,
    newest_heard_revision: AtomicU64,
    last_contact_ms: AtomicU64,
    is_platform_reachable: AtomicBool,
    stop: StopSignal,
    wake_sender: Sender<()>,
    wake: Receiver<()>,
}

/// The configuration of this host. Dropping it stops its threads.
pub struct Configuration {
    shared: Arc<Shared>,
    neighbour_digests: Sender<NeighbourDigest>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Configuration {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(settings: ConfigurationSettings) -> std::io::Result<Configuration> {
        let (wake_sender, wake) = flume::bounded(1);
        let shared = Arc::new(Shared {
            settings,
            store: Mutex::new(ObjectReplica::default()),
            view: RwLock::new(Arc::new(ConfigView::default())),
            listeners: Mutex::new(Vec::new()),
            newest_heard_revision: AtomicU64::new(0),
            last_contact_ms: AtomicU64::new(0),
            is_platform_reachable: AtomicBool::new(false),
            stop: StopSignal::new(),
            wake_sender,
            wake,
        });
        let (neighbour_digests, digest_receiver) = flume::bounded(DIGEST_QUEUE_CAPACITY);
        let mut configuration = Configuration { shared, neighbour_digests, threads: Vec::new() };
        configuration.spawn("config-poll", Shared::poll_loop)?;
        configuration.spawn("config-watch", Shared::watch_loop)?;
        configuration.spawn("config-fetch", move |shared| shared.fetch_loop(&digest_receiver))?;
        Ok(configuration)
    }

    fn spawn(
        &mut self,
        name: &str,
        body: impl FnOnce(&Shared) + Send + 'static,
    ) -> std::io::Result<()> {
        let shared = self.shared.clone();
        let builder = std::thread::Builder::new().name(name.to_string());
        self.threads.push(builder.spawn(move || body(&shared))?);
        Ok(())
    }

    /// View of the active configuration.
    pub fn view(&self) -> Arc<ConfigView> {
        self.shared.view()
    }

    /// Calls `listener` with the current view, and again with the new view after each change.
    pub fn on_change(&self, listener: impl Fn(&ConfigView) + Send + Sync + 'static) {
        let mut listeners = lock(&self.shared.listeners);
        listener(&self.view());
        listeners.push(Box::new(listener));
    }

    /// Digest of the active objects, for heartbeats.
    pub fn digest(&self) -> ReplicaDigest {
        lock(&self.shared.store).digest()
    }

    /// Names and versions of the held objects, for the state dump.
    pub fn heads(&self) -> Vec<ObjectHead> {
        lock(&self.shared.store).heads()
    }

    /// Handles the digest announced by a neighbour. If it differs from this host's digest, newer objects are fetched
    /// from the neighbour's `address`.
    pub fn observe_digest(&self, address: SocketAddr, digest: ReplicaDigest) {
        self.shared.newest_heard_revision.fetch_max(digest.highest_version, Ordering::SeqCst);
        if digest != self.digest() {
            let _ = self.neighbour_digests.try_send(NeighbourDigest { address, digest });
            let _ = self.shared.wake_sender.try_send(());
        }
    }

    /// Answers a neighbour's request for the objects that this host holds in a newer version; empty if the request is
    /// malformed.
    pub fn answer(&self, request: &[u8]) -> Vec<u8> {
        let reply = fetch::answer_request(&lock(&self.shared.store), request);
        reply.unwrap_or_default()
    }

    /// Highest version in the digests of this host and its neighbours; this host may not hold that version yet.
    pub fn newest_heard_revision(&self) -> u64 {
        self.shared.newest_heard_revision.load(Ordering::SeqCst)
    }

    /// Whether the platform answered the last call.
    pub fn is_platform_reachable(&self) -> bool {
        self.shared.is_platform_reachable.load(Ordering::SeqCst)
    }

    /// Time of the platform's last answer.
    pub fn last_contact(&self) -> UnixMs {
        UnixMs(self.shared.last_contact_ms.load(Ordering::SeqCst))
    }
}

impl Drop for Configuration {
    fn drop(&mut self) {
        self.shared.stop.set();
        let _ = self.shared.wake_sender.try_send(());
        // Not joined: the watch thread may block in a call for seconds, and ends by itself.
        self.threads.clear();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn jittered(ms: u64) -> u64 {
    rand::rng().random_range(ms * 4 / 5..=ms * 6 / 5)
}

impl Shared {
    fn view(&self) -> Arc<ConfigView> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn is_stopping(&self) -> bool {
        self.stop.is_set()
    }

    /// Waits until `deadline`, or until the host stops. If `wakes_when_behind`, also returns when a neighbour announced a
    /// newer configuration that fetching from neighbours did not deliver in time.
    fn wait_until(&self, deadline: UnixMs, wakes_when_behind: bool) {
        while !self.is_stopping() {
            let left_ms = deadline.since_ms(self.settings.clock.now());
            if left_ms == 0 {
                return;
            }
            let wait = Duration::from_millis(left_ms.min(MAX_WAIT_MS));
            if self.wake.recv_timeout(wait).is_ok()
                && wakes_when_behind
                && self.is_behind_after_grace()
            {
                return;
            }
        }
    }

    fn record_contact<T>(&self, result: Result<T, SourceError>) -> Option<T> {
        self.is_platform_reachable.store(result.is_ok(), Ordering::SeqCst);
        match result {
            Ok(value) => {
                let now = self.settings.clock.now();
                self.last_contact_ms.store(now.0, Ordering::SeqCst);
                Some(value)
            }
            Err(error) => {
                tracing::debug!(event = "configuration_source_failed", error = %error);
                None
            }
        }
    }

    fn poll_loop(&self) {
        while !self.is_stopping() {
            let is_complete = self.poll();
            let next =
                self.settings.clock.now().plus_ms(jittered(self.poll_interval_ms(is_complete)));
            self.wait_until(next, is_complete);
        }
    }

    fn is_behind(&self) -> bool {
        let newest_known = lock(&self.store).newest_known_revision();
        self.newest_heard_revision.load(Ordering::SeqCst) > newest_known
    }

    /// Waits for the neighbours to deliver the announced configuration. Returns whether this host is still behind, so
    /// that it has to read from the platform.
    fn is_behind_after_grace(&self) -> bool {
        let grace_deadline = self.settings.clock.now().plus_ms(CATCH_UP_POLL_INTERVAL_MS);
        self.stop.wait_until(grace_deadline, &*self.settings.clock);
        self.is_behind()
    }

    fn poll_interval_ms(&self, is_complete: bool) -> u64 {
        if !self.view().is_usable() || self.is_behind() {
            return CATCH_UP_POLL_INTERVAL_MS;
        }
        if self.settings.neighbours.is_watcher() || !is_complete {
            return WATCHER_POLL_INTERVAL_MS;
        }
        FALLBACK_POLL_INTERVAL_MS
    }

    /// Updates the held objects to the platform's listing. Returns whether every listed object is now held.
    fn poll(&self) -> bool {
        let Some(listing) = self.record_contact(self.settings.source.list(CONFIG_PREFIX)) else {
            return false;
        };
        let (newer, deleted) = lock(&self.store).accept_listing(listing.revision, &listing.objects);
        let is_complete = self.read_all(&newer);
        if is_complete {
            lock(&self.store).mark_complete(listing.revision, &listing.objects);
        }
        if deleted > 0 {
            self.rebuild();
        }
        is_complete
    }

    fn read_all(&self, names: &[String]) -> bool {
        let mut is_complete = true;
        let mut changed = 0;
        for name in names {
            match self.record_contact(self.settings.source.read(name)) {
                Some(Some(object)) => {
                    let accepted =
                        lock(&self.store).accept(name, object.version, Some(&object.value));
                    changed += usize::from(accepted == AcceptOutcome::Newer);
                }
                Some(None) => {}
                None => is_complete = false,
            }
        }
        if changed > 0 {
            self.rebuild();
        }
        is_complete
    }

    fn watch_loop(&self) {
        let mut after = 0;
        while !self.is_stopping() {
            if !self.settings.neighbours.is_watcher() || !self.view().is_usable() {
                std::thread::sleep(Duration::from_millis(CATCH_UP_POLL_INTERVAL_MS));
                continue;
            }
            if after == 0 {
                after = lock(&self.store).newest_known_revision();
            }
            let watched = self.settings.source.watch(CONFIG_PREFIX, after, WATCH_TIMEOUT_MS);
            let Some(reply) = self.record_contact(watched) else {
                std::thread::sleep(Duration::from_millis(jittered(CATCH_UP_POLL_INTERVAL_MS)));
                continue;
            };
            if self.apply_changes(reply.revision, &reply.changes) {
                after = reply.revision;
            }
        }
    }

    fn apply_changes(&self, revision: u64, changes: &[ObjectHead]) -> bool {
        let deleted: Vec<&ObjectHead> = changes.iter().filter(|head| head.version == 0).collect();
        for head in &deleted {
            lock(&self.store).accept(&head.name, revision, None);
        }
        if !deleted.is_empty() {
            self.rebuild();
        }
        let newer = lock(&self.store).outdated_names(changes);
        self.read_all(&newer)
    }

    fn fetch_loop(&self, neighbour_digests: &Receiver<NeighbourDigest>) {
        let mut retry: Option<NeighbourDigest> = None;
        while !self.is_stopping() {
            let wait_ms = if retry.is_some() { FETCH_RETRY_DELAY_MS } else { MAX_WAIT_MS };
            let neighbour = neighbour_digests.recv_timeout(Duration::from_millis(wait_ms)).ok();
            let Some(neighbour) = neighbour.or_else(|| retry.take()) else { continue };
            if neighbour.digest == lock(&self.store).digest() {
                continue;
            }
            if let Err(error) = self.fetch(neighbour.address) {
                tracing::debug!(
                    event = "configuration_fetch_failed",
                    address = %neighbour.address,
                    error = %error
                );
                retry = Some(neighbour);
            }
        }
    }

    fn fetch(&self, address: SocketAddr) -> Result<(), SourceError> {
        loop {
            let mut known_heads = lock(&self.store).heads();
            let request = fetch::encode_request(&known_heads)?;
            let reply = self.settings.neighbours.call(address, &request)?;
            let reply = fetch::decode_reply(&reply)?;
            known_heads.extend(reply.objects.iter().map(StoredObject::head));
            let changed = self.accept_all(reply.objects);
            if !reply.has_more {
                lock(&self.store).mark_complete(reply.complete_revision, &known_heads);
            }
            if !reply.has_more || !changed {
                return Ok(());
            }
        }
    }

    fn accept_all(&self, objects: Vec<StoredObject>) -> bool {
        let mut changed = false;
        for stored in objects {
            changed |= lock(&self.store).accept_stored(stored) == AcceptOutcome::Newer;
        }
        if changed {
            self.rebuild();
        }
        changed
    }

    fn rebuild(&self) {
        let view = {
            let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
            let view = Arc::new(ConfigView::build(&lock(&self.store), &current));
            *current = view.clone();
            view
        };
        let digest = lock(&self.store).digest();
        self.newest_heard_revision.fetch_max(digest.highest_version, Ordering::SeqCst);
        metrics::gauge!("godwit_configuration_revision").set(digest.highest_version as f64);
        tracing::info!(
            event = "configuration_in_force",
            revision = digest.highest_version,
            unreadable = view.unreadable().len()
        );
        for listener in lock(&self.listeners).iter() {
            listener(&view);
        }
    }
}
