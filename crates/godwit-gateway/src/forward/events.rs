//! Splitting of a stream into events.

use bytes::{Bytes, BytesMut};

use crate::wire::WireError;

const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Largest number of bytes without a new event after which a stream is no stream of events.
const MAX_BYTES_WITHOUT_EVENT: usize = 256 * 1024;

/// Received part of a stream that is not passed on yet.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
    /// Number of bytes since the last new event.
    bytes_without_event: usize,
    /// Id of the first event, new or not; none if it has no id.
    first_event_id: Option<u64>,
    has_event: bool,
}

impl EventBuffer {
    /// Adds a piece and takes all complete events. Drops events with ids up to `last_event_id`, which the caller has
    /// already received from an earlier attempt, and advances `last_event_id`.
    ///
    /// # Errors
    /// [`WireError::NotHttp`] if the server has sent too much without a new event.
    pub(super) fn push(
        &mut self,
        piece: &[u8],
        last_event_id: &mut Option<u64>,
    ) -> Result<Bytes, WireError> {
        self.buffer.extend_from_slice(piece);
        self.bytes_without_event += piece.len();
        let mut complete = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            if !self.has_event {
                self.first_event_id = id;
                self.has_event = true;
            }
            let is_duplicate = matches!((id, *last_event_id), (Some(id), Some(last)) if id <= last);
            if !is_duplicate {
                *last_event_id = id.or(*last_event_id);
                complete.extend_from_slice(&event);
                self.bytes_without_event = self.buffer.len();
            }
        }
        if self.bytes_without_event > MAX_BYTES_WITHOUT_EVENT {
            return Err(WireError::NotHttp);
        }
        Ok(complete.freeze())
    }

    /// Returns the number of bytes that follow the last complete event.
    pub(super) fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the id of the first event of the run, which the caller may have received from an earlier one.
    pub(super) fn first_event_id(&self) -> Option<u64> {
        self.first_event_id
    }

    /// Returns the length of the first event in the buffer, if it is complete.
    fn event_end(&mut self) -> Option<usize> {
        // The delimiter may begin with the last byte that was searched.
        let from = self.searched.saturating_sub(EVENT_DELIMITER.len() - 1);
        let mut windows = self.buffer[from..].windows(EVENT_DELIMITER.len());
        let found = windows.position(|window| window == EVENT_DELIMITER);
        self.searched = self.buffer.len();
        found.map(|at| from + at + EVENT_DELIMITER.len())
    }

    /// Takes what follows the last complete event.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
