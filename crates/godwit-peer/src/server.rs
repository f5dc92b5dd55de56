//! Answers calls of other hosts, one thread for each connection up to a limit.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::PeerKey;
use crate::call::{Reply, Request, Topic};
use crate::frame::MAX_FRAME_BYTES;
use crate::session::Session;

/// Connections served at a time; further ones are closed before their handshake.
const MAX_CONNECTIONS: usize = 256;
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(1);
/// A connection without a call is closed after this long.
const IDLE_LIMIT: Duration = Duration::from_secs(6);
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
const STACK_BYTES: usize = 512 << 10;
/// Room for the kind and the length of an answer.
const REPLY_OVERHEAD_BYTES: usize = 16;

type Handler = Box<dyn Fn(&[u8]) -> Vec<u8> + Send + Sync>;

/// The handlers of a server, one for each topic.
///
/// ```
/// use godwit_peer::{Handlers, Topic};
/// let handlers = Handlers::default().on(Topic::State, |payload| payload.to_vec());
/// ```
#[derive(Default)]
pub struct Handlers(BTreeMap<Topic, Handler>);

impl Handlers {
    /// Adds or replaces the handler of a topic: payload in, answer out.
    pub fn on(
        mut self,
        topic: Topic,
        handler: impl Fn(&[u8]) -> Vec<u8> + Send + Sync + 'static,
    ) -> Handlers {
        self.0.insert(topic, Box::new(handler));
        self
    }
}

/// A server of calls; it stops accepting when it is dropped.
pub struct PeerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
}

struct Shared {
    key: PeerKey,
    handlers: Handlers,
    connections: AtomicUsize,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    next_stream: AtomicU64,
    is_stopped: AtomicBool,
}

/// A connection that is closed when the server stops, so that its client sees so before it sends another call.
struct OpenStream<'a> {
    number: u64,
    shared: &'a Shared,
}

impl Shared {
    fn open(&self, stream: &TcpStream) -> io::Result<OpenStream<'_>> {
        let number = self.next_stream.fetch_add(1, Ordering::SeqCst);
        self.streams().insert(number, stream.try_clone()?);
        Ok(OpenStream { number, shared: self })
    }

    fn streams(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.shared.streams().remove(&self.number);
    }
}

impl PeerServer {
    /// Listens on `bind` and answers calls with `handlers`.
    ///
    /// # Errors
    /// The address cannot be bound, or no thread can be started.
    pub fn start(bind: SocketAddr, key: PeerKey, handlers: Handlers) -> io::Result<PeerServer> {
        PeerServer::start_on(TcpListener::bind(bind)?, key, handlers)
    }

    /// Answers calls that come in on `listener` with `handlers`.
    ///
    /// # Errors
    /// The listener has no address, or no thread can be started.
    pub fn start_on(
        listener: TcpListener,
        key: PeerKey,
        handlers: Handlers,
    ) -> io::Result<PeerServer> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            key,
            handlers,
            connections: AtomicUsize::new(0),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        let accepting = thread::Builder::new()
            .name("peer-accept".into())
            .spawn(move || accept_all(&listener, &accepting))?;
        Ok(PeerServer { address, shared, accepting: Some(accepting) })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees that it has to end.
        let _ = TcpStream::connect_timeout(&self.address, HANDSHAKE_LIMIT);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.shared.streams().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_all(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.is_stopped.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => spawn_connection(stream, shared),
            Err(error) => {
                tracing::warn!(%error, "peer accept failed");
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

fn spawn_connection(stream: TcpStream, shared: &Arc<Shared>) {
    if shared.connections.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
        shared.connections.fetch_sub(1, Ordering::SeqCst);
        metrics::counter!("godwit_peer_refused_connections_total").increment(1);
        return;
    }
    let serving = Arc::clone(shared);
    let spawned =
        thread::Builder::new().name("peer-call".into()).stack_size(STACK_BYTES).spawn(move || {
            let served = serve(stream, &serving);
            serving.connections.fetch_sub(1, Ordering::SeqCst);
            if let Err(error) = served {
                record_end(&error);
            }
        });
    if spawned.is_err() {
        shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

fn record_end(error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        metrics::counter!("godwit_peer_bad_frames_total").increment(1);
        tracing::warn!(%error, "peer connection closed");
    }
}

fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let _open = shared.open(&stream)?;
    let mut session = Session::accept(stream, &shared.key, HANDSHAKE_LIMIT)?;
    while !shared.is_stopped.load(Ordering::SeqCst) {
        let request = session.receive_message(IDLE_LIMIT)?;
        let reply = answer(&request, &shared.handlers)?;
        session.send(&reply, ANSWER_LIMIT)?;
    }
    Ok(())
}

fn answer(request: &[u8], handlers: &Handlers) -> io::Result<Vec<u8>> {
    let request: Request<'_> =
        postcard::from_bytes(request).map_err(|_| crate::frame::invalid("request"))?;
    let Some(handler) = handlers.0.get(&request.topic) else {
        return encode(&Reply::NoHandler);
    };
    match catch_unwind(AssertUnwindSafe(|| handler(request.payload))) {
        Ok(answer) if answer.len() + REPLY_OVERHEAD_BYTES <= MAX_FRAME_BYTES => {
            encode(&Reply::Answer(&answer))
        }
        _ => encode(&Reply::Failed),
    }
}

fn encode(reply: &Reply<'_>) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(reply).map_err(|_| crate::frame::invalid("reply"))
}
