//! The events of one response to a caller, which one run sends or several do, each from where the one before broke.
//!
//! Bytes leave a stream only as whole events, and only between two events can it become complete.

use thiserror::Error;

/// Number of bytes without a new event above which a run is no stream of events.
pub const MAX_BYTES_WITHOUT_EVENT: usize = 256 * 1024;

/// Step between the ids of two events where none was seen yet.
const MIN_ID_STEP: u64 = 1;

/// Names of the fields of an event, which has at least one of them.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Why a run is not a part of its stream, or not up to its end.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StreamBreak {
    /// The body ended inside an event.
    #[error("the body ended within an event")]
    WithinEvent,
    /// A resumed run began with a later event than the one due.
    #[error("the run began at event {id} instead of {due} at the latest")]
    Late {
        /// Id with which the run began.
        id: u64,
        /// Latest id with which it could begin.
        due: u64,
    },
    /// A resumed run sent an event without an id before its first new one, so that its place is not known.
    #[error("the run began with an event without an id")]
    NoId,
    /// The run sent something else than an event.
    #[error("the run sent something else than an event")]
    NotAnEvent,
    /// A resumed run ended without the event that the run before had begun.
    #[error("the run ended without the event that is due")]
    Missing,
    /// More than [`MAX_BYTES_WITHOUT_EVENT`] came without a new event.
    #[error("the run sent too much without a new event")]
    TooLong,
    /// The run broke for another reason.
    #[error("the run broke")]
    Aborted,
}

/// What the caller has, over all runs.
#[derive(Clone, Debug)]
struct Progress {
    last_event_id: Option<u64>,
    largest_step: Option<u64>,
    /// Whether an event without an id followed the last one with an id.
    is_past_last_id: bool,
    /// Id of the first event of the run, new or repeated.
    first_event_id: Option<u64>,
    has_event: bool,
    /// Whether the next new event must be the one due.
    is_resuming: bool,
    /// Whether an earlier run broke inside an event, which must therefore follow.
    is_event_missing: bool,
    /// Number of bytes since the last new event.
    bytes_without_event: usize,
}

/// State between two events: nothing is held back.
#[derive(Debug)]
pub struct BetweenEvents(());

/// State inside of an event, whose bytes so far are held back.
#[derive(Debug)]
pub struct InEvent {
    unfinished: Vec<u8>,
    /// Number of bytes at the start in which no event ends.
    searched: usize,
}

/// State of a stream that the caller has as a whole.
#[derive(Debug)]
pub struct Complete(());

/// State after a run that broke.
#[derive(Debug)]
pub struct Broken {
    cause: StreamBreak,
    unfinished_bytes: usize,
}

/// Stream of events to a caller, in one of the states of its life.
///
/// ```
/// use godwit_core::site::{EventStream, OpenStream, StreamBreak};
/// let pushed = EventStream::begin(None).push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(pushed.events, b"id: 1\ndata: a\n\n");
/// let broken = pushed.next.expect("sound so far").end_of_body().expect_err("in an event");
/// assert_eq!(broken.cause(), StreamBreak::WithinEvent);
/// let resumed = broken.resume().expect("its place is known");
/// let pushed = resumed.push(b"id: 2\ndata: b\n\n");
/// assert_eq!(pushed.events, b"id: 2\ndata: b\n\n");
/// let ended = pushed.next.expect("the event due").end_of_body().expect("between events");
/// assert_eq!(ended.complete().last_event_id(), Some(2));
/// ```
#[derive(Debug)]
pub struct EventStream<S> {
    progress: Progress,
    state: S,
}

/// Stream whose run goes on.
#[derive(Debug)]
pub enum OpenStream {
    /// All bytes so far were whole events.
    BetweenEvents(EventStream<BetweenEvents>),
    /// An event has begun.
    InEvent(EventStream<InEvent>),
}

