//! Keeps up with the objects of a kind: a whole list, then a watch from its revision, a list again when the history
//! is gone.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::{Change, Object, decode_changes, decode_listing, list_path, watch_path};
use godwit_core::site::FreshnessTracker;
use rand::Rng;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

use crate::site::Site;
use crate::store::client::StoreClient;

/// How long a watch waits for a change, in milliseconds; the connection's probes notice a silent store before.
const WATCH_WAIT_MS: u64 = 20_000;

/// The same after failed calls, in milliseconds: the answer comes at once and tells that the store is back.
const RETURN_WATCH_WAIT_MS: u64 = 1;

/// Time that a watch may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(1_500);

/// Longest time of a list.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause before a failed call is made again, in milliseconds; doubled for each further failure in a row.
const FIRST_RETRY_PAUSE_MS: u64 = 200;

/// Longest such pause, in milliseconds; shorter than the platform's contact window, after which its bounds hold again.
const LONGEST_RETRY_PAUSE_MS: u64 = 2_000;

/// A watch that ends sooner than this shows that changes come in a row.
const QUICK_WATCH: Duration = Duration::from_millis(600);

const STATUS_OK: u16 = 200;
const STATUS_GONE: u16 = 410;

/// Step in which a waiting watch is compared with what other hosts know.
const FRESHNESS_LOOK: Duration = Duration::from_millis(200);

async fn wait_until_behind(site: &Site, freshness: &RefCell<FreshnessTracker>) {
    while !freshness.borrow().is_behind(site.now()) {
        sleep(FRESHNESS_LOOK).await;
    }
}

/// What becomes of the objects.
pub(crate) trait Follower {
    /// Kind of the objects.
    fn kind(&self) -> &str;
    /// Pause before the next watch while changes come in a row, so that one call brings several.
    fn batch_pause(&self, site: &Site) -> Duration;
    /// How this host's knowledge of the objects compares with that of others.
    fn freshness<'a>(&self, site: &'a Site) -> &'a RefCell<FreshnessTracker>;
    /// A whole list.
    fn replace(&mut self, site: &Site, objects: Vec<Object>);
    /// One change.
    fn change(&mut self, site: &Site, change: Change);
    /// All up to a revision of the store has been read.
    fn covered(&self, _site: &Site, _revision: u64) {}
    /// The store failed a call.
    fn lost(&mut self, _site: &Site) {}
    /// The store answers again after failed calls; called before what it says is taken.
    fn regained(&mut self, _site: &Site) {}
}

/// Why a step of the loop failed, for the log.
enum Failure {
    HistoryGone,
    /// Other hosts know more, so that the call hangs.
    Behind,
    Call(String),
}

/// Reads from the store.
struct Reader(StoreClient);

impl Reader {
    async fn get(&mut self, path: &str, wait: Duration) -> Result<bytes::Bytes, Failure> {
        let reply = self.0.call("GET", path, Vec::new(), wait).await;
        let reply = reply.map_err(|error| Failure::Call(error.to_string()))?;
        match reply.status {
            STATUS_OK => Ok(reply.body),
            STATUS_GONE => Err(Failure::HistoryGone),
            status => Err(Failure::Call(format!("status {status}"))),
        }
    }
}

struct Loop<F> {
    client: Reader,
    follower: F,
    is_lost: bool,
    /// Failed calls in a row.
    failures: u32,
}

impl<F: Follower> Loop<F> {
    async fn list(&mut self, site: &Site) -> Result<u64, Failure> {
        let mut objects = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let path = list_path(self.follower.kind(), after.as_deref(), false);
            let body = self.client.get(&path, LIST_TIMEOUT).await?;
            let listing =
                decode_listing(&body).map_err(|error| Failure::Call(error.to_string()))?;
            if listing.unreadable > 0 {
                warn!(
                    event = "objects_unreadable",
                    kind = self.follower.kind(),
                    count = listing.unreadable
                );
            }
            objects.extend(listing.objects);
            let last = objects.last().map(|object| object.name.clone());
            if !listing.has_more || last.is_none() || last == after {
                self.answered(site);
                self.follower.replace(site, objects);
                return Ok(listing.revision);
            }
            after = last;
        }
    }

    async fn watch(&mut self, site: &Site, revision: u64) -> Result<u64, Failure> {
        let wait_ms = if self.is_lost { RETURN_WATCH_WAIT_MS } else { WATCH_WAIT_MS };
        let path = watch_path(self.follower.kind(), revision, wait_ms);
        let wait = Duration::from_millis(wait_ms) + WATCH_SLACK;
        let started = Instant::now();
        let freshness = self.follower.freshness(site);
        freshness.borrow_mut().record_call(site.now());
        // A call that was sent while the store was silent may hang for its whole wait after the store is back.
        let body = tokio::select! {
            biased;
            body = self.client.get(&path, wait) => body?,
            () = wait_until_behind(site, freshness) => {
                return Err(Failure::Behind);
            }
        };
        let is_quick = started.elapsed() < QUICK_WATCH;
        let (changes, revision) =
            decode_changes(&body).map_err(|error| Failure::Call(error.to_string()))?;
        self.answered(site);
        for change in changes {
            self.follower.change(site, change);
        }
        if is_quick {
            sleep(self.follower.batch_pause(site)).await;
        }
        Ok(revision)
    }

    fn kind(&self) -> String {
        self.follower.kind().to_string()
    }

    fn answered(&mut self, site: &Site) {
        self.failures = 0;
        if self.is_lost {
            self.is_lost = false;
            info!(event = "store_regained", kind = self.follower.kind());
            metrics::counter!("store_regained_total", "kind" => self.kind()).increment(1);
            self.follower.regained(site);
        }
    }

    async fn failed(&mut self, site: &Site, cause: &str) {
        if !self.is_lost {
            self.is_lost = true;
            warn!(event = "store_lost", kind = self.follower.kind(), cause);
            metrics::counter!("store_lost_total", "kind" => self.kind()).increment(1);
            self.follower.lost(site);
        }
        let doublings = self.failures.min(8);
        self.failures += 1;
        let pause_ms = (FIRST_RETRY_PAUSE_MS << doublings).min(LONGEST_RETRY_PAUSE_MS);
        // Drawn, so that hosts do not call in step.
        let drawn_ms = rand::rng().random_range(pause_ms / 2..=pause_ms);
        sleep(Duration::from_millis(drawn_ms)).await;
    }
}

/// Follows the objects of a kind for as long as the process runs.
pub(crate) async fn keep_up<F: Follower>(site: Rc<Site>, follower: F) {
    let client = Reader(StoreClient::new(site.settings.store_address));
    let mut state = Loop { client, follower, is_lost: false, failures: 0 };
    let mut known_revision = None;
    loop {
        let step = match known_revision {
            None => state.list(&site).await,
            Some(revision) => state.watch(&site, revision).await,
        };
        match step {
            Ok(revision) => {
                state.follower.covered(&site, revision);
                known_revision = Some(revision);
            }
            Err(Failure::HistoryGone) => {
                info!(event = "history_gone", kind = state.follower.kind());
                known_revision = None;
            }
            Err(Failure::Behind) => {
                warn!(event = "watch_hangs", kind = state.follower.kind(), known_revision);
            }
            Err(Failure::Call(cause)) => state.failed(&site, &cause).await,
        }
    }
}
