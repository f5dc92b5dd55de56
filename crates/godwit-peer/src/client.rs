//! Client for calls to other hosts, with a pool of idle connections.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use godwit_core::UnixMs;

use crate::PeerKey;
use crate::call::{CallError, NotSentReason, Reply, Request, Topic, UnknownReason};
use crate::frame::{MAX_FRAME_BYTES, invalid_data};
use crate::session::Session;

/// Time after which an idle connection is dropped; shorter than the server's idle timeout.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Maximum number of idle connections to one host.
const MAX_IDLE_PER_HOST: usize = 4;
/// Maximum number of idle connections to all hosts.
const MAX_IDLE_TOTAL: usize = 64;
/// Timeout for the connection, and again for its handshake.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Bytes reserved in a frame for the topic and the length prefix of the payload.
const REQUEST_OVERHEAD_BYTES: usize = 16;

type Clock = dyn Fn() -> UnixMs + Send + Sync;

/// Client for calls to other hosts. Cheap to clone; clones share the connection pool.
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
    now: Arc<Clock>,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleSession>>>>,
}

struct IdleSession {
    session: Session,
    expires_at: UnixMs,
}

impl PeerClient {
    /// Creates a client with the shared key and a clock.
    pub fn new(key: PeerKey, now: impl Fn() -> UnixMs + Send + Sync + 'static) -> PeerClient {
        PeerClient { key, now: Arc::new(now), idle: Arc::default() }
    }

    /// Calls the handler of `topic` on the host at `address` and waits for the answer until `deadline`.
    ///
    /// # Errors
    /// [`CallError::NotSent`] when the handler certainly did not run, [`CallError::Unknown`] when it may have run.
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
        let timeout = self.remaining(deadline).map_err(not_sent)?;
        session.send(&request, timeout).map_err(|e| not_sent(NotSentReason::Write(e)))?;
        let reply = session.receive_message(self.remaining(deadline).unwrap_or(Duration::ZERO));
        let reply = reply.map_err(|e| unknown(UnknownReason::Answer(e)))?;
        let answer = match postcard::from_bytes::<Reply<'_>>(&reply) {
            Ok(Reply::Answer(answer)) => Ok(answer.to_vec()),
            Ok(Reply::NoHandler) => Err(not_sent(NotSentReason::NoHandler)),
            Ok(Reply::Failed) => Err(unknown(UnknownReason::HandlerFailed)),
            Err(_) => return Err(unknown(UnknownReason::Answer(invalid_data("malformed reply")))),
        };
        self.put_idle(address, session);
        answer
    }

    fn remaining(&self, deadline: UnixMs) -> Result<Duration, NotSentReason> {
        let remaining_ms = deadline.since_ms((self.now)());
        if remaining_ms == 0 {
            return Err(NotSentReason::DeadlinePassed);
        }
        Ok(Duration::from_millis(remaining_ms))
    }

    fn session(&self, address: SocketAddr, deadline: UnixMs) -> Result<Session, NotSentReason> {
        while let Some(session) = self.take_idle(address) {
            if !session.is_broken() {
                return Ok(session);
            }
        }
        let timeout = self.remaining(deadline)?.min(Duration::from_millis(CONNECT_TIMEOUT_MS));
        let stream =
            TcpStream::connect_timeout(&address, timeout).map_err(NotSentReason::Connect)?;
        Session::connect(stream, &self.key, timeout).map_err(NotSentReason::Handshake)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Session> {
        let now = (self.now)();
        let mut idle = self.lock();
        idle.retain(|_, sessions| {
            sessions.retain(|entry| !entry.expires_at.is_past(now));
            !sessions.is_empty()
        });
        idle.get_mut(&address)?.pop().map(|entry| entry.session)
    }

    fn put_idle(&self, address: SocketAddr, session: Session) {
        let expires_at = (self.now)().plus_ms(IDLE_TIMEOUT_MS);
        let mut idle = self.lock();
        if idle.values().map(Vec::len).sum::<usize>() >= MAX_IDLE_TOTAL {
            return;
        }
        let sessions = idle.entry(address).or_default();
        if sessions.len() < MAX_IDLE_PER_HOST {
            sessions.push(IdleSession { session, expires_at });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleSession>>> {
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
