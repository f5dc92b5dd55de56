//! A loopback proxy that delays, holds or loses the bytes it forwards, or resets its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::host::unused_loopback_address;

/// Interval at which a connection checks the mode of the proxy.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a proxy treats its connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ProxyMode {
    #[default]
    Forward,
    /// Each piece that is read is forwarded after this delay.
    Delay(Duration),
    /// Bytes are held in both directions; connections are still accepted.
    HoldAll,
    /// Bytes to the target are held.
    HoldRequests,
    /// Bytes from the target are held.
    HoldResponses,
    /// Open and new connections are reset.
    Reset,
}

impl ProxyMode {
    fn holds(self, is_request: bool) -> bool {
        match self {
            ProxyMode::HoldAll => true,
            ProxyMode::HoldRequests => is_request,
            ProxyMode::HoldResponses => !is_request,
            ProxyMode::Forward | ProxyMode::Delay(_) | ProxyMode::Reset => false,
        }
    }
}

/// What is set for all connections of a proxy.
#[derive(Default)]
pub(crate) struct ProxyState {
    mode: Mutex<ProxyMode>,
    /// Connections opened before this time forward nothing more, but stay open.
    lost_before: Mutex<Option<Instant>>,
}

impl ProxyState {
    pub(crate) fn set(&self, mode: ProxyMode) {
        *self.mode.lock().expect("no panic") = mode;
    }

    fn mode(&self) -> ProxyMode {
        *self.mode.lock().expect("no panic")
    }

    fn loses(&self, opened_at: Instant) -> bool {
        self.lost_before.lock().expect("no panic").is_some_and(|before| opened_at < before)
    }
}

/// A proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    pub(crate) fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let state: Arc<ProxyState> = Arc::default();
        let shared = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // The server behind the proxy has ended, and so does the proxy.
                let Ok(upstream) = TcpStream::connect(target) else { return };
                proxy_connection(client, upstream, &shared);
            }
        });
        Proxy { address, state }
    }

    pub(crate) fn set(&self, mode: ProxyMode) {
        self.state.set(mode);
    }

    /// Loses all further bytes of the connections that are open, and of those that are opened within `silence`. The
    /// connections stay open, and later ones work.
    pub(crate) fn lose_connections(&self, silence: Duration) {
        *self.state.lost_before.lock().expect("no panic") = Some(Instant::now() + silence);
    }
}

/// Forwards both directions of a connection on threads of their own.
pub(crate) fn proxy_connection(client: TcpStream, upstream: TcpStream, state: &Arc<ProxyState>) {
    let (state, state_copy) = (state.clone(), state.clone());
    let is_reset = Arc::new(AtomicBool::new(false));
    let is_reset_copy = is_reset.clone();
    let opened_at = Instant::now();
    let pair = client.try_clone().and_then(|client| Ok((client, upstream.try_clone()?)));
    let Ok((client_copy, upstream_copy)) = pair else { return };
    std::thread::spawn(move || forward(client, upstream, &state, opened_at, &is_reset, true));
    std::thread::spawn(move || {
        forward(upstream_copy, client_copy, &state_copy, opened_at, &is_reset_copy, false)
    });
}

/// Forwards one direction of a connection until it ends or is reset, by its peer or the proxy. A reset is passed on. On
/// a lost connection neither an end nor a reset by the target is.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &ProxyState,
    opened_at: Instant,
    is_reset: &AtomicBool,
    is_request: bool,
) {
    let mut buffer = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(HOLD_POLL_INTERVAL));
    loop {
        if state.mode() == ProxyMode::Reset || is_reset.load(Ordering::Relaxed) {
            // With a linger time of 0, closing the socket resets the connection.
            let _ = SockRef::from(&from).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
            return;
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) if !is_request && state.loses(opened_at) => return,
            Err(_) => {
                is_reset.store(true, Ordering::Relaxed);
                continue;
            }
        };
        while state.mode().holds(is_request) {
            std::thread::sleep(HOLD_POLL_INTERVAL);
        }
        if let ProxyMode::Delay(delay) = state.mode() {
            std::thread::sleep(delay);
        }
        if state.loses(opened_at) {
            continue;
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    match (state.loses(opened_at), is_request) {
        (false, _) => drop(to.shutdown(Shutdown::Write)),
        // Also ends the other direction, which may have nothing to read.
        (true, true) => drop(to.shutdown(Shutdown::Both)),
        (true, false) => {}
    }
}
