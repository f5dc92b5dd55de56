//! A loopback proxy that delays, silences or resets what passes through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;

/// Step in which a held connection looks whether it may go on.
const HOLD_STEP: Duration = Duration::from_millis(5);

/// What happens to the bytes that pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Passage {
    Open,
    /// Each piece is held for this long.
    Delayed(Duration),
    /// Nothing passes either way; connections are accepted.
    Silent,
    /// Nothing reaches the far side.
    NoRequests,
    /// Nothing comes back.
    NoAnswers,
    /// Connections are reset, new ones as well.
    Reset,
}

impl Passage {
    fn holds(self, is_request: bool) -> bool {
        match self {
            Passage::Silent => true,
            Passage::NoRequests => is_request,
            Passage::NoAnswers => !is_request,
            Passage::Open | Passage::Delayed(_) | Passage::Reset => false,
        }
    }
}

/// A proxy before one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    passage: Arc<Mutex<Passage>>,
}

impl Proxy {
    pub(crate) fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let passage = Arc::new(Mutex::new(Passage::Open));
        let shared = passage.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let (shared, other) = (shared.clone(), shared.clone());
                let pair = near.try_clone().and_then(|near| Ok((near, far.try_clone()?)));
                let Ok((near_copy, far_copy)) = pair else { continue };
                std::thread::spawn(move || pass(near, far, &shared, true));
                std::thread::spawn(move || pass(far_copy, near_copy, &other, false));
            }
        });
        Proxy { address, passage }
    }

    pub(crate) fn set(&self, passage: Passage) {
        *self.passage.lock().expect("no panic") = passage;
    }
}

/// Copies one direction of a connection until it ends or is reset.
fn pass(mut from: TcpStream, mut to: TcpStream, passage: &Mutex<Passage>, is_request: bool) {
    let current = || *passage.lock().expect("no panic");
    let mut piece = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(HOLD_STEP));
    loop {
        if current() == Passage::Reset {
            // Without lingering, the end of a connection is a reset.
            let _ = SockRef::from(&from).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
            return;
        }
        let count = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        while current().holds(is_request) {
            std::thread::sleep(HOLD_STEP);
        }
        if let Passage::Delayed(by) = current() {
            std::thread::sleep(by);
        }
        if to.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
