//! Serves the hosts that follow this one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{debug, info, warn};

use crate::listeners::accept;
use crate::replica::ObjectKind;
use crate::replica::frames::{
    FRAME_FORMAT, FeedMessage, FollowRequest, MAX_REQUEST_BYTES, encode_frame, read_frame,
    write_frame,
};
use crate::site::Site;
use crate::wire::configure_stream;

/// Longest interval of status messages. A follower gives up after a multiple of it.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a change in which further ones are collected.
const CHANGE_DELAY: Duration = Duration::from_millis(10);

/// Timeout for a follower's request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time that a follower may take to receive a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Most followers of a host. A host beyond them is refused and follows another, or reads the store.
const MAX_FOLLOWERS: usize = 512;

/// Encoded changes of a kind since a revision, shared by the followers that need the same.
type EncodedChanges = BTreeMap<(ObjectKind, u64), (u64, Rc<Vec<u8>>)>;

/// Serves followers for as long as the process runs.
pub(crate) async fn serve_followers(site: Rc<Site>, listener: TcpListener) {
    let feed = Rc::new(Feed { site, encoded: RefCell::default() });
    loop {
        let stream = accept(&listener).await;
        spawn_local(feed.clone().serve(stream));
    }
}

/// A copy of all objects of a kind, as of when it is confirmed.
struct ConfirmedCopy {
    kind: ObjectKind,
    revision: u64,
    confirmed_at: SteadyMs,
}

struct Feed {
    site: Rc<Site>,
    encoded: RefCell<EncodedChanges>,
}

impl Feed {
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let peer = stream.peer_addr().ok();
        if self.site.followers.get() >= MAX_FOLLOWERS {
            warn!(event = "follower_refused", ?peer, followers = self.site.followers.get());
            return;
        }
        self.record_followers(1);
        let result = self.send_changes(stream).await;
        self.record_followers(-1);
        if let Err(error) = result {
            debug!(event = "follower_left", ?peer, %error);
        }
    }

    fn record_followers(&self, change: isize) {
        let followers = self.site.followers.get().saturating_add_signed(change);
        self.site.followers.set(followers);
        metrics::gauge!("followers").set(followers as f64);
        self.site.reading_changed.notify_one();
    }

    /// Sends what a follower does not have, and then every change, until the connection ends.
    async fn send_changes(&self, mut stream: TcpStream) -> io::Result<()> {
        configure_stream(&stream)?;
        let request: FollowRequest =
            read_frame(&mut stream, MAX_REQUEST_BYTES, REQUEST_TIMEOUT).await?;
        if request.format != FRAME_FORMAT {
            return Err(io::Error::other("the follower uses another format"));
        }
        info!(event = "follower", host = request.host, known = ?request.known_revisions);
        let requested_at = self.site.now();
        let is_confirmed =
            |kind| request.accepts_unconfirmed || self.site.is_confirmed_since(kind, requested_at);
        let mut known: BTreeMap<ObjectKind, u64> = request.known_revisions.into_iter().collect();
        let mut changed = self.site.replicas_changed.subscribe();
        let mut confirmed = self.site.confirmations_changed.subscribe();
        let mut received_beats = 1;
        // A follower that is to leave need not wait for the changes.
        let first_status = self.status(received_beats, requested_at, Vec::new());
        write_frame(&mut stream, &encode_frame(&first_status)?, WRITE_TIMEOUT).await?;
        loop {
            // The changes that a confirmation covers go first.
            let (now, held) = (self.site.now(), self.confirmed_copies());
            for kind in ObjectKind::ALL {
                let revision = known.entry(kind).or_default();
                // What a host knows before it starts is lost, so that it could go back to objects of long ago.
                if *revision == 0 && !is_confirmed(kind) {
                    continue;
                }
                if let Some((to_revision, frame)) = self.encoded_changes(kind, *revision)? {
                    write_frame(&mut stream, &frame, WRITE_TIMEOUT).await?;
                    *revision = to_revision;
                }
            }
            let is_sent = |copy: &&ConfirmedCopy| known[&copy.kind] >= copy.revision;
            let sent = held.iter().filter(is_sent).map(|copy| (copy.kind, copy.confirmed_at.0));
            let status = self.status(received_beats, now, sent.collect());
            write_frame(&mut stream, &encode_frame(&status)?, WRITE_TIMEOUT).await?;
            let confirmed_at = held.iter().map(|copy| copy.confirmed_at).min();
            let mut beat = [0];
            tokio::select! {
                read = stream.read(&mut beat) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    received_beats += 1;
                    sleep(CHANGE_DELAY).await;
                }
                () = sleep(STATUS_INTERVAL) => {}
                _ = changed.changed() => sleep(CHANGE_DELAY).await,
                () = self.confirmed_later(&mut confirmed, confirmed_at) => {}
            }
        }
    }

    /// Waits until all copies are confirmed as of a later time.
    async fn confirmed_later(
        &self,
        confirmed: &mut watch::Receiver<()>,
        confirmed_at: Option<SteadyMs>,
    ) {
        let is_later = |copies: Vec<ConfirmedCopy>| {
            copies.iter().map(|copy| copy.confirmed_at).min() > confirmed_at
        };
        while !is_later(self.confirmed_copies()) {
            if confirmed.changed().await.is_err() {
                std::future::pending().await
            }
        }
    }

    fn status(
        &self,
        received_beats: u32,
        now: SteadyMs,
        confirmed_steady_ms: Vec<(ObjectKind, u64)>,
    ) -> FeedMessage {
        FeedMessage::Status {
            can_read_store: self.site.readers.borrow().can_read_store(),
            is_stopping: self.site.is_stopping.get(),
            received_beats,
            steady_ms: now.0,
            confirmed_steady_ms,
        }
    }

    fn confirmed_copies(&self) -> Vec<ConfirmedCopy> {
        let replicas = self.site.replicas.borrow();
        let copies = replicas.iter().filter_map(|(kind, replica)| {
            let confirmed_at = self.site.confirmed_at(*kind)?;
            Some(ConfirmedCopy { kind: *kind, revision: replica.complete_revision(), confirmed_at })
        });
        copies.collect()
    }

    /// Returns the frame with the changes of a kind since a revision, and the revision up to which it goes; none if there
    /// are none.
    fn encoded_changes(
        &self,
        kind: ObjectKind,
        revision: u64,
    ) -> io::Result<Option<(u64, Rc<Vec<u8>>)>> {
        let replicas = self.site.replicas.borrow();
        let Some(replica) = replicas.get(&kind) else { return Ok(None) };
        let complete_revision = replica.complete_revision();
        if complete_revision <= revision {
            return Ok(None);
        }
        let mut encoded = self.encoded.borrow_mut();
        encoded.retain(|(of_kind, _), (to, _)| *of_kind != kind || *to == complete_revision);
        if let Some(known) = encoded.get(&(kind, revision)) {
            return Ok(Some(known.clone()));
        }
        let Some(changes) = replica.changes_since(revision) else { return Ok(None) };
        let frame = Rc::new(encode_frame(&FeedMessage::Changes(kind, changes))?);
        encoded.insert((kind, revision), (complete_revision, frame.clone()));
        Ok(Some((complete_revision, frame)))
    }
}
