//! Threads that poll load reports and cache events.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use flume::{Receiver, Sender};
use godwit_core::cluster_state::{PollSchedule, PollTarget};
use godwit_core::{Reading, UnixMs};
use godwit_engine::{cache_events, load};
use godwit_schema::engine::{CacheEventsReply, LoadReport};

use crate::clock::Clock;
use crate::membership::Membership;

/// Interval at which the schedule is checked for due polls.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of worker threads, and so of concurrent polls.
const WORKER_COUNT: usize = 8;
/// Maximum number of polls that wait for a worker; further due polls are skipped.
const MAX_QUEUED_POLLS: usize = 64;
/// Timeout of one request to a server.
const POLL_TIMEOUT_MS: u64 = 1_000;
/// Minimum interval between two polls of the cache events of a server.
const CACHE_EVENTS_INTERVAL_MS: u64 = 1_000;
/// Delay before the cache events of a server are polled again after a failed poll.
const CACHE_EVENTS_RETRY_MS: u64 = 10_000;

/// Cache events of a server from one poll.
#[derive(Clone, Debug)]
pub struct PolledCacheEvents {
    /// Name of the server.
    pub server: String,
    /// Sequence number after which the events were requested; a gap after it means that events were lost.
    pub after: u64,
    /// Events and the newest sequence number of the server.
    pub reply: CacheEventsReply,
}

/// Handler of the cache events of each poll.
type CacheEventsHandler = Box<dyn Fn(PolledCacheEvents) + Send + Sync>;

struct Shared {
    host: String,
    membership: Arc<Membership>,
    clock: Arc<dyn Clock>,
    schedule: Mutex<PollSchedule>,
    cache_cursors: Mutex<BTreeMap<String, CacheEventsCursor>>,
    on_cache_events: CacheEventsHandler,
    is_stopping: AtomicBool,
}

/// Position up to which the cache events of a server have been read, and the time of the next poll.
#[derive(Clone, Copy, Default)]
struct CacheEventsCursor {
    started_at: u64,
    sequence: u64,
    next_poll_at: UnixMs,
}

/// Poller of this host's share of the servers of its failure domain; its threads stop on drop.
pub struct Poller {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Poller {
    /// Starts the threads; nothing is polled until [`Poller::set_servers`] is called.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be started.
    pub fn start(
        host: &str,
        membership: Arc<Membership>,
        clock: Arc<dyn Clock>,
        on_cache_events: impl Fn(PolledCacheEvents) + Send + Sync + 'static,
    ) -> io::Result<Poller> {
        let shared = Arc::new(Shared {
            host: host.to_string(),
            membership,
            clock,
            schedule: Mutex::new(PollSchedule::new(host)),
            cache_cursors: Mutex::default(),
            on_cache_events: Box::new(on_cache_events),
            is_stopping: AtomicBool::new(false),
        });
        let mut poller = Poller { shared, threads: Vec::new() };
        let (due_polls, queued_polls) = flume::bounded(MAX_QUEUED_POLLS);
        poller.spawn("poll-schedule", move |shared| shared.schedule_loop(&due_polls))?;
        for _ in 0..WORKER_COUNT {
            let queued_polls = queued_polls.clone();
            poller.spawn("poll-work", move |shared| shared.worker_loop(&queued_polls))?;
        }
        Ok(poller)
    }

    fn spawn(&mut self, name: &str, run: impl FnOnce(&Shared) + Send + 'static) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new().name(name.to_string());
        self.threads.push(builder.spawn(move || run(&shared))?);
        Ok(())
    }

    /// Sets all servers of the failure domain; the poller selects this host's share of them.
    pub fn set_servers(&self, servers: Vec<PollTarget>) {
        lock(&self.shared.schedule).set_targets(servers);
    }

    /// Names of the servers currently polled by this host.
    pub fn polled_servers(&self) -> Vec<String> {
        let schedule = lock(&self.shared.schedule);
        schedule.share().map(|target| target.server.clone()).collect()
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn schedule_loop(&self, due_polls: &Sender<PollTarget>) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            for target in self.take_due() {
                if due_polls.try_send(target).is_err() {
                    metrics::counter!("godwit_polls_left_out_total").increment(1);
                }
            }
            thread::sleep(SCHEDULE_INTERVAL);
        }
    }

    fn take_due(&self) -> Vec<PollTarget> {
        let now = self.clock.now();
        let hosts = self.membership.live_hosts();
        let mut hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
        if hosts.is_empty() {
            hosts.push(&self.host);
        }
        let mut schedule = lock(&self.schedule);
        schedule.set_hosts(&hosts, now);
        schedule.take_due(now)
    }

    fn worker_loop(&self, queued_polls: &Receiver<PollTarget>) {
        while let Ok(target) = queued_polls.recv() {
            if self.is_stopping.load(Ordering::SeqCst) {
                return;
            }
            self.poll(&target);
        }
    }

    fn poll(&self, target: &PollTarget) {
        let address = target.address.to_string();
        let now = self.clock.now();
        let report = load(&address, now.plus_ms(POLL_TIMEOUT_MS), now);
        let now = self.clock.now();
        let reading =
            report.as_ref().ok().map(|report| Reading::from_report(&target.server, report, now));
        let outcome = match (&report, &reading) {
            (Ok(report), Some(reading)) if !has_times_of(reading, report) => {
                tracing::debug!(
                    event = "report_times_impossible",
                    server = target.server,
                    started_at_unix_ms = report.started_at_unix_ms,
                    measured_at_unix_ms = report.measured_at_unix_ms
                );
                "impossible_times"
            }
            (Ok(_), _) => "answered",
            (Err(_), _) => "failed",
        };
        metrics::counter!("godwit_polls_total", "outcome" => outcome).increment(1);
        let results = lock(&self.schedule).record(&target.server, reading, now);
        results.iter().for_each(|result| self.membership.record_poll_result(result));
        if let Some(report) = report.ok().filter(|_| target.has_cache_events) {
            self.poll_cache_events(target, report.started_at_unix_ms);
        }
    }

    fn poll_cache_events(&self, target: &PollTarget, started_at: u64) {
        let now = self.clock.now();
        let previous = lock(&self.cache_cursors).get(&target.server).copied().unwrap_or_default();
        let mut cursor = if previous.started_at == started_at {
            previous
        } else {
            CacheEventsCursor { started_at, ..CacheEventsCursor::default() }
        };
        if !cursor.next_poll_at.is_past(now) {
            return;
        }
        let address = target.address.to_string();
        let deadline = now.plus_ms(POLL_TIMEOUT_MS);
        match cache_events(&address, cursor.sequence, deadline, now) {
            Ok(reply) => {
                let after = cursor.sequence;
                cursor.sequence = reply.newest_sequence;
                cursor.next_poll_at = now.plus_ms(CACHE_EVENTS_INTERVAL_MS);
                lock(&self.cache_cursors).insert(target.server.clone(), cursor);
                if !reply.events.is_empty() {
                    (self.on_cache_events)(PolledCacheEvents {
                        server: target.server.clone(),
                        after,
                        reply,
                    });
                }
            }
            Err(_) => {
                cursor.next_poll_at = now.plus_ms(CACHE_EVENTS_RETRY_MS);
                lock(&self.cache_cursors).insert(target.server.clone(), cursor);
            }
        }
    }
}

fn has_times_of(reading: &Reading, report: &LoadReport) -> bool {
    (reading.started_at.0, reading.measured_at.0)
        == (report.started_at_unix_ms, report.measured_at_unix_ms)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
