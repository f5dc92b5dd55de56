//! An authenticated connection: handshake, and frames that cannot be replayed or reordered.
//!
//! Each side sends a random nonce; the session key is derived from the shared key and both nonces. The MAC of a frame
//! covers its direction and its sequence number, so that a recorded frame is rejected in any other session, position
//! or direction.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::PeerKey;
use crate::frame::{DeadlineStream, MAX_FRAME_BYTES, invalid_data, read_frame, write_frame};
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
    send_direction: u8,
    sent: u64,
    received: u64,
}

impl Session {
    /// Performs the handshake as the client, on a connection that this side opened.
    pub(crate) fn connect(
        stream: TcpStream,
        key: &PeerKey,
        timeout: Duration,
    ) -> io::Result<Session> {
        let mut session = Session::new(stream, key, FROM_CLIENT, timeout)?;
        session.send(b"", timeout)?;
        session.receive(MAX_HELLO_BYTES, timeout)?;
        Ok(session)
    }

    /// Performs the handshake as the server, on an accepted connection.
    pub(crate) fn accept(
        stream: TcpStream,
        key: &PeerKey,
        timeout: Duration,
    ) -> io::Result<Session> {
        let mut session = Session::new(stream, key, FROM_SERVER, timeout)?;
        session.receive(MAX_HELLO_BYTES, timeout)?;
        session.send(b"", timeout)?;
        Ok(session)
    }

    fn new(
        stream: TcpStream,
        key: &PeerKey,
        send_direction: u8,
        timeout: Duration,
    ) -> io::Result<Session> {
        stream.set_nodelay(true)?;
        let own_nonce = random_nonce()?;
        let hello = Hello { version: PROTOCOL_VERSION, nonce: own_nonce };
        let hello = postcard::to_stdvec(&hello)
            .map_err(|_| invalid_data("hello message cannot be encoded"))?;
        let mut deadline_stream = DeadlineStream::new(&stream, timeout);
        write_frame(&mut deadline_stream, &hello)?;
        let peer = read_frame(&mut deadline_stream, MAX_HELLO_BYTES)?;
        let peer: Hello =
            postcard::from_bytes(&peer).map_err(|_| invalid_data("malformed hello message"))?;
        if peer.version != PROTOCOL_VERSION {
            return Err(invalid_data("unsupported protocol version"));
        }
        let (client, server) = if send_direction == FROM_CLIENT {
            (own_nonce, peer.nonce)
        } else {
            (peer.nonce, own_nonce)
        };
        let key = key.derive(&[SESSION_PURPOSE, &client, &server]);
        Ok(Session { stream, key, send_direction, sent: 0, received: 0 })
    }

    /// Sends one message. After an error, the peer cannot have received the whole message.
    pub(crate) fn send(&mut self, message: &[u8], timeout: Duration) -> io::Result<()> {
        let sequence = self.sent.to_le_bytes();
        let mac = self.key.mac(&[&[self.send_direction], &sequence, message]);
        let mut frame = Vec::with_capacity(message.len() + MAC_BYTES);
        frame.extend_from_slice(message);
        frame.extend_from_slice(&mac);
        self.sent += 1;
        write_frame(&mut DeadlineStream::new(&self.stream, timeout), &frame)
    }

    /// Receives one message of at most `max_bytes`.
    pub(crate) fn receive(&mut self, max_bytes: usize, timeout: Duration) -> io::Result<Vec<u8>> {
        let mut deadline_stream = DeadlineStream::new(&self.stream, timeout);
        let mut frame = read_frame(&mut deadline_stream, max_bytes + MAC_BYTES)?;
        let length = frame
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or_else(|| invalid_data("frame is shorter than its authentication code"))?;
        let direction = [FROM_CLIENT + FROM_SERVER - self.send_direction];
        let sequence = self.received.to_le_bytes();
        if !self.key.verify(&[&direction, &sequence, &frame[..length]], &frame[length..]) {
            return Err(invalid_data("wrong authentication code"));
        }
        self.received += 1;
        frame.truncate(length);
        Ok(frame)
    }

    /// Receives one request or reply of at most [`MAX_FRAME_BYTES`].
    pub(crate) fn receive_message(&mut self, timeout: Duration) -> io::Result<Vec<u8>> {
        self.receive(MAX_FRAME_BYTES, timeout)
    }

    /// Returns whether an idle session cannot be reused: the peer closed it, or sent data outside of a call.
    pub(crate) fn is_broken(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let is_idle = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).is_err() || !is_idle
    }
}

fn random_nonce() -> io::Result<[u8; NONCE_BYTES]> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce)
        .map_err(|_| io::Error::other("the system provides no random numbers"))?;
    Ok(nonce)
}
