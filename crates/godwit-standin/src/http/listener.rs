//! HTTP listener that serves each open connection on a thread of its own.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use godwit_workers::Workers;

use super::call::Call;
use super::connections::Connections;
use super::reader::CallReader;
use super::responder::{ConnectionAction, Responder};
use crate::StandinError;
use crate::time::lock;

const STACK_BYTES: usize = 256 * 1024;
const MAX_CONNECTIONS: usize = 4096;
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const WAKE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handler of the calls of a listener.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Whether calls are served; if not, connections are closed without a response.
    fn is_serving(&self) -> bool {
        true
    }

    /// Handles one call.
    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction;
}

/// HTTP listener; can be closed and opened again on the same port.
pub(crate) struct HttpListener {
    address: SocketAddr,
    handler: Mutex<Option<Arc<dyn Handler>>>,
    connections: Arc<Connections>,
    workers: Arc<Workers>,
    listening: Arc<AtomicBool>,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
    bound_listener: Mutex<Option<TcpListener>>,
}

impl HttpListener {
    /// Binds an address; connections are not accepted until `serve` is called.
    pub(crate) fn bind(address: SocketAddr) -> Result<HttpListener, StandinError> {
        let listener = listen(address)?;
        let bound_address =
            listener.local_addr().map_err(|source| StandinError::Listen { address, source })?;
        Ok(HttpListener {
            address: bound_address,
            handler: Mutex::new(None),
            connections: Arc::default(),
            workers: Arc::new(Workers::new("standin-call")),
            listening: Arc::new(AtomicBool::new(false)),
            accept_thread: Mutex::new(None),
            bound_listener: Mutex::new(Some(listener)),
        })
    }

    /// Address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving connections with a handler.
    pub(crate) fn serve(&self, handler: Arc<dyn Handler>) -> Result<(), StandinError> {
        *lock(&self.handler) = Some(handler);
        self.open()
    }

    /// Opens the listener if it is closed and has a handler.
    pub(crate) fn open(&self) -> Result<(), StandinError> {
        let mut accept_thread = lock(&self.accept_thread);
        let Some(handler) = lock(&self.handler).clone() else { return Ok(()) };
        if accept_thread.is_some() {
            return Ok(());
        }
        let bound_listener = lock(&self.bound_listener).take();
        let listener = bound_listener.map_or_else(|| listen(self.address), Ok)?;
        self.listening.store(true, Ordering::SeqCst);
        let listening = self.listening.clone();
        let connections = self.connections.clone();
        let workers = self.workers.clone();
        let thread = std::thread::Builder::new()
            .name("standin-accept".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || accept_loop(&listener, &listening, &connections, &workers, &handler))
            .map_err(|source| StandinError::Thread { source })?;
        *accept_thread = Some(thread);
        Ok(())
    }

    /// Closes the listening socket; open connections stay open.
    pub(crate) fn close(&self) {
        let mut accept_thread = lock(&self.accept_thread);
        let Some(thread) = accept_thread.take() else { return };
        self.listening.store(false, Ordering::SeqCst);
        let mut wake_address = self.address;
        if wake_address.ip().is_unspecified() {
            wake_address.set_ip(Ipv4Addr::LOCALHOST.into());
        }
        let _ = TcpStream::connect_timeout(&wake_address, WAKE_CONNECT_TIMEOUT);
        let _ = thread.join();
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        self.connections.close_all();
    }

    /// Closes the listener and all connections; `open` has no effect afterwards.
    pub(crate) fn stop(&self) {
        self.close();
        self.close_connections();
        *lock(&self.handler) = None;
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StandinError> {
    TcpListener::bind(address).map_err(|source| StandinError::Listen { address, source })
}

fn accept_loop(
    listener: &TcpListener,
    listening: &AtomicBool,
    connections: &Arc<Connections>,
    workers: &Workers,
    handler: &Arc<dyn Handler>,
) {
    while let Ok((stream, _)) = listener.accept() {
        if !listening.load(Ordering::SeqCst) {
            return;
        }
        if !handler.is_serving() {
            continue;
        }
        start_connection(stream, connections.clone(), workers, handler.clone());
    }
}

fn start_connection(
    stream: TcpStream,
    connections: Arc<Connections>,
    workers: &Workers,
    handler: Arc<dyn Handler>,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let Some(id) = connections.add(&stream, MAX_CONNECTIONS) else { return };
    let registered = connections.clone();
    let serve = move || {
        serve_calls(&stream, handler.as_ref());
        connections.remove(id);
    };
    if workers.run(serve).is_err() {
        registered.remove(id);
    }
}

fn serve_calls(stream: &TcpStream, handler: &dyn Handler) {
    let mut reader = CallReader::new(stream);
    while let Ok(call) = reader.read() {
        if !handler.is_serving() {
            return;
        }
        let action = handler.handle(&call, &Responder::new(stream));
        let client_closes =
            call.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let chunked = call.header("transfer-encoding").is_some();
        if action == ConnectionAction::Close || client_closes || chunked {
            return;
        }
    }
}
