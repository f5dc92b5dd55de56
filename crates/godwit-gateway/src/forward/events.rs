//! Splitting of a stream into events.

use bytes::{Bytes, BytesMut};

const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Takes all complete events from the buffer. Drops events with ids up to `last_event_id`, which the caller has already
/// received from an earlier attempt, and advances `last_event_id`.
pub(super) fn take_complete_events(
    buffer: &mut BytesMut,
    last_event_id: &mut Option<u64>,
) -> Bytes {
    let mut complete = BytesMut::new();
    while let Some(at) =
        buffer.windows(EVENT_DELIMITER.len()).position(|window| window == EVENT_DELIMITER)
    {
        let event = buffer.split_to(at + EVENT_DELIMITER.len());
        let id = event_id(&event);
        let is_duplicate = matches!((id, *last_event_id), (Some(id), Some(last)) if id <= last);
        if !is_duplicate {
            *last_event_id = id.or(*last_event_id);
            complete.extend_from_slice(&event);
        }
    }
    complete.freeze()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
