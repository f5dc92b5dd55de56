//! Follows a host that reads the store, or reads it, as [`godwit_core::replica::ReaderSelection`] decides.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::{self, ErrorKind};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::replica::{FollowedClock, ReadPlan, Trouble};
use godwit_core::site::PeerHost;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::replica::ObjectKind;
use crate::replica::frames::{
    FRAME_FORMAT, FeedMessage, FollowRequest, MAX_MESSAGE_BYTES, encode_frame, read_frame,
    write_frame,
};
use crate::site::Site;
use crate::store::Interruption;
use crate::wire::configure_stream;

/// Timeout for connecting to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a byte after which a followed host counts as unresponsive; three of its status messages are missing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest first frame of a followed host, in bytes: a status without confirmations.
const MAX_STATUS_BYTES: usize = 32;

/// Time for which other hosts may know a newer revision before another host is followed, in milliseconds. Longer than
/// the pause of a reader between two watches.
const MAX_LAG_MS: u64 = 800;

/// Time after which a followed host that has sent no configuration to a host without one is left, in milliseconds.
const FIRST_CHANGES_TIMEOUT_MS: u64 = 2_500;

/// Longest wait for the list of hosts after the start, before the store is read without it, in milliseconds.
const MAX_HOSTS_WAIT_MS: u64 = 1_500;

/// Pause after a host could not be connected to. All processes may have been killed at once, so that the readers listen
/// again in a moment.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(75);

/// Interval at which the plan is checked while no host is followed.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a followed host is left that has not confirmed all kinds, in milliseconds.
const FIRST_CONFIRMATIONS_TIMEOUT_MS: u64 = 3_000;

/// Time for which a waiting watch of this host may lack a change that the followed host has sent, in milliseconds.
const WATCH_GRACE_MS: u64 = 200;

/// Byte that a follower sends to compare clocks. Its content says nothing.
const BEAT: u8 = 0;