/// What a piece of a body brings.
#[derive(Debug)]
pub struct Pushed {
    /// Whole events for the caller, also those ahead of a break.
    pub events: Vec<u8>,
    /// Number of these events. Comments between events count as well.
    pub event_count: u64,
    /// The stream after the piece.
    pub next: Result<OpenStream, EventStream<Broken>>,
}

impl<S> EventStream<S> {
    /// Returns the id of the last event that the caller has.
    pub fn last_event_id(&self) -> Option<u64> {
        self.progress.last_event_id
    }

    /// Returns the id of the first event of the last run, new or repeated; none if that event has no id.
    pub fn first_event_id(&self) -> Option<u64> {
        self.progress.first_event_id
    }
}

impl EventStream<Broken> {
    fn new(mut progress: Progress, cause: StreamBreak, unfinished: &[u8]) -> EventStream<Broken> {
        progress.is_event_missing |= matches!(read_block(unfinished), Ok(Block::Event { .. }));
        EventStream { progress, state: Broken { cause, unfinished_bytes: unfinished.len() } }
    }
}

impl EventStream<BetweenEvents> {
    /// Begins a stream. `last_event_id` is the id of the last event that the caller has from an earlier response.
    ///
    /// ```
    /// use godwit_core::site::EventStream;
    /// let pushed = EventStream::begin(Some(4)).push(b"id: 4\n\nid: 5\n\n");
    /// assert_eq!(pushed.events, b"id: 5\n\n");
    /// ```
    pub fn begin(last_event_id: Option<u64>) -> OpenStream {
        let progress = Progress {
            last_event_id,
            largest_step: None,
            is_past_last_id: false,
            first_event_id: None,
            has_event: false,
            is_resuming: false,
            is_event_missing: false,
            bytes_without_event: 0,
        };
        OpenStream::BetweenEvents(EventStream { progress, state: BetweenEvents(()) })
    }

    /// Completes the stream after the end of its body.
    ///
    /// ```
    /// use godwit_core::site::EventStream;
    /// let ended = EventStream::begin(None).end_of_body().expect("between events");
    /// assert_eq!(ended.complete().last_event_id(), None);
    /// ```
    pub fn complete(self) -> EventStream<Complete> {
        EventStream { progress: self.progress, state: Complete(()) }
    }

    /// Breaks the stream although its body ended between two events.
    ///
    /// ```
    /// use godwit_core::site::{EventStream, StreamBreak};
    /// let ended = EventStream::begin(None).end_of_body().expect("between events");
    /// assert_eq!(ended.break_off().cause(), StreamBreak::Aborted);
    /// ```
    pub fn break_off(self) -> EventStream<Broken> {
        EventStream::new(self.progress, StreamBreak::Aborted, &[])
    }
}

impl EventStream<Broken> {
    /// Returns why the run broke.
    pub fn cause(&self) -> StreamBreak {
        self.state.cause
    }

    /// Returns the number of bytes of an event that were held back and are lost.
    pub fn unfinished_bytes(&self) -> usize {
        self.state.unfinished_bytes
    }

    /// Continues the stream with another run, which sends the events after the last one.
    ///
    /// # Errors
    /// Returns the broken stream if the caller has events without an id after the last id, whose repetition could not be
    /// told from new ones.
    ///
    /// ```
    /// use godwit_core::site::EventStream;
    /// let unnumbered = EventStream::begin(None).push(b"data: a\n\n").next.expect("sound");
    /// assert!(unnumbered.break_off().resume().is_err());
    /// ```
    pub fn resume(self) -> Result<OpenStream, EventStream<Broken>> {
        if !self.can_resume() {
            return Err(self);
        }
        let mut progress = self.progress;
        progress.is_resuming = progress.last_event_id.is_some();
        progress.first_event_id = None;
        progress.has_event = false;
        progress.bytes_without_event = 0;
        Ok(OpenStream::BetweenEvents(EventStream { progress, state: BetweenEvents(()) }))
    }

    /// Whether another run can continue the stream, as [`EventStream::resume`] does.
    pub fn can_resume(&self) -> bool {
        !self.progress.is_past_last_id
    }
}

