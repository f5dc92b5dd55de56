//! The operator endpoint: `GET /live`, `/ready`, `/status`, `/dump`, `/metrics`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use godwit_schema::operator::{HostStatus, LifeState};
use serde_json::Value;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::error::OperatorError;

/// State of a host that the operator endpoint shows.
pub trait Host: Send + Sync + 'static {
    /// Returns the status summary.
    fn status(&self) -> HostStatus;

    /// Returns the state that the host holds in memory.
    fn dump(&self) -> Value;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Running operator endpoint; dropping it stops it.
pub struct OperatorServer {
    address: SocketAddr,
    server: Arc<Server>,
    is_stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Starts listening on `bind`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`OperatorError::Listen`] when the server cannot listen on the address.
    pub fn start(bind: SocketAddr, host: Arc<dyn Host>) -> Result<OperatorServer, OperatorError> {
        let listen_error = |message: String| OperatorError::Listen { address: bind, message };
        let server = Server::http(bind).map_err(|error| listen_error(error.to_string()))?;
        let server = Arc::new(server);
        let address = server.server_addr().to_ip();
        let address = address.ok_or_else(|| listen_error("not an IP address".to_string()))?;
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (thread_server, thread_is_stopping) = (server.clone(), is_stopping.clone());
        let thread = std::thread::Builder::new()
            .name("operator".to_string())
            .spawn(move || serve(&thread_server, &*host, &thread_is_stopping))
            .map_err(|error| listen_error(error.to_string()))?;
        Ok(OperatorServer { address, server, is_stopping, thread: Some(thread) })
    }

    /// Address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, host: &dyn Host, is_stopping: &AtomicBool) {
    while !is_stopping.load(Ordering::SeqCst) {
        if let Ok(request) = server.recv() {
            answer(request, host);
        }
    }
}

fn answer(request: Request, host: &dyn Host) {
    if *request.method() != Method::Get {
        respond(request, 405, "text/plain", "only GET is served\n".to_string());
        return;
    }
    let path = request.url().split('?').next().unwrap_or_default().to_string();
    match path.as_str() {
        "/live" => respond(request, 200, "text/plain", "live\n".to_string()),
        "/ready" => respond_ready(request, host.status().state),
        "/status" => respond(request, 200, "application/json", json(&host.status())),
        "/dump" => respond(request, 200, "application/json", json(&host.dump())),
        "/metrics" => respond(request, 200, "text/plain; version=0.0.4", host.metrics()),
        _ => respond(request, 404, "text/plain", "not found\n".to_string()),
    }
}

fn respond_ready(request: Request, state: LifeState) {
    let status = if state == LifeState::Ready { 200 } else { 503 };
    respond(request, status, "text/plain", format!("{state}\n"));
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn respond(request: Request, status: u16, content_type: &str, body: String) {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        tracing::debug!(event = "operator_gone", error = %error);
    }
}