/// Why a host is no longer followed.
#[derive(Debug, thiserror::Error)]
enum FollowEnd {
    #[error("it cannot be connected to: {0}")]
    NotConnected(io::Error),
    #[error("{0}")]
    Connection(#[from] io::Error),
    #[error("it cannot read the store")]
    CannotRead,
    #[error("the store has not confirmed its objects for too long")]
    Unconfirmed,
    #[error("it stops")]
    Stopping,
    #[error("other hosts know newer objects")]
    Behind,
    #[error("it has sent no configuration")]
    NothingSent,
    #[error("this host's copy of the objects differs")]
    Diverged,
    #[error("another host is to be followed")]
    Replaced,
}

impl FollowEnd {
    fn trouble(&self) -> Option<Trouble> {
        match self {
            FollowEnd::NotConnected(error) | FollowEnd::Connection(error) => match error.kind() {
                ErrorKind::ConnectionRefused
                | ErrorKind::ConnectionReset
                | ErrorKind::UnexpectedEof => Some(Trouble::Stopped),
                _ => Some(Trouble::Unresponsive),
            },
            FollowEnd::Stopping => Some(Trouble::Stopped),
            FollowEnd::CannotRead
            | FollowEnd::Unconfirmed
            | FollowEnd::Behind
            | FollowEnd::NothingSent => Some(Trouble::Unable),
            FollowEnd::Diverged | FollowEnd::Replaced => None,
        }
    }
}

/// Reads the store or follows a host that does, for as long as the process runs.
pub(crate) async fn maintain_reading(site: Rc<Site>) {
    let jitter_ms = rand::rng().random_range(0..MAX_HOSTS_WAIT_MS / 2);
    let wait = Duration::from_millis(MAX_HOSTS_WAIT_MS - jitter_ms);
    let _ = timeout(wait, site.hosts_listed.notified()).await;
    let mut last = ReadPlan::default();
    loop {
        let plan = site.plan_reading();
        if plan != last {
            metrics::gauge!("reads_store").set(if plan.reads_store { 1.0 } else { 0.0 });
            let follows = plan.follows.as_ref().map(|host| host.name.as_str());
            info!(event = "reading", reads_store = plan.reads_store, ?follows);
            last = plan.clone();
        }
        let Some(host) = plan.follows else {
            let _ = timeout(PLAN_INTERVAL, site.reading_changed.notified()).await;
            continue;
        };
        site.is_following.set(true);
        let end = follow_until_replaced(&site, &host).await;
        site.is_following.set(false);
        site.confirmations_changed.send_replace(());
        let is_replaced = matches!(end, FollowEnd::Replaced);
        if !is_replaced {
            warn!(event = "follow_ended", host = host.name, cause = %end);
            metrics::counter!("follows_ended_total").increment(1);
        }
        if let Some(trouble) = end.trouble() {
            site.readers.borrow_mut().record_trouble(&host.name, trouble, site.now());
        }
        if matches!(end, FollowEnd::NotConnected(_) | FollowEnd::Diverged) {
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }
}

/// Follows a host until there is trouble, or another one is to be followed, which may be known while this one is silent.
async fn follow_until_replaced(site: &Site, host: &PeerHost) -> FollowEnd {
    let mut following = pin!(follow(site, host));
    loop {
        tokio::select! {
            Err(end) = &mut following => return end,
            () = site.reading_changed.notified() => {
                if !site.plans_to_follow(host) {
                    return FollowEnd::Replaced;
                }
            }
        }
    }
}

/// Follows a host until the plan changes or there is trouble.
async fn follow(site: &Site, host: &PeerHost) -> Result<Infallible, FollowEnd> {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(host.address)).await;
    let connected = connect.unwrap_or_else(|elapsed| Err(elapsed.into()));
    let mut stream = connected.map_err(FollowEnd::NotConnected)?;
    configure_stream(&stream)?;
    let mut clock = FollowedClock::new(site.now());
    let request = FollowRequest {
        format: FRAME_FORMAT,
        host: site.settings.host.clone(),
        accepts_unconfirmed: site.readers.borrow().is_skipped(&host.name, site.now()),
        known_revisions: site.known_revisions(),
    };
    write_frame(&mut stream, &encode_frame(&request)?, SILENCE_TIMEOUT).await?;
    site.readers.borrow_mut().begin_follow();
    let first_changes_by = site.now().plus_ms(FIRST_CHANGES_TIMEOUT_MS);
    let first_confirmations_by = site.now().plus_ms(FIRST_CONFIRMATIONS_TIMEOUT_MS);
    site.restart_lag();
    let mut brought = BTreeMap::new();
    let first_frame = read_frame(&mut stream, MAX_STATUS_BYTES, SILENCE_TIMEOUT);
    let mut message = timeout(SILENCE_TIMEOUT, first_frame).await.map_err(io::Error::from)??;
    loop {
        site.readers.borrow_mut().record_message(site.now());
        match message {
            FeedMessage::Status { is_stopping: true, .. } => return Err(FollowEnd::Stopping),
            FeedMessage::Status {
                can_read_store,
                received_beats,
                steady_ms,
                confirmed_steady_ms,
                ..
            } => {
                site.end_watches_that_lack(&mut brought);
                let is_complete = ObjectKind::ALL
                    .iter()
                    .all(|kind| confirmed_steady_ms.iter().any(|(confirmed, _)| confirmed == kind));
                let now_there = SteadyMs(steady_ms);
                clock.record_status(received_beats, now_there);
                let oldest = confirmed_steady_ms.iter().map(|(_, ms)| SteadyMs(*ms)).min();
                let confirmed_there = oldest.unwrap_or(now_there);
                if is_complete {
                    site.readers.borrow_mut().record_confirmations(confirmed_there, now_there);
                }
                let max_age_ms = site.readers.borrow().max_confirmation_age_ms();
                let is_unconfirmed = now_there.since_ms(confirmed_there) > max_age_ms
                    || (!is_complete && first_confirmations_by.is_past(site.now()));
                site.record_confirmations(&clock, &confirmed_steady_ms);
                let is_able = can_read_store && !is_unconfirmed;
                if !is_able && !site.must_follow(&host.name) {
                    return Err(match can_read_store {
                        true => FollowEnd::Unconfirmed,
                        false => FollowEnd::CannotRead,
                    });
                }
                if is_able && is_complete {
                    site.readers.borrow_mut().record_success(&host.name, site.now());
                }
                if clock.begin_beat(site.now()) {
                    write_frame(&mut stream, &[BEAT], SILENCE_TIMEOUT).await?;
                }
            }
            FeedMessage::Changes(kind, changes) => match site.apply_changes(kind, &changes) {
                Ok(applied) if applied.is_diverged => {
                    site.pending_watches.interrupt(kind, Interruption::HistoryGone);
                    return Err(FollowEnd::Diverged);
                }
                Ok(_) => {
                    if let Some(revision) =
                        changes.objects.iter().map(|object| object.version).max()
                    {
                        brought.insert(kind, (revision, site.now()));
                    }
                }
                Err(gap) => {
                    warn!(event = "changes_missing", kind = kind.name(), %gap);
                    site.pending_watches.interrupt(kind, Interruption::HistoryGone);
                    return Err(FollowEnd::Diverged);
                }
            },
        }
        if site.is_lagging(MAX_LAG_MS) {
            return Err(FollowEnd::Behind);
        }
        if site.configuration().is_none() && first_changes_by.is_past(site.now()) {
            return Err(FollowEnd::NothingSent);
        }
        if !site.plans_to_follow(host) {
            return Err(FollowEnd::Replaced);
        }
        message = read_frame(&mut stream, MAX_MESSAGE_BYTES, SILENCE_TIMEOUT).await?;
    }
}

impl Site {
    /// Decides anew whether this host reads the store and which host it follows.
    pub(super) fn plan_reading(&self) -> ReadPlan {
        let plan = self.readers.borrow_mut().plan(self.followers.get(), self.now());
        self.reads_store.send_if_modified(|reads| {
            let is_changed = *reads != plan.reads_store;
            *reads = plan.reads_store;
            is_changed
        });
        plan
    }

