//! A loopback proxy that delays or holds the bytes it forwards, or resets its connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

use crate::host::unused_loopback_address;

/// Interval at which a connection checks the mode of the proxy.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a proxy treats its connections and their bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProxyMode {
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

/// A proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: Arc<Mutex<ProxyMode>>,
}

impl Proxy {
    pub(crate) fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let mode = Arc::new(Mutex::new(ProxyMode::Forward));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // The server behind the proxy has ended, and so does the proxy.
                let Ok(upstream) = TcpStream::connect(target) else { return };
                proxy_connection(client, upstream, &shared);
            }
        });
        Proxy { address, mode }
    }

    pub(crate) fn set(&self, mode: ProxyMode) {
        *self.mode.lock().expect("no panic") = mode;
    }
}

/// Forwards both directions of a connection on threads of their own.
pub(crate) fn proxy_connection(
    client: TcpStream,
    upstream: TcpStream,
    mode: &Arc<Mutex<ProxyMode>>,
) {
    let (mode, mode_copy) = (mode.clone(), mode.clone());
    let is_reset = Arc::new(AtomicBool::new(false));
    let is_reset_copy = is_reset.clone();
    let pair = client.try_clone().and_then(|client| Ok((client, upstream.try_clone()?)));
    let Ok((client_copy, upstream_copy)) = pair else { return };
    std::thread::spawn(move || forward(client, upstream, &mode, &is_reset, true));
    std::thread::spawn(move || {
        forward(upstream_copy, client_copy, &mode_copy, &is_reset_copy, false)
    });
}

/// Forwards one direction of a connection until it ends or is reset, by its peer or the proxy. A reset is passed on.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &Mutex<ProxyMode>,
    is_reset: &AtomicBool,
    is_request: bool,
) {
    let current = || *mode.lock().expect("no panic");
    let mut buffer = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(HOLD_POLL_INTERVAL));
    loop {
        if current() == ProxyMode::Reset || is_reset.load(Ordering::Relaxed) {
            // With a linger time of 0, closing the socket resets the connection.
            let _ = SockRef::from(&from).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
            return;
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => {
                is_reset.store(true, Ordering::Relaxed);
                continue;
            }
        };
        while current().holds(is_request) {
            std::thread::sleep(HOLD_POLL_INTERVAL);
        }
        if let ProxyMode::Delay(delay) = current() {
            std::thread::sleep(delay);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
