//! Calls to the platform's store on behalf of the coordinator.

use godwit_core::orders::{Input, ReadResult, WriteResult};
use godwit_platform::{Platform, WriteError};
use godwit_schema::orders::OrdersObject;
use tracing::error;

/// Reads the object `orders/DOMAIN`.
pub(super) fn read(platform: &Platform, name: &str) -> Input {
    let result = match platform.read(name) {
        Ok(None) => ReadResult::Absent,
        Ok(Some(object)) => match serde_json::from_value(object.value) {
            Ok(value) => ReadResult::Found { version: object.version, value },
            Err(error) => {
                // An object that cannot be parsed is never overwritten: it may hold orders still in flight.
                error!(event = "orders_object_unreadable", object = name, error = %error);
                ReadResult::Failed
            }
        },
        Err(_) => ReadResult::Failed,
    };
    Input::ReadDone(result)
}

/// Updates the object `orders/DOMAIN` if it still has version `if_version`.
pub(super) fn write(
    platform: &Platform,
    name: &str,
    if_version: u64,
    value: &OrdersObject,
) -> Input {
    let Ok(value) = serde_json::to_value(value) else {
        return Input::WriteDone(WriteResult::NoEffect);
    };
    Input::WriteDone(match platform.write(name, if_version, &value) {
        Ok(version) => WriteResult::Written { version },
        Err(WriteError::Conflict { .. }) => WriteResult::Conflict,
        Err(WriteError::Unknown { .. }) => WriteResult::Unknown,
        Err(
            WriteError::NotSent { .. } | WriteError::Limited { .. } | WriteError::Refused { .. },
        ) => WriteResult::NoEffect,
    })
}