    fn plans_to_follow(&self, host: &PeerHost) -> bool {
        self.plan_reading().follows.is_some_and(|next| next.name == host.name)
    }

    /// Ends waiting watches of this host that have not brought changes which the followed host sent some time ago: each
    /// with its revision and the time when it came.
    fn end_watches_that_lack(&self, brought: &mut BTreeMap<ObjectKind, (u64, SteadyMs)>) {
        let now = self.now();
        brought.retain(|kind, (revision, at)| {
            let is_due = at.plus_ms(WATCH_GRACE_MS).is_past(now);
            if is_due {
                self.pending_watches.end_if_lost(*kind, *revision, *at);
            }
            !is_due
        });
    }

    /// Whether a host that cannot read the store is followed all the same, because no other host can either.
    fn must_follow(&self, name: &str) -> bool {
        let now = self.now();
        let mut readers = self.readers.borrow_mut();
        if !readers.is_skipped(name, now) {
            readers.record_trouble(name, Trouble::Unable, now);
        }
        let next = readers.plan(self.followers.get(), now).follows;
        next.is_some_and(|next| next.name == name)
    }

    /// Takes over as of when a followed host has found that this host now holds everything.
    fn record_confirmations(
        &self,
        clock: &FollowedClock,
        confirmed_steady_ms: &[(ObjectKind, u64)],
    ) {
        self.record_store_answer();
        let now = self.now();
        let mut confirmations = self.confirmations.borrow_mut();
        // What this host holds may be of an earlier era than that of the followed host.
        let held =
            confirmed_steady_ms.iter().filter(|(kind, _)| self.next_position(*kind).is_some());
        for (kind, ms) in held {
            if let Some(as_of) = clock.own_time(SteadyMs(*ms)) {
                confirmations.record_confirmed(*kind, as_of, now);
            }
        }
        drop(confirmations);
        self.confirmations_changed.send_replace(());
    }

    fn known_revisions(&self) -> Vec<(ObjectKind, u64)> {
        let replicas = self.replicas.borrow();
        replicas.iter().map(|(kind, replica)| (*kind, replica.next_from_revision())).collect()
    }

    fn restart_lag(&self) {
        let now = self.now();
        self.freshness.borrow_mut().values_mut().for_each(|freshness| freshness.record_call(now));
    }

    /// Whether other hosts have known newer objects of some kind than this one for `lag_ms`.
    fn is_lagging(&self, lag_ms: u64) -> bool {
        let now = self.now();
        self.freshness.borrow().values().any(|freshness| freshness.is_behind_for(lag_ms, now))
    }
}