impl OpenStream {
    /// Returns the id of the last event that the caller has.
    pub fn last_event_id(&self) -> Option<u64> {
        self.progress().last_event_id
    }

    /// Returns the id of the first event of the run, new or repeated; none if that event has no id.
    pub fn first_event_id(&self) -> Option<u64> {
        self.progress().first_event_id
    }

    /// Returns the number of bytes of an event that are held back.
    pub fn unfinished_bytes(&self) -> usize {
        match self {
            OpenStream::BetweenEvents(_) => 0,
            OpenStream::InEvent(stream) => stream.state.unfinished.len(),
        }
    }

    /// Whether another run could continue the stream, as after [`OpenStream::break_off`].
    pub fn can_resume(&self) -> bool {
        !self.progress().is_past_last_id
    }

    /// Adds a piece of the body. Drops the events that the caller has from an earlier run, and what a resumed run sends
    /// ahead of its first event.
    ///
    /// ```
    /// use godwit_core::site::{EventStream, StreamBreak};
    /// let pushed = EventStream::begin(None).push(b"id: 1\n\n<html>\n\n");
    /// assert_eq!(pushed.events, b"id: 1\n\n");
    /// assert_eq!(pushed.next.expect_err("no event").cause(), StreamBreak::NotAnEvent);
    /// ```
    pub fn push(self, piece: &[u8]) -> Pushed {
        let (mut progress, mut unfinished, searched) = match self {
            OpenStream::BetweenEvents(stream) => (stream.progress, Vec::new(), 0),
            OpenStream::InEvent(EventStream { progress, state }) => {
                (progress, state.unfinished, state.searched)
            }
        };
        unfinished.extend_from_slice(piece);
        progress.bytes_without_event += piece.len();
        let (mut events, mut event_count) = (Vec::new(), 0);
        let mut from = 0;
        let mut searched = searched;
        while let Some(end) = event_end(&unfinished, from, searched) {
            let event = &unfinished[from..end];
            match progress.accept(event) {
                Ok(true) => {
                    events.extend_from_slice(event);
                    event_count += 1;
                    progress.bytes_without_event = unfinished.len() - end;
                }
                Ok(false) => {}
                Err(cause) => {
                    let next = Err(EventStream::new(progress, cause, &unfinished[from..]));
                    return Pushed { events, event_count, next };
                }
            }
            from = end;
            searched = end;
        }
        unfinished.drain(..from);
        if progress.bytes_without_event > MAX_BYTES_WITHOUT_EVENT {
            let next = Err(EventStream::new(progress, StreamBreak::TooLong, &unfinished));
            return Pushed { events, event_count, next };
        }
        let next = if unfinished.is_empty() {
            OpenStream::BetweenEvents(EventStream { progress, state: BetweenEvents(()) })
        } else {
            let searched = unfinished.len();
            OpenStream::InEvent(EventStream { progress, state: InEvent { unfinished, searched } })
        };
        Pushed { events, event_count, next: Ok(next) }
    }

    /// Ends the body of the run.
    ///
    /// # Errors
    /// Returns the broken stream if the body ended inside an event, or without an event that an earlier run had begun.
    ///
    /// ```
    /// use godwit_core::site::{EventStream, StreamBreak};
    /// let open = EventStream::begin(None).push(b"id: 1\n").next.expect("sound so far");
    /// let broken = open.end_of_body().expect_err("no blank line");
    /// assert_eq!((broken.cause(), broken.unfinished_bytes()), (StreamBreak::WithinEvent, 6));
    /// ```
    pub fn end_of_body(self) -> Result<EventStream<BetweenEvents>, EventStream<Broken>> {
        match self {
            OpenStream::BetweenEvents(stream) if stream.progress.is_event_missing => {
                Err(EventStream::new(stream.progress, StreamBreak::Missing, &[]))
            }
            OpenStream::BetweenEvents(stream) => Ok(stream),
            OpenStream::InEvent(EventStream { progress, state }) => {
                Err(EventStream::new(progress, StreamBreak::WithinEvent, &state.unfinished))
            }
        }
    }

