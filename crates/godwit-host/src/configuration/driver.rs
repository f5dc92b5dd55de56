//! The threads that keep the configuration in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_core::UnixMs;
use godwit_core::config::{
    AcceptOutcome, CONFIG_PREFIX, ConfigDigest, ConfigStore, ConfigView, StoredObject,
};
use godwit_schema::platform::ObjectHead;
use rand::Rng;

use super::fetch;
use super::source::{ConfigSource, Neighbours, SourceError};
use crate::clock::Clock;
use crate::stop::Stop;

/// How long one watch waits.
const WATCH_WAIT_MS: u64 = 10_000;

/// A watcher polls behind its watch this often, since a watch can stall in silence.
const WATCHER_POLL_MS: u64 = 2_000;

/// Any other host polls this often, in case that its neighbours have nothing.
const BACKSTOP_POLL_MS: u64 = 30_000;

/// A host without configuration, or that has heard of a newer one, polls this often.
const EAGER_POLL_MS: u64 = 500;

/// A neighbour that did not answer is asked again after this long.
const FETCH_RETRY_MS: u64 = 200;

/// Longest wait of a thread before it looks whether to stop.
const LONGEST_WAIT_MS: u64 = 1_000;

/// Most messages of neighbours that wait to be looked at.
const HEARD_QUEUE: usize = 64;

/// Called with the new view after each change.
type Listener = Box<dyn Fn(&ConfigView) + Send + Sync>;

