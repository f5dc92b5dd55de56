//! An authenticated connection: handshake, and frames that cannot be replayed or reordered.
//!
//! Each side gives a random nonce; both together with the shared key make the key of the session. Every frame's
//! code covers its direction and its number in the session, so that a recorded frame is worth nothing elsewhere.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PeerKey;
use crate::frame::{Limited, MAX_FRAME_BYTES, invalid, read_frame, write_frame};
use crate::key::MAC_BYTES;

const PROTOCOL_VERSION: u8 = 1;
const NONCE_BYTES: usize = 16;
const MAX_HELLO_BYTES: usize = 64;
const SESSION_PURPOSE: &[u8] = b"godwit session";
const FROM_CLIENT: u8 = 0;
const FROM_SERVER: u8 = 1;

#[derive(Deserialize, Serialize)]
struct Hello {
    version: u8,
    nonce: [u8; NONCE_BYTES],
}

/// One end of an authenticated connection.
pub(crate) struct Session {
    stream: TcpStream,
    key: PeerKey,
    own_direction: u8,
    sent: u64,
    received: u64,
}

impl Session {
    /// Opens a session on a connection that this side made.
    pub(crate) fn connect(
        stream: TcpStream,
        key: &PeerKey,
        limit: Duration,
    ) -> io::Result<Session> {
        let mut session = Session::new(stream, key, FROM_CLIENT, limit)?;
        session.send(b"", limit)?;
        session.receive(MAX_HELLO_BYTES, limit)?;
        Ok(session)
    }

    /// Opens a session on a connection that the other side made.
    pub(crate) fn accept(stream: TcpStream, key: &PeerKey, limit: Duration) -> io::Result<Session> {
        let mut session = Session::new(stream, key, FROM_SERVER, limit)?;
        session.receive(MAX_HELLO_BYTES, limit)?;
        session.send(b"", limit)?;
        Ok(session)
    }

    fn new(
        stream: TcpStream,
        key: &PeerKey,
        own_direction: u8,
        limit: Duration,
    ) -> io::Result<Session> {
        stream.set_nodelay(true)?;
        let own = nonce()?;
        let hello = Hello { version: PROTOCOL_VERSION, nonce: own };
        let hello = postcard::to_stdvec(&hello).map_err(|_| invalid("hello"))?;
        let mut limited = Limited::new(&stream, limit);
        write_frame(&mut limited, &hello)?;
        let other = read_frame(&mut limited, MAX_HELLO_BYTES)?;
        let other: Hello = postcard::from_bytes(&other).map_err(|_| invalid("hello"))?;
        if other.version != PROTOCOL_VERSION {
            return Err(invalid("protocol version"));
        }
        let (client, server) =
            if own_direction == FROM_CLIENT { (own, other.nonce) } else { (other.nonce, own) };
        let key = key.derive(&[SESSION_PURPOSE, &client, &server]);
        Ok(Session { stream, key, own_direction, sent: 0, received: 0 })
    }

    /// Sends one message. When it fails, the other side cannot have got the whole message.
    pub(crate) fn send(&mut self, message: &[u8], limit: Duration) -> io::Result<()> {
        let number = self.sent.to_le_bytes();
        let mac = self.key.mac(&[&[self.own_direction], &number, message]);
        let mut frame = Vec::with_capacity(message.len() + MAC_BYTES);
        frame.extend_from_slice(message);
        frame.extend_from_slice(&mac);
        self.sent += 1;
        write_frame(&mut Limited::new(&self.stream, limit), &frame)
    }

    /// Receives one message.
    pub(crate) fn receive(&mut self, max_bytes: usize, limit: Duration) -> io::Result<Vec<u8>> {
        let mut limited = Limited::new(&self.stream, limit);
        let mut frame = read_frame(&mut limited, max_bytes + MAC_BYTES)?;
        let length = frame.len().checked_sub(MAC_BYTES).ok_or_else(|| invalid("short frame"))?;
        let direction = [FROM_CLIENT + FROM_SERVER - self.own_direction];
        let number = self.received.to_le_bytes();
        if !self.key.verify(&[&direction, &number, &frame[..length]], &frame[length..]) {
            return Err(invalid("authentication code"));
        }
        self.received += 1;
        frame.truncate(length);
        Ok(frame)
    }

    /// Receives one call or answer.
    pub(crate) fn receive_message(&mut self, limit: Duration) -> io::Result<Vec<u8>> {
        self.receive(MAX_FRAME_BYTES, limit)
    }

    /// Whether the other side closed the connection or sent something that was not asked for.
    pub(crate) fn is_spent(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let quiet = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !quiet
    }
}

fn nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(|_| io::Error::other("no random numbers"))?;
    Ok(nonce)
}
