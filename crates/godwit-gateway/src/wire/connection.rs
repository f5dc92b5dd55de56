//! An HTTP/1.1 client connection to a backend server or to the store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use godwit_framing::{Framing, chunk_size, is_field};
use serde::Serialize;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::READ_BUFFER_BYTES;
use super::channel::Channel;
use super::error::WireError;
use super::frames::FrameKind;
use super::reply::{ReplyHead, take_head};
use super::transport::Transport;
use crate::content::Content;
use crate::memory::{HeldBuffer, HeldContent, Memory};

/// Length above which a line of the chunked coding without an end is rejected, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Size above which the trailers of a response are rejected, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Bytes with which responses begin.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// Largest part of a request body that is encoded at a time, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;

/// Idle time after which the kernel sends keepalive probes, in seconds; shorter than the platform's contact window.
const KEEPALIVE_IDLE_S: u64 = 1;

/// Time between two keepalive probes, in seconds.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Unanswered keepalive probes after which the connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// A request to send.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) method: &'a str,
    /// Path and query.
    pub(crate) target: &'a str,
    /// Headers other than `content-length`.
    pub(crate) headers: Vec<(&'a str, &'a [u8])>,
    pub(crate) body: Content,
}

impl OutgoingRequest<'_> {
    fn head(&self) -> Vec<u8> {
        let mut head = Vec::with_capacity(512);
        head.extend_from_slice(self.method.as_bytes());
        head.push(b' ');
        head.extend_from_slice(self.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in &self.headers {
            head.extend_from_slice(name.as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value);
            head.extend_from_slice(b"\r\n");
        }
        let has_no_body = self.body.is_empty() && matches!(self.method, "GET" | "HEAD" | "DELETE");
        if !has_no_body {
            let length = format!("content-length: {}\r\n", self.body.len());
            head.extend_from_slice(length.as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

/// Read state of a response body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// How the reading of a body has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    Whole,
    TooLong,
}

/// Open connection.
pub(crate) struct Connection {
    pub(super) transport: Transport,
    buffer: BytesMut,
    body: BodyState,
    /// How the end of the last response body is determined.
    framing: Framing,
    pub(super) is_reusable: bool,
    /// Whether a request was sent over the connection.
    pub(super) has_carried: bool,
    /// Number of interim responses to the last request.
    interim_responses: u32,
    /// Size of the trailers of the last response, in bytes.
    trailer_bytes: usize,
}

/// Makes a stream send at once, and end soon after its peer can no longer be reached.
pub(crate) fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_IDLE_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

impl Connection {
    /// Opens a connection. Has no timeout of its own.
    pub(crate) async fn open(address: SocketAddr) -> Result<Connection, WireError> {
        let stream = TcpStream::connect(address).await.map_err(WireError::Connect)?;
        configure_stream(&stream).map_err(WireError::Connect)?;
        Ok(Connection::new(Transport::Direct(stream)))
    }

    /// Uses a channel over which another host has opened a connection, or has taken one that `has_carried` requests.
    pub(crate) fn over(channel: Channel, has_carried: bool) -> Connection {
        Connection { has_carried, ..Connection::new(Transport::Detour(channel)) }
    }

    fn new(transport: Transport) -> Connection {
        Connection {
            transport,
            buffer: BytesMut::new(),
            body: BodyState::Done,
            framing: Framing::Length(0),
            is_reusable: true,
            has_carried: false,
            interim_responses: 0,
            trailer_bytes: 0,
        }
    }

    /// Whether a request was sent over the connection, so that what arrives may answer that one.
    pub(crate) fn has_carried(&self) -> bool {
        self.has_carried
    }

    /// Closes the connection after the current response instead of keeping it for another request.
    pub(crate) fn close_after_response(&mut self) {
        self.is_reusable = false;
    }

    /// Whether the connection is one of this host and not of another one.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.transport, Transport::Direct(_))
    }

    /// Returns the channel of a connection of another host; none if the last response is not complete.
    pub(crate) fn into_channel(self) -> Option<Channel> {
        let is_complete = self.body == BodyState::Done && self.buffer.is_empty();
        match self.transport {
            Transport::Detour(channel) if is_complete => Some(channel),
            _ => None,
        }
    }

    /// Tells the other host, if the connection is one of its own, what the server says of itself. If that fails, the
    /// connection is not used for another request.
    pub(crate) fn pass_on<T: Serialize>(&mut self, notice: &T) -> io::Result<()> {
        let Transport::Detour(channel) = &self.transport else { return Ok(()) };
        let written = channel.try_write(FrameKind::Notice, notice);
        self.is_reusable &= written.is_ok();
        written
    }

    /// Sends a request and reads the head of the next response. If the response begins before the request is completely
    /// sent, the rest of the request is dropped and the connection is not reused.
    ///
    /// # Errors
    /// [`WireError::NotIdle`] if something came ahead of the request, which then was not sent. After any other error a
    /// part of it may have been.
    pub(crate) async fn exchange(
        &mut self,
        request: &OutgoingRequest<'_>,
    ) -> Result<ReplyHead, WireError> {
        if !self.is_idle() {
            return Err(WireError::NotIdle);
        }
        self.has_carried = true;
        self.interim_responses = 0;
        let mut unsent = request.body.clone();
        let mut bytes = request.head();
        bytes.extend_from_slice(&unsent.take_front(MAX_PART_BYTES).unwrap_or_default());
        let mut bytes = self.transport.encode(bytes);
        let is_head_request = request.method == "HEAD";
        let mut written = 0;
        let head = loop {
            if written == bytes.len() {
                let Some(part) = unsent.take_front(MAX_PART_BYTES) else { break None };
                bytes = self.transport.encode(part.to_vec());
                written = 0;
            }
            let (mut reader, mut writer) = self.transport.split();
            tokio::select! {
                biased;
                result = writer.write(&bytes[written..]) => match result {
                    Ok(0) => return Err(WireError::Ended),
                    Ok(count) => written += count,
                    Err(error) => return Err(WireError::Broken(error)),
                },
                result = reader.read(&mut self.buffer) => {
                    if result.map_err(WireError::Broken)? == 0 {
                        return Err(WireError::Ended);
                    }
                    if let Some(head) = take_head(&mut self.buffer, is_head_request, &mut self.interim_responses)? {
                        break Some(head);
                    }
                }
            }
        };
        match head {
            Some(head) => {
                self.is_reusable = false;
                self.begin_body(&head);
                Ok(head)
            }
            None => self.next_head(is_head_request).await,
        }
    }

    /// Reads the head of the next response, after a response that belonged to another request.
    pub(crate) async fn next_head(
        &mut self,
        is_head_request: bool,
    ) -> Result<ReplyHead, WireError> {
        loop {
            if let Some(head) =
                take_head(&mut self.buffer, is_head_request, &mut self.interim_responses)?
            {
                self.begin_body(&head);
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    fn begin_body(&mut self, head: &ReplyHead) {
        self.framing = head.framing;
        self.body = match head.framing {
            Framing::Length(0) => BodyState::Done,
            Framing::Length(bytes) => BodyState::Length(bytes),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        self.trailer_bytes = 0;
        self.is_reusable &= !head.closes;
    }

    async fn fill(&mut self) -> Result<(), WireError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        match self.transport.split().0.read(&mut self.buffer).await {
            Ok(0) => Err(WireError::Ended),
            Ok(_) => Ok(()),
            Err(error) => Err(WireError::Broken(error)),
        }
    }

    /// Whether the last response body has no length, so that its end is the end of the connection.
    pub(crate) fn ends_with_body(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Names the framing of the last response body for the log.
    pub(crate) fn framing_text(&self) -> &'static str {
        match self.framing {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until_close",
        }
    }

    /// Reads the next piece of the body. Returns none after the end of the body.
    pub(crate) async fn next_piece(&mut self) -> Result<Option<Bytes>, WireError> {
        loop {
            match self.body {
                BodyState::Done => return Ok(None),
                BodyState::Length(left) => {
                    if let Some(piece) = self.take_bytes(left) {
                        let left = left - piece.len() as u64;
                        self.body =
                            if left == 0 { BodyState::Done } else { BodyState::Length(left) };
                        return Ok(Some(piece));
                    }
                }
                BodyState::ChunkData(left) => {
                    if let Some(piece) = self.take_bytes(left) {
                        let left = left - piece.len() as u64;
                        self.body = if left == 0 {
                            BodyState::ChunkEnd
                        } else {
                            BodyState::ChunkData(left)
                        };
                        return Ok(Some(piece));
                    }
                }
                BodyState::UntilClose => {
                    if let Some(piece) = self.take_bytes(u64::MAX) {
                        return Ok(Some(piece));
                    }
                    match self.fill().await {
                        Err(WireError::Ended) => self.body = BodyState::Done,
                        result => result?,
                    }
                    continue;
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer => {
                    if let Some(line) = self.take_line()? {
                        if self.body == BodyState::Trailer {
                            self.trailer_bytes += line.len();
                            if self.trailer_bytes > MAX_TRAILER_BYTES {
                                return Err(WireError::NotHttp);
                            }
                        }
                        self.body = next_chunk_state(self.body, &line)?;
                        continue;
                    }
                }
            }
            self.fill().await?;
        }
    }

    /// Reads the rest of the body, as far as there is memory for it. Fails if it exceeds `max_bytes`.
    pub(crate) async fn read_body(
        &mut self,
        max_bytes: usize,
        memory: &Memory,
    ) -> Result<HeldContent, WireError> {
        let mut body = HeldBuffer::new(memory.reserve());
        let push = |piece: &[u8]| if body.push(piece) { Ok(()) } else { Err(WireError::NoMemory) };
        match self.read_pieces(max_bytes, push).await? {
            BodyEnd::Whole => Ok(body.freeze()),
            BodyEnd::TooLong => Err(WireError::NotHttp),
        }
    }

    /// Reads the rest of the body without keeping it. Fails if it exceeds `max_bytes`.
    pub(crate) async fn skip_body(&mut self, max_bytes: usize) -> Result<(), WireError> {
        match self.read_pieces(max_bytes, |_| Ok(())).await? {
            BodyEnd::Whole => Ok(()),
            BodyEnd::TooLong => Err(WireError::NotHttp),
        }
    }

    /// Reads the rest of the body of a response of the store, of which there are few at a time. Returns none if it exceeds
    /// `max_bytes`; the connection cannot be used any more then.
    pub(crate) async fn read_body_within(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, WireError> {
        let mut body = BytesMut::new();
        let push = |piece: &[u8]| {
            body.extend_from_slice(piece);
            Ok(())
        };
        match self.read_pieces(max_bytes, push).await? {
            BodyEnd::Whole => Ok(Some(body.freeze())),
            BodyEnd::TooLong => Ok(None),
        }
    }

    /// Reads the rest of the body piece by piece, up to `max_bytes`.
    async fn read_pieces(
        &mut self,
        max_bytes: usize,
        mut take: impl FnMut(&[u8]) -> Result<(), WireError>,
    ) -> Result<BodyEnd, WireError> {
        let mut read_bytes = 0;
        while let Some(piece) = self.next_piece().await? {
            read_bytes += piece.len();
            if read_bytes > max_bytes {
                return Ok(BodyEnd::TooLong);
            }
            take(&piece)?;
        }
        Ok(BodyEnd::Whole)
    }

    /// Waits after the end of a response until the connection closes. Bytes that still arrive are dropped.
    pub(crate) async fn closed(&mut self) -> WireError {
        loop {
            if let Err(error) = self.fill().await {
                return error;
            }
            self.is_reusable = false;
            self.buffer.clear();
        }
    }

    fn take_bytes(&mut self, max_bytes: u64) -> Option<Bytes> {
        if self.buffer.is_empty() {
            return None;
        }
        let count = max_bytes.min(self.buffer.len() as u64) as usize;
        Some(self.buffer.split_to(count).freeze())
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            let is_too_long = self.buffer.len() > MAX_CHUNK_LINE_BYTES;
            return if is_too_long { Err(WireError::NotHttp) } else { Ok(None) };
        };
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        let line =
            line.strip_suffix(b"\r").map_or(line.clone(), |stripped| line.slice_ref(stripped));
        Ok(Some(line))
    }

    /// Whether bytes that begin no response have arrived behind the last one.
    pub(crate) fn has_excess_bytes(&self) -> bool {
        let compared = self.buffer.len().min(VERSION_PREFIX.len());
        self.body == BodyState::Done && self.buffer[..compared] != VERSION_PREFIX[..compared]
    }

    /// Whether another request can be sent: the last response was complete, the connection is open and no further bytes
    /// have arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_reusable
            && self.body == BodyState::Done
            && self.buffer.is_empty()
            && self.transport.is_quiet()
    }
}

fn next_chunk_state(state: BodyState, line: &[u8]) -> Result<BodyState, WireError> {
    match state {
        BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
        BodyState::ChunkEnd => Err(WireError::NotHttp),
        BodyState::Trailer if line.is_empty() => Ok(BodyState::Done),
        BodyState::Trailer if is_field(line) => Ok(BodyState::Trailer),
        BodyState::Trailer => Err(WireError::NotHttp),
        _ => {
            let bytes = chunk_size(line).ok_or(WireError::NotHttp)?;
            Ok(if bytes == 0 { BodyState::Trailer } else { BodyState::ChunkData(bytes) })
        }
    }
}
