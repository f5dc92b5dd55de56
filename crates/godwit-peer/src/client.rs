//! Calls to other hosts, over connections that are kept for a while.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use godwit_core::UnixMs;

use crate::PeerKey;
use crate::call::{CallError, NotSentReason, Reply, Request, Topic, UnknownReason};
use crate::frame::{MAX_FRAME_BYTES, invalid};
use crate::session::Session;

/// An idle connection is kept this long; shorter than the server keeps it.
const MAX_IDLE_MS: u64 = 4_000;
/// Idle connections kept for one host.
const MAX_IDLE_PER_HOST: usize = 4;
/// Idle connections kept in all.
const MAX_IDLE: usize = 64;
/// Longest wait for a connection and its handshake.
const MAX_CONNECT_MS: u64 = 1_000;
/// Room for the topic and the length of a payload.
const REQUEST_OVERHEAD_BYTES: usize = 16;

type Now = dyn Fn() -> UnixMs + Send + Sync;

/// Calls other hosts. Cheap to clone; clones share their connections.
///
/// ```no_run
/// use godwit_core::UnixMs;
/// use godwit_peer::{PeerClient, PeerKey, Topic};
/// let client = PeerClient::new(PeerKey::new(b"secret"), || UnixMs(1_000));
/// let answer = client.call("127.0.0.1:7000".parse().unwrap(), Topic::State, b"", UnixMs(1_500));
/// ```
#[derive(Clone)]
pub struct PeerClient {
    key: PeerKey,
    now: Arc<Now>,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
}

struct Idle {
    session: Session,
    expires_at: UnixMs,
}

impl PeerClient {
    /// A client with the shared key and a source of the present time.
    pub fn new(key: PeerKey, now: impl Fn() -> UnixMs + Send + Sync + 'static) -> PeerClient {
        PeerClient { key, now: Arc::new(now), idle: Arc::default() }
    }

    /// Calls the handler of `topic` on another host and waits for its answer until `deadline`.
    ///
    /// # Errors
    /// `NotSent` when the handler certainly did not run, `Unknown` when it may have.
    pub fn call(
        &self,
        address: SocketAddr,
        topic: Topic,
        payload: &[u8],
        deadline: UnixMs,
    ) -> Result<Vec<u8>, CallError> {
        let result = self.try_call(address, topic, payload, deadline);
        let outcome = match &result {
            Ok(_) => "answered",
            Err(CallError::NotSent { .. }) => "not_sent",
            Err(CallError::Unknown { .. }) => "unknown",
        };
        let labels = [("topic", topic.label()), ("outcome", outcome)];
        metrics::counter!("godwit_peer_calls_total", &labels).increment(1);
        result
    }

    fn try_call(
        &self,
        address: SocketAddr,
        topic: Topic,
        payload: &[u8],
        deadline: UnixMs,
    ) -> Result<Vec<u8>, CallError> {
        let not_sent = |reason| CallError::NotSent { address, reason };
        let unknown = |reason| CallError::Unknown { address, reason };
        let request = encode(topic, payload).map_err(not_sent)?;
        let mut session = self.session(address, deadline).map_err(not_sent)?;
        let limit = self.left(deadline).map_err(not_sent)?;
        session.send(&request, limit).map_err(|e| not_sent(NotSentReason::Write(e)))?;
        let reply = session.receive_message(self.left(deadline).unwrap_or(Duration::ZERO));
        let reply = reply.map_err(|e| unknown(UnknownReason::Answer(e)))?;
        let answer = match postcard::from_bytes::<Reply<'_>>(&reply) {
            Ok(Reply::Answer(answer)) => Ok(answer.to_vec()),
            Ok(Reply::NoHandler) => Err(not_sent(NotSentReason::NoHandler)),
            Ok(Reply::Failed) => Err(unknown(UnknownReason::HandlerFailed)),
            Err(_) => return Err(unknown(UnknownReason::Answer(invalid("answer")))),
        };
        self.keep(address, session);
        answer
    }

    fn left(&self, deadline: UnixMs) -> Result<Duration, NotSentReason> {
        let left_ms = deadline.since_ms((self.now)());
        if left_ms == 0 {
            return Err(NotSentReason::DeadlinePassed);
        }
        Ok(Duration::from_millis(left_ms))
    }

    fn session(&self, address: SocketAddr, deadline: UnixMs) -> Result<Session, NotSentReason> {
        while let Some(session) = self.take_idle(address) {
            if !session.is_spent() {
                return Ok(session);
            }
        }
        let limit = self.left(deadline)?.min(Duration::from_millis(MAX_CONNECT_MS));
        let stream = TcpStream::connect_timeout(&address, limit).map_err(NotSentReason::Connect)?;
        Session::connect(stream, &self.key, limit).map_err(NotSentReason::Handshake)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Session> {
        let now = (self.now)();
        let mut idle = self.lock();
        idle.retain(|_, kept| {
            kept.retain(|entry| !entry.expires_at.is_past(now));
            !kept.is_empty()
        });
        idle.get_mut(&address)?.pop().map(|entry| entry.session)
    }

    fn keep(&self, address: SocketAddr, session: Session) {
        let expires_at = (self.now)().plus_ms(MAX_IDLE_MS);
        let mut idle = self.lock();
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE {
            return;
        }
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_HOST {
            kept.push(Idle { session, expires_at });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode(topic: Topic, payload: &[u8]) -> Result<Vec<u8>, NotSentReason> {
    let too_long = || NotSentReason::TooLong { size_bytes: payload.len() };
    if payload.len() + REQUEST_OVERHEAD_BYTES > MAX_FRAME_BYTES {
        return Err(too_long());
    }
    postcard::to_stdvec(&Request { topic, payload }).map_err(|_| too_long())
}
