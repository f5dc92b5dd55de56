//! Callers that keep their connections for as long as hosts let them.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::host::{KEY, caller_headers};
use crate::http::{Message, read_body, read_head, write_request};

/// How long a caller waits for bytes before it leaves; longer than any route's time.
const PATIENCE: Duration = Duration::from_secs(12);

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Asked {
    Read,
    Order,
    Stream,
    /// A read with a key that no configuration has.
    UnknownKey,
    /// A read of a path that only one version of the configuration has.
    Version(String),
}

impl Asked {
    fn path(&self) -> &str {
        match self {
            Asked::Read | Asked::UnknownKey => "/read/1",
            Asked::Order => "/order/1",
            Asked::Stream => "/chat/1",
            Asked::Version(path) => path,
        }
    }

    fn method(&self) -> &'static str {
        if matches!(self, Asked::Order | Asked::Stream) { "POST" } else { "GET" }
    }
}

/// A request with what its caller saw of the answer.
#[derive(Clone)]
pub(super) struct Record {
    pub(super) id: String,
    pub(super) asked: Asked,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    /// Whether the whole request was written.
    pub(super) is_sent: bool,
    /// Head and body as far as they came; none if no head did.
    pub(super) answer: Option<Message>,
    pub(super) is_complete: bool,
}

impl Record {
    /// Body of the answer as far as it came.
    pub(super) fn text(&self) -> String {
        self.answer.as_ref().map(Message::text).unwrap_or_default()
    }

    pub(super) fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

impl std::fmt::Display for Record {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} {:?} status {} complete {} after {:?}: {:?}",
            self.id,
            self.asked,
            self.status(),
            self.is_complete,
            self.ended - self.sent,
            self.text(),
        )
    }
}

/// One caller.
#[derive(Default)]
pub(super) struct Caller {
    connection: Option<(SocketAddr, BufReader<TcpStream>)>,
}

fn open(address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> (Option<Message>, bool) {
    let Some(mut answer) = read_head(reader) else { return (None, false) };
    let is_complete = read_body(reader, &mut answer).is_ok();
    (Some(answer), is_complete)
}

impl Caller {
    /// Sends a request to a host, over the open connection if it leads there.
    pub(super) fn ask(&mut self, host: SocketAddr, id: String, asked: Asked) -> Record {
        let sent = Instant::now();
        let kept = self.connection.take().filter(|(address, _)| *address == host);
        let reader = kept.map_or_else(|| open(host), |(_, reader)| Ok(reader));
        let unanswered = |is_sent| Record {
            id: id.clone(),
            asked: asked.clone(),
            sent,
            ended: Instant::now(),
            is_sent,
            answer: None,
            is_complete: false,
        };
        let Ok(mut reader) = reader else { return unanswered(false) };
        let key = if asked == Asked::UnknownKey { "forged" } else { KEY };
        let authorization = format!("Bearer {key}");
        let more = [("godwitdeal-tenant", "forged"), ("authorization", authorization.as_str())];
        let headers = caller_headers(&id, &more);
        let body: &[u8] = if asked.method() == "POST" { b"hello" } else { b"" };
        if write_request(reader.get_mut(), asked.method(), asked.path(), &headers, body).is_err() {
            return unanswered(false);
        }
        let (answer, is_complete) = read_answer(&mut reader);
        let closes =
            answer.as_ref().and_then(|answer| answer.header("connection")) == Some("close");
        if is_complete && !closes {
            self.connection = Some((host, reader));
        }
        Record { answer, is_complete, ..unanswered(true) }
    }
}
