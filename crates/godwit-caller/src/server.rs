//! HTTP server for callers: accepts calls, enforces limits and passes the calls to the handler.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;

use godwit_core::{Code, UnixMs};
use tiny_http::{Request, Server};

use crate::call::{Call, Operation};
use crate::error::CallerError;
use crate::framing;
use crate::responder::{Failure, Finish, Responder};

/// Stack size of a thread that serves one call.
const STACK_BYTES: usize = 256 * 1024;

/// Limits on what callers may send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum total length of all headers, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a body, in bytes.
    pub body_bytes: u64,
    /// Maximum length of a prompt, in bytes.
    pub prompt_bytes: u64,
    /// Maximum number of concurrent calls.
    pub concurrent_calls: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            prompt_bytes: 512 * 1024,
            concurrent_calls: 1_024,
        }
    }
}

/// Settings of the server for callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address to listen on; port 0 selects a free port.
    pub bind: SocketAddr,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Prefix of request ids; must be unique for each start of a host.
    pub id_prefix: String,
}

/// Serves the calls that a [`CallerServer`] reads.
pub trait Handler: Send + Sync + 'static {
    /// Serves one call until its response is finished.
    fn serve(&self, call: &Call, responder: Responder);

    /// Returns the current time.
    fn now(&self) -> UnixMs;
}

struct Shared {
    handler: Arc<dyn Handler>,
    limits: Limits,
    id_prefix: String,
    next_id: AtomicUsize,
    live_calls: AtomicUsize,
    /// Number of the live calls that began before the drain.
    calls_to_finish: AtomicUsize,
    is_draining: AtomicBool,
    is_stopping: AtomicBool,
}

/// Running HTTP server for callers; dropping it stops accepting calls.
pub struct CallerServer {
    address: SocketAddr,
    server: Arc<Server>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl CallerServer {
    /// Starts listening.
    ///
    /// # Errors
    /// [`CallerError::Listen`] when the server cannot listen on the address.
    pub fn start(settings: CallerSettings, handler: Arc<dyn Handler>) -> Result<Self, CallerError> {
        let listen_error =
            |message: String| CallerError::Listen { address: settings.bind, message };
        let server =
            Server::http(settings.bind).map_err(|error| listen_error(error.to_string()))?;
        let server = Arc::new(server);
        let address = server.server_addr().to_ip();
        let address = address.ok_or_else(|| listen_error("not an IP address".to_string()))?;
        let shared = Arc::new(Shared {
            handler,
            limits: settings.limits,
            id_prefix: settings.id_prefix,
            next_id: AtomicUsize::new(1),
            live_calls: AtomicUsize::new(0),
            calls_to_finish: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
        });
        let (accept_server, accept_shared) = (server.clone(), shared.clone());
        let thread = std::thread::Builder::new()
            .name("caller-accept".to_string())
            .spawn(move || accept_loop(&accept_server, &accept_shared))
            .map_err(|error| listen_error(error.to_string()))?;
        Ok(CallerServer { address, server, shared, thread: Some(thread) })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls in progress.
    pub fn live_calls(&self) -> usize {
        self.shared.live_calls.load(Ordering::SeqCst)
    }

    /// Begins a drain: calls that begin from now on need not be finished, as the handler refuses them.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use godwit_caller::{Call, CallerServer, CallerSettings, Handler, Limits, Responder};
    /// use godwit_core::UnixMs;
    ///
    /// struct Refusing;
    ///
    /// impl Handler for Refusing {
    ///     fn serve(&self, _: &Call, _: Responder) {}
    ///
    ///     fn now(&self) -> UnixMs {
    ///         UnixMs(1_000)
    ///     }
    /// }
    ///
    /// let bind = "127.0.0.1:0".parse().unwrap();
    /// let settings = CallerSettings { bind, limits: Limits::default(), id_prefix: "a".to_string() };
    /// let server = CallerServer::start(settings, Arc::new(Refusing)).unwrap();
    /// server.drain();
    /// assert_eq!(server.calls_to_finish(), 0);
    /// ```
    pub fn drain(&self) {
        self.shared.is_draining.store(true, Ordering::SeqCst);
    }

    /// Number of calls in progress that began before the drain; of all calls in progress while there is none.
    pub fn calls_to_finish(&self) -> usize {
        self.shared.calls_to_finish.load(Ordering::SeqCst)
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_loop(server: &Server, shared: &Arc<Shared>) {
    loop {
        if shared.is_stopping.load(Ordering::SeqCst) {
            return;
        }
        match server.recv() {
            Ok(request) => start_call(request, shared),
            Err(_) if shared.is_stopping.load(Ordering::SeqCst) => return,
            Err(error) => {
                tracing::error!(event = "accept_failed", error = %error);
                std::thread::sleep(std::time::Duration::from_millis(50));
            }
        }
    }
}

/// Counts a call as live until dropped.
struct LiveCall {
    shared: Arc<Shared>,
    is_to_finish: bool,
}

impl LiveCall {
    fn start(shared: &Arc<Shared>) -> (LiveCall, usize) {
        let before = shared.live_calls.fetch_add(1, Ordering::SeqCst);
        shared.calls_to_finish.fetch_add(1, Ordering::SeqCst);
        // Counted before the check, so that a drain that begins meanwhile does not miss the call.
        let is_to_finish = !shared.is_draining.load(Ordering::SeqCst);
        if !is_to_finish {
            shared.calls_to_finish.fetch_sub(1, Ordering::SeqCst);
        }
        (LiveCall { shared: shared.clone(), is_to_finish }, before)
    }
}

impl Drop for LiveCall {
    fn drop(&mut self) {
        self.shared.live_calls.fetch_sub(1, Ordering::SeqCst);
        if self.is_to_finish {
            self.shared.calls_to_finish.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn start_call(request: Request, shared: &Arc<Shared>) {
    let number = shared.next_id.fetch_add(1, Ordering::SeqCst);
    let request_id = format!("{}-{number}", shared.id_prefix);
    let (live_call, other_calls) = LiveCall::start(shared);
    let responder = Responder::new(&request_id, request, shared.handler.now());
    if other_calls >= shared.limits.concurrent_calls {
        refuse(responder, &Failure::code(Code::TooManyStreams));
        return;
    }
    let shared = shared.clone();
    let spawned = std::thread::Builder::new()
        .name("call".to_string())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let result = catch_unwind(AssertUnwindSafe(|| serve(responder, &request_id, &shared)));
            if result.is_err() {
                tracing::error!(event = "call_panicked", request_id = %request_id);
            }
            drop(live_call);
        });
    if let Err(error) = spawned {
        tracing::error!(event = "call_thread_failed", error = %error);
    }
}

fn refuse(responder: Responder, failure: &Failure) {
    metrics::counter!("godwit_calls_malformed_total", "code" => failure.code.name()).increment(1);
    let _ = responder.finish(&Finish::Failed(failure.clone()));
}

fn serve(mut responder: Responder, request_id: &str, shared: &Shared) {
    let Some(request) = responder.request_mut() else { return };
    match framing::read_call(request, request_id, &shared.limits) {
        Ok(call) => {
            if let Operation::Generate(params) = &call.operation {
                responder.set_params(params.clone());
            }
            shared.handler.serve(&call, responder);
        }
        Err(failure) => {
            tracing::info!(
                event = "call_malformed",
                request_id = %request_id,
                code = failure.code.number(),
                field = failure.field.as_deref().unwrap_or("-")
            );
            refuse(responder, &failure);
        }
    }
}