    /// Breaks the run, whose connection failed or which another run replaces.
    ///
    /// ```
    /// use godwit_core::site::EventStream;
    /// let open = EventStream::begin(None).push(b"id: 1\n\nid").next.expect("sound so far");
    /// let broken = open.break_off();
    /// assert_eq!((broken.last_event_id(), broken.unfinished_bytes()), (Some(1), 2));
    /// ```
    pub fn break_off(self) -> EventStream<Broken> {
        match self {
            OpenStream::BetweenEvents(stream) => stream.break_off(),
            OpenStream::InEvent(EventStream { progress, state }) => {
                EventStream::new(progress, StreamBreak::Aborted, &state.unfinished)
            }
        }
    }

    fn progress(&self) -> &Progress {
        match self {
            OpenStream::BetweenEvents(stream) => &stream.progress,
            OpenStream::InEvent(stream) => &stream.progress,
        }
    }
}

impl Progress {
    /// Whether the caller gets a whole block of lines. Records it as an event if it is one.
    fn accept(&mut self, block: &[u8]) -> Result<bool, StreamBreak> {
        let id = match read_block(block)? {
            Block::Comment => return Ok(!self.is_resuming),
            Block::Event { id } => id,
        };
        if !self.has_event {
            self.first_event_id = id;
            self.has_event = true;
        }
        let Some(id) = id else {
            if self.is_resuming {
                return Err(StreamBreak::NoId);
            }
            self.is_past_last_id = true;
            self.is_event_missing = false;
            return Ok(true);
        };
        if let Some(last) = self.last_event_id {
            if id <= last {
                return Ok(false);
            }
            if self.is_resuming {
                let due = last.saturating_add(self.largest_step.unwrap_or(MIN_ID_STEP));
                if id > due {
                    return Err(StreamBreak::Late { id, due });
                }
            }
            self.largest_step = self.largest_step.max(Some(id - last));
        }
        self.last_event_id = Some(id);
        self.is_resuming = false;
        self.is_event_missing = false;
        self.is_past_last_id = false;
        Ok(true)
    }
}

/// Lines up to a blank line.
enum Block {
    /// Blank, or with comments only.
    Comment,
    Event {
        id: Option<u64>,
    },
}

fn read_block(block: &[u8]) -> Result<Block, StreamBreak> {
    let mut id = None;
    let (mut has_field, mut is_event) = (false, false);
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() || line.starts_with(b":") {
            continue;
        }
        has_field = true;
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let name = parts.next().unwrap_or_default();
        is_event |= FIELD_NAMES.contains(&name);
        if name == b"id" && id.is_none() {
            let value = parts.next().and_then(|value| std::str::from_utf8(value).ok());
            id = value.and_then(|value| value.trim().parse().ok());
        }
    }
    match (has_field, is_event) {
        (false, _) => Ok(Block::Comment),
        (true, true) => Ok(Block::Event { id }),
        (true, false) => Err(StreamBreak::NotAnEvent),
    }
}

/// Returns where the block of lines from `from` ends: after its first blank line. No block ends within the first `searched`
/// bytes.
fn event_end(bytes: &[u8], from: usize, searched: usize) -> Option<usize> {
    // A blank line at the start of a block is one of its own.
    match &bytes[from..] {
        [b'\n', ..] => return Some(from + 1),
        [b'\r', b'\n', ..] => return Some(from + 2),
        _ => {}
    }
    // The line break before a blank line may be among the last bytes that were searched.
    let start = from.max(searched.saturating_sub(2));
    let mut rest = &bytes[start..];
    let mut offset = start;
    while let Some(at) = rest.iter().position(|byte| *byte == b'\n') {
        rest = &rest[at + 1..];
        offset += at + 1;
        match rest {
            [b'\n', ..] => return Some(offset + 1),
            [b'\r', b'\n', ..] => return Some(offset + 2),
            _ => {}
        }
    }
    None
}
