//! Listeners for callers, for readiness checks of the platform and for metrics scrapers.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::READINESS_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::{debug, warn};

use crate::forward::serve;
use crate::patient_stream::PatientStream;
use crate::site::Site;

/// Connections that the kernel queues for a listener until they are accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// Delay after a failed accept, which prevents a busy loop while the file descriptor table is full.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Largest buffer of a caller's connection, in bytes, which limits the size of a request head.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// The same for a connection of the platform or of a scraper.
const MAX_OWN_BUFFER_BYTES: usize = 16 * 1024;

/// Listens on an address. Reuses the address, so that a restarted process can listen at once.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Returns the next connection. Accepts that fail are logged and repeated.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    debug!(event = "nodelay_failed", %error);
                }
                return stream;
            }
            Err(error) => {
                warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves callers until `stopping` is true; connections then close after their current request.
pub(crate) async fn serve_callers(
    site: Rc<Site>,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        spawn_local(serve_caller(site.clone(), stream, stopping.clone()));
    }
}

async fn serve_caller(site: Rc<Site>, stream: TcpStream, mut stopping: watch::Receiver<bool>) {
    let idle_timeout = Duration::from_millis(site.caller_limits().idle_timeout_ms);
    let stream = PatientStream::new(stream, site.memory.clone());
    let service = service_fn(move |request: Request<Incoming>| serve(site.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopping.wait_for(|stopping| *stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(event = "caller_connection_ended", %error);
    }
}

type FixedBody = Full<Bytes>;

/// Serves responses that the host itself produces, with one task for each connection.
async fn serve_fixed_responses<F, A>(listener: TcpListener, respond: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Result<Response<FixedBody>, Infallible>> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let respond = respond.clone();
        spawn_local(async move {
            let service = service_fn(respond);
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_OWN_BUFFER_BYTES);
            let served = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                debug!(event = "own_connection_ended", %error);
            }
        });
    }
}

fn fixed_response(status: StatusCode, body: impl Into<Bytes>) -> Response<FixedBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Serves the readiness checks of the platform.
pub(crate) async fn serve_readiness(site: Rc<Site>, listener: TcpListener) {
    let respond = move |request: Request<Incoming>| {
        let is_ready = site.is_ready() && request.uri().path() == READINESS_PATH;
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        std::future::ready(Ok(fixed_response(status, "")))
    };
    serve_fixed_responses(listener, respond).await;
}

/// Serves the metrics in the text format of Prometheus.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: PrometheusHandle) {
    let respond = move |_: Request<Incoming>| {
        std::future::ready(Ok(fixed_response(StatusCode::OK, metrics.render())))
    };
    serve_fixed_responses(listener, respond).await;
}
