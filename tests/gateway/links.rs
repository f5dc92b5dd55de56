//! Links between hosts and backend servers, one for each pair, which a test can cut.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::host::unused_loopback_address;
use crate::soak::{ProxyMode, ProxyState, proxy_connection};

const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Connections that the kernel queues for a link that accepts them.
const BACKLOG: i32 = 128;

/// Connections that fill the queue of a link that accepts none, so that further ones hang.
const FILLING_CONNECTIONS: usize = 2;

/// Time after which a connection attempt of [`FILLING_CONNECTIONS`] hangs, as the queue is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// Time within which an address that a link has used can be used again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkState {
    Sound,
    /// Bytes are lost, and new connections hang.
    Hanging,
    /// Open connections are reset, and new ones are refused.
    Refusing,
    /// Open connections work, and new ones hang.
    HangingNew,
    /// Open connections work, and new ones are refused.
    RefusingNew,
}

impl LinkState {
    /// Returns what becomes of open connections.
    fn connection_mode(self) -> ProxyMode {
        match self {
            LinkState::Sound | LinkState::HangingNew | LinkState::RefusingNew => ProxyMode::Forward,
            LinkState::Hanging => ProxyMode::HoldAll,
            LinkState::Refusing => ProxyMode::Reset,
        }
    }
}

/// A link from one host to one server, at an address of its own.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    server: Arc<Mutex<SocketAddr>>,
    states: Arc<Mutex<LinkStates>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.states.lock().expect("no panic").is_dropped = true;
    }
}

/// State of a link that a test wants, and the one that is in effect.
struct LinkStates {
    wanted: LinkState,
    applied: LinkState,
    /// Whether the link is no longer needed.
    is_dropped: bool,
}

impl Link {
    pub(crate) fn start(server: SocketAddr) -> Link {
        let address = SocketAddr::from((unused_loopback_address(), server.port()));
        let (wanted, applied) = (LinkState::Sound, LinkState::Sound);
        let states = LinkStates { wanted, applied, is_dropped: false };
        let states = Arc::new(Mutex::new(states));
        let shared = states.clone();
        let sound = listen(address, BACKLOG);
        let server = Arc::new(Mutex::new(server));
        let shared_server = server.clone();
        std::thread::spawn(move || run_link(address, &shared_server, sound, &shared));
        Link { address, server, states }
    }

    /// Lets new connections lead to another server.
    pub(crate) fn lead_to(&self, server: SocketAddr) {
        *self.server.lock().expect("no panic") = server;
    }

    /// Changes the state, which takes effect soon.
    pub(crate) fn set(&self, state: LinkState) {
        self.states.lock().expect("no panic").wanted = state;
    }

    /// Whether the last change has taken effect.
    pub(crate) fn is_settled(&self) -> bool {
        let states = self.states.lock().expect("no panic");
        states.wanted == states.applied
    }
}

fn listen(address: SocketAddr, backlog: i32) -> TcpListener {
    let open = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SockAddr::from(address))?;
        socket.listen(backlog)?;
        std::io::Result::Ok(socket)
    };
    // A process that is being started may still hold the closed listener of the same address.
    let deadline = Instant::now() + REBIND_TIMEOUT;
    loop {
        match open() {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(POLL_INTERVAL);
            }
            opened => return opened.expect("a loopback address of its own is free").into(),
        }
    }
}

/// Accepts the connections of a link and applies its state until the link is dropped.
fn run_link(
    address: SocketAddr,
    server: &Mutex<SocketAddr>,
    sound: TcpListener,
    states: &Mutex<LinkStates>,
) {
    let state: Arc<ProxyState> = Arc::default();
    let mut applied = LinkState::Sound;
    let mut listener = Some(sound);
    let mut filling = Vec::new();
    loop {
        let wanted = {
            let states = states.lock().expect("no panic");
            if states.is_dropped {
                return;
            }
            states.wanted
        };
        if wanted != applied {
            applied = wanted;
            state.set(wanted.connection_mode());
            drop(listener.take());
            filling.clear();
            listener = match wanted {
                LinkState::Sound => Some(listen(address, BACKLOG)),
                LinkState::Refusing | LinkState::RefusingNew => None,
                LinkState::Hanging | LinkState::HangingNew => {
                    let full = listen(address, 0);
                    let fill = || TcpStream::connect_timeout(&address, FILL_TIMEOUT);
                    filling.extend((0..FILLING_CONNECTIONS).filter_map(|_| fill().ok()));
                    Some(full)
                }
            };
            states.lock().expect("no panic").applied = applied;
        }
        let accepted = listener.as_ref().filter(|_| applied == LinkState::Sound);
        match accepted.map(TcpListener::accept) {
            Some(Ok((client, _))) => {
                let is_blocking = client.set_nonblocking(false).is_ok();
                assert!(is_blocking, "an accepted connection can block");
                // The server may have ended.
                let server = *server.lock().expect("no panic");
                if let Ok(upstream) = TcpStream::connect(server) {
                    proxy_connection(client, upstream, &state);
                }
            }
            Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => {
                panic!("cannot accept: {error}")
            }
            _ => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
