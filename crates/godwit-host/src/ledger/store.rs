//! Calls to the platform's store on behalf of the state machine.

use godwit_core::UnixMs;
use godwit_core::ledger::{Action, CallId, Input, ReadResult, SliceName, WriteResult};
use godwit_platform::{Platform, ReadError, WriteError};
use godwit_schema::ledger::LedgerSlice;
use tracing::error;

use crate::Clock;

/// Delay before the retry of a call that the platform refused without naming a time, or whose object is unreadable.
const REFUSED_RETRY_DELAY_MS: u64 = 1_000;

/// Makes a call to the store and returns its result; `None` for an action that is not a call.
pub(super) fn call(platform: &Platform, action: Action, clock: &dyn Clock) -> Option<Input> {
    match action {
        Action::Read { call, slice } => Some(read(platform, call, slice, clock.now())),
        Action::Write { call, slice, if_version, value } => {
            let result = write(platform, &slice, if_version, &value, clock.now());
            Some(Input::WriteDone { slice, call, result })
        }
        Action::Reply { .. } => None,
    }
}

fn read(platform: &Platform, call: CallId, slice: SliceName, now: UnixMs) -> Input {
    let result = match platform.read(&slice.object_name()) {
        Ok(None) => ReadResult::Absent,
        Ok(Some(object)) => parse(&slice, object.version, object.value, now),
        Err(ReadError::NoAnswer { .. }) => ReadResult::Failed,
        Err(ReadError::Limited { retry_at }) => ReadResult::Refused { retry_at },
        Err(refused) => {
            error!(slice = %slice, error = %refused, "ledger_read_refused");
            ReadResult::Refused { retry_at: now.plus_ms(REFUSED_RETRY_DELAY_MS) }
        }
    };
    Input::ReadDone { slice, call, result }
}

/// Parses the value of a ledger object. An object that cannot be parsed is never overwritten: its claims stay
/// unavailable until an operator repairs the object.
fn parse(slice: &SliceName, version: u64, value: serde_json::Value, now: UnixMs) -> ReadResult {
    match serde_json::from_value(value) {
        Ok(value) => ReadResult::Found { version, value },
        Err(error) => {
            error!(slice = %slice, error = %error, "ledger_object_unreadable");
            ReadResult::Refused { retry_at: now.plus_ms(REFUSED_RETRY_DELAY_MS) }
        }
    }
}

fn write(
    platform: &Platform,
    slice: &SliceName,
    if_version: u64,
    value: &LedgerSlice,
    now: UnixMs,
) -> WriteResult {
    let refused = WriteResult::Refused { retry_at: now.plus_ms(REFUSED_RETRY_DELAY_MS) };
    let Ok(value) = serde_json::to_value(value) else { return refused };
    match platform.write(&slice.object_name(), if_version, &value) {
        Ok(version) => WriteResult::Written { version },
        Err(WriteError::Conflict { .. }) => WriteResult::Conflict,
        Err(WriteError::NotSent { .. }) => WriteResult::NotSent,
        Err(WriteError::Unknown { .. }) => WriteResult::Unknown,
        Err(WriteError::Limited { retry_at }) => WriteResult::Refused { retry_at },
        Err(error) => {
            error!(slice = %slice, error = %error, "ledger_write_refused");
            refused
        }
    }
}
