//! Server for calls from other hosts, with one thread per connection up to a limit.

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

/// Maximum number of concurrent connections; further ones are closed before their handshake.
const MAX_CONNECTIONS: usize = 256;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection is closed after this time without a call; longer than clients keep idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
const STACK_BYTES: usize = 512 << 10;
/// Bytes reserved in a frame for the variant and the length prefix of an answer.
const REPLY_OVERHEAD_BYTES: usize = 16;

type Handler = Box<dyn Fn(&[u8]) -> Vec<u8> + Send + Sync>;

/// The handlers of a server, one per topic.
///
/// ```
/// use godwit_peer::{Handlers, Topic};
/// let handlers = Handlers::default().on(Topic::State, |payload| payload.to_vec());
/// ```
#[derive(Default)]
pub struct Handlers(BTreeMap<Topic, Handler>);

impl Handlers {
    /// Adds or replaces the handler of a topic, which maps a payload to an answer.
    pub fn on(
        mut self,
        topic: Topic,
        handler: impl Fn(&[u8]) -> Vec<u8> + Send + Sync + 'static,
    ) -> Handlers {
        self.0.insert(topic, Box::new(handler));
        self
    }
}

/// Server for calls from other hosts; dropping it stops it and closes its connections.
pub struct PeerServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
}

struct Shared {
    key: PeerKey,
    handlers: Handlers,
    connections: AtomicUsize,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    next_stream_id: AtomicU64,
    is_stopped: AtomicBool,
}

/// Registration of an open connection, which the server shuts down when it stops, so that the client detects the end
/// before it sends another call.
struct StreamRegistration<'a> {
    id: u64,
    shared: &'a Shared,
}

impl Shared {
    fn register(&self, stream: &TcpStream) -> io::Result<StreamRegistration<'_>> {
        let id = self.next_stream_id.fetch_add(1, Ordering::SeqCst);
        self.streams().insert(id, stream.try_clone()?);
        Ok(StreamRegistration { id, shared: self })
    }

    fn streams(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for StreamRegistration<'_> {
    fn drop(&mut self) {
        self.shared.streams().remove(&self.id);
    }
}

impl PeerServer {
    /// Listens on `bind` and serves calls with `handlers`.
    ///
    /// # Errors
    /// The address cannot be bound, or no thread can be started.
    pub fn start(bind: SocketAddr, key: PeerKey, handlers: Handlers) -> io::Result<PeerServer> {
        PeerServer::start_on(TcpListener::bind(bind)?, key, handlers)
    }

    /// Serves calls on an existing `listener` with `handlers`.
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
            next_stream_id: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let accept_shared = Arc::clone(&shared);
        let accept_thread = thread::Builder::new()
            .name("peer-accept".into())
            .spawn(move || accept_loop(&listener, &accept_shared))?;
        Ok(PeerServer { address, shared, accept_thread: Some(accept_thread) })
    }

    /// Local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // Unblocks the accept thread, which then checks `is_stopped`.
        let _ = TcpStream::connect_timeout(&self.address, HANDSHAKE_TIMEOUT);
        if let Some(accept_thread) = self.accept_thread.take() {
            let _ = accept_thread.join();
        }
        for stream in self.shared.streams().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_loop(listener: &TcpListener, shared: &Arc<Shared>) {
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
    let connection_shared = Arc::clone(shared);
    let spawned =
        thread::Builder::new().name("peer-call".into()).stack_size(STACK_BYTES).spawn(move || {
            let result = serve(stream, &connection_shared);
            connection_shared.connections.fetch_sub(1, Ordering::SeqCst);
            if let Err(error) = result {
                record_protocol_error(&error);
            }
        });
    if spawned.is_err() {
        shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

fn record_protocol_error(error: &io::Error) {
    if error.kind() == io::ErrorKind::InvalidData {
        metrics::counter!("godwit_peer_bad_frames_total").increment(1);
        tracing::warn!(%error, "peer connection closed");
    }
}

fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let _registration = shared.register(&stream)?;
    let mut session = Session::accept(stream, &shared.key, HANDSHAKE_TIMEOUT)?;
    while !shared.is_stopped.load(Ordering::SeqCst) {
        let request = session.receive_message(IDLE_TIMEOUT)?;
        let reply = answer(&request, &shared.handlers)?;
        session.send(&reply, SEND_TIMEOUT)?;
    }
    Ok(())
}

fn answer(request: &[u8], handlers: &Handlers) -> io::Result<Vec<u8>> {
    let request: Request<'_> = postcard::from_bytes(request)
        .map_err(|_| crate::frame::invalid_data("malformed request"))?;
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
    postcard::to_stdvec(reply).map_err(|_| crate::frame::invalid_data("reply cannot be encoded"))
}
