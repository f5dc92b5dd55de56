//! Refusals of the engine and their HTTP status codes.

use godwit_schema::engine::{EngineRefusal, RefusalReason};

/// Creates the refusal for a reason.
pub(super) fn refusal(reason: RefusalReason) -> EngineRefusal {
    let message = match reason {
        RefusalReason::Busy => "the queue is full",
        RefusalReason::UnknownModel => "the model, its layers or the adapter are not loaded",
        RefusalReason::StaleAttempt => "a newer attempt was seen, or this one was cancelled",
        RefusalReason::PositionDone => "this attempt has already run",
        RefusalReason::StaleFencingNumber => "a higher fencing number was seen",
        RefusalReason::BadRequest => "the call is malformed",
        RefusalReason::StageFailed => "a later stage failed",
    };
    EngineRefusal { reason, failed_server: None, message: message.to_string() }
}

/// HTTP status code for a reason.
pub(super) fn http_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::Busy => 503,
        RefusalReason::UnknownModel => 404,
        RefusalReason::StaleAttempt
        | RefusalReason::PositionDone
        | RefusalReason::StaleFencingNumber => 409,
        RefusalReason::BadRequest => 400,
        RefusalReason::StageFailed => 502,
    }
}