/// What the driver is built from.
pub struct ConfigurationSettings {
    /// The platform.
    pub source: Arc<dyn ConfigSource>,
    /// The other hosts.
    pub neighbours: Arc<dyn Neighbours>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

struct Heard {
    address: SocketAddr,
    digest: ConfigDigest,
}

struct Shared {
    settings: ConfigurationSettings,
    store: Mutex<ConfigStore>,
    view: RwLock<Arc<ConfigView>>,
    listeners: Mutex<Vec<Listener>>,
    newest_heard: AtomicU64,
    last_contact_ms: AtomicU64,
    is_platform_reachable: AtomicBool,
    stop: Stop,
    wake_sender: Sender<()>,
    wake: Receiver<()>,
}

/// The configuration in force on this host; dropping it stops its threads.
pub struct Configuration {
    shared: Arc<Shared>,
    heard: Sender<Heard>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Configuration {
    /// Starts the threads.
    ///
    /// # Errors
    /// When the system has no thread left.
    pub fn start(settings: ConfigurationSettings) -> std::io::Result<Configuration> {
        let (wake_sender, wake) = flume::bounded(1);
        let shared = Arc::new(Shared {
            settings,
            store: Mutex::new(ConfigStore::default()),
            view: RwLock::new(Arc::new(ConfigView::default())),
            listeners: Mutex::new(Vec::new()),
            newest_heard: AtomicU64::new(0),
            last_contact_ms: AtomicU64::new(0),
            is_platform_reachable: AtomicBool::new(false),
            stop: Stop::new(),
            wake_sender,
            wake,
        });
        let (heard, heard_receiver) = flume::bounded(HEARD_QUEUE);
        let mut configuration = Configuration { shared, heard, threads: Vec::new() };
        configuration.spawn("config-poll", Shared::poll_loop)?;
        configuration.spawn("config-watch", Shared::watch_loop)?;
        configuration.spawn("config-fetch", move |shared| shared.fetch_loop(&heard_receiver))?;
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

    /// The configuration in force.
    pub fn view(&self) -> Arc<ConfigView> {
        self.shared.view()
    }

    /// Calls `listener` with the present view and after each change.
    pub fn on_change(&self, listener: impl Fn(&ConfigView) + Send + Sync + 'static) {
        let mut listeners = lock(&self.shared.listeners);
        listener(&self.view());
        listeners.push(Box::new(listener));
    }

    /// Short form of all versions held, for heartbeats.
    pub fn digest(&self) -> ConfigDigest {
        lock(&self.shared.store).digest()
    }

    /// Names and versions held, for the state dump.
    pub fn heads(&self) -> Vec<ObjectHead> {
        lock(&self.shared.store).heads()
    }

    /// Tells what a neighbour holds; what is newer there is fetched.
    pub fn heard(&self, address: SocketAddr, digest: ConfigDigest) {
        self.shared.newest_heard.fetch_max(digest.highest_version, Ordering::SeqCst);
        if digest != self.digest() {
            let _ = self.heard.try_send(Heard { address, digest });
            let _ = self.shared.wake_sender.try_send(());
        }
    }

    /// Answers a neighbour's request for what is newer here.
    pub fn answer(&self, request: &[u8]) -> Vec<u8> {
        let answered = fetch::answer(&lock(&self.shared.store), request);
        answered.unwrap_or_default()
    }

    /// Highest version heard of, which may not be in force yet.
    pub fn newest_heard(&self) -> u64 {
        self.shared.newest_heard.load(Ordering::SeqCst)
    }

    /// Whether the platform answered the last call.
    pub fn is_platform_reachable(&self) -> bool {
        self.shared.is_platform_reachable.load(Ordering::SeqCst)
    }

    /// When the platform last answered.
    pub fn last_contact(&self) -> UnixMs {
        UnixMs(self.shared.last_contact_ms.load(Ordering::SeqCst))
    }
}

impl Drop for Configuration {
    fn drop(&mut self) {
        self.shared.stop.set();
        let _ = self.shared.wake_sender.try_send(());
        // The watch thread may wait in a call for seconds and ends by itself.
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

    /// Waits until `deadline`, or until something was heard that the neighbours do not bring, or the host stops.
    fn wait_until(&self, deadline: UnixMs, may_be_behind: bool) {
        while !self.is_stopping() {
            let left_ms = deadline.since_ms(self.settings.clock.now());
            if left_ms == 0 {
                return;
            }
            let wait = Duration::from_millis(left_ms.min(LONGEST_WAIT_MS));
            if self.wake.recv_timeout(wait).is_ok() && may_be_behind && self.is_still_behind() {
                return;
            }
        }
    }

    fn contact<T>(&self, result: Result<T, SourceError>) -> Option<T> {
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
            let next = self.settings.clock.now().plus_ms(jittered(self.poll_ms(is_complete)));
            self.wait_until(next, is_complete);
        }
    }

    fn is_behind(&self) -> bool {
        let known_up_to = lock(&self.store).newest_known_revision();
        self.newest_heard.load(Ordering::SeqCst) > known_up_to
    }

    /// Whether the neighbours do not bring what was heard of, so that the platform has to be asked.
    fn is_still_behind(&self) -> bool {
        let patience = self.settings.clock.now().plus_ms(EAGER_POLL_MS);
        self.stop.wait_until(patience, &*self.settings.clock);
        self.is_behind()
    }

    fn poll_ms(&self, is_complete: bool) -> u64 {
        if !self.view().is_usable() || self.is_behind() {
            return EAGER_POLL_MS;
        }
        if self.settings.neighbours.is_watcher() || !is_complete {
            return WATCHER_POLL_MS;
        }
        BACKSTOP_POLL_MS
    }

    /// Compares with the platform's listing; whether all of it is in force now.
    fn poll(&self) -> bool {
        let Some(listing) = self.contact(self.settings.source.list(CONFIG_PREFIX)) else {
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
            match self.contact(self.settings.source.read(name)) {
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
                std::thread::sleep(Duration::from_millis(EAGER_POLL_MS));
                continue;
            }
            if after == 0 {
                after = lock(&self.store).newest_known_revision();
            }
            let watched = self.settings.source.watch(CONFIG_PREFIX, after, WATCH_WAIT_MS);
            let Some(reply) = self.contact(watched) else {
                std::thread::sleep(Duration::from_millis(jittered(EAGER_POLL_MS)));
                continue;
            };
            if self.take_changes(reply.revision, &reply.changes) {
                after = reply.revision;
            }
        }
    }

    fn take_changes(&self, revision: u64, changes: &[ObjectHead]) -> bool {
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

    fn fetch_loop(&self, heard: &Receiver<Heard>) {
        let mut waiting: Option<Heard> = None;
        while !self.is_stopping() {
            let wait_ms = if waiting.is_some() { FETCH_RETRY_MS } else { LONGEST_WAIT_MS };
            let news = heard.recv_timeout(Duration::from_millis(wait_ms)).ok();
            let Some(news) = news.or_else(|| waiting.take()) else { continue };
            if news.digest == lock(&self.store).digest() {
                continue;
            }
            if let Err(error) = self.fetch(news.address) {
                tracing::debug!(
                    event = "configuration_fetch_failed",
                    address = %news.address,
                    error = %error
                );
                waiting = Some(news);
            }
        }
    }

    fn fetch(&self, address: SocketAddr) -> Result<(), SourceError> {
        loop {
            let mut seen = lock(&self.store).heads();
            let request = fetch::request_bytes(&seen)?;
            let reply = self.settings.neighbours.call(address, &request)?;
            let reply = fetch::read_reply(&reply)?;
            seen.extend(reply.objects.iter().map(StoredObject::head));
            let changed = self.accept_all(reply.objects);
            if !reply.has_more {
                lock(&self.store).mark_complete(reply.complete_at, &seen);
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
            let mut slot = self.view.write().unwrap_or_else(PoisonError::into_inner);
            let view = Arc::new(ConfigView::build(&lock(&self.store), &slot));
            *slot = view.clone();
            view
        };
        let digest = lock(&self.store).digest();
        self.newest_heard.fetch_max(digest.highest_version, Ordering::SeqCst);
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
