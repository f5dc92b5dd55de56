//! Inputs and actions of the orders coordinator.

use godwit_schema::engine::EngineOrder;
use godwit_schema::orders::OrdersObject;

use super::snapshot::DomainSnapshot;
use crate::UnixMs;

/// Result of reading the orders object from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        value: OrdersObject,
    },
    /// The object does not exist.
    Absent,
    /// The read failed.
    Failed,
}

/// Result of a conditional update of the orders object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The store applied the update.
    Written {
        /// Version of the object after the update.
        version: u64,
    },
    /// The object had another version; the update had no effect.
    Conflict,
    /// The update had no effect for another reason.
    NoEffect,
    /// The update may or may not have taken effect, and may still do so later.
    Unknown,
}

/// Result of sending an order to a server, as far as the sender knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The server accepted the order.
    Acknowledged,
    /// The order never reached the server.
    NotSent,
    /// The server refused the order.
    Refused,
    /// The server may have accepted the order, or may still accept it.
    Unknown,
}

/// Input of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Whether this host should be the coordinator. Only a hint: several hosts may get `true` at once.
    Candidate(bool),
    /// A new snapshot of the failure domain.
    Snapshot(DomainSnapshot),
    /// Result of an [`Action::Read`].
    ReadDone(ReadResult),
    /// Result of an [`Action::Write`].
    WriteDone(WriteResult),
    /// Result of an [`Action::Send`].
    OrderDone {
        /// Id of the order.
        order_id: String,
        /// Result of the order.
        result: OrderResult,
    },
    /// Periodic tick; lets the coordinator act on elapsed delays.
    Tick,
}

/// Action that the caller carries out for the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the orders object.
    Read,
    /// Update the orders object if it still has the given version.
    Write {
        /// Version that the object must have; 0 if it must not exist.
        if_version: u64,
        /// New value of the object.
        value: OrdersObject,
    },
    /// Send an order to a server. The caller reads the clock immediately before the call and does not send the order if
    /// `send_before` is past.
    Send {
        /// Server that gets the order.
        server: String,
        /// The order.
        order: EngineOrder,
        /// Time from which the order must not be sent.
        send_before: UnixMs,
    },
}
