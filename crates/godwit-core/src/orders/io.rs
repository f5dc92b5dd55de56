//! What the coordinator takes and gives.

use godwit_schema::engine::EngineOrder;
use godwit_schema::orders::OrdersObject;

use super::situation::Situation;
use crate::UnixMs;

/// What the store answered to a read of the object.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: OrdersObject,
    },
    /// The object does not exist.
    Absent,
    /// The store did not answer.
    Failed,
}

/// What the store answered to a conditional update of the object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The update is in force.
    Written {
        /// The version that it gave the object.
        version: u64,
    },
    /// The version was another; the update had no effect.
    Conflict,
    /// The update had no effect for another reason.
    NoEffect,
    /// The update may take effect, now or later, or never.
    Unknown,
}

/// How an order ended, as far as its sender knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderEnd {
    /// The server took it.
    Acknowledged,
    /// It never reached the server.
    NotSent,
    /// The server refused it.
    Refused,
    /// The server may have taken it, or may still take it.
    Unknown,
}

/// What happens to the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Whether this host is the one that should coordinate, a hint.
    Candidate(bool),
    /// What is known of the failure domain.
    Situation(Situation),
    /// A read ended.
    ReadDone(ReadResult),
    /// A conditional update ended.
    WriteDone(WriteResult),
    /// An order ended.
    OrderDone {
        /// Id of the order.
        order_id: String,
        /// How it ended.
        end: OrderEnd,
    },
    /// Time has passed.
    Tick,
}

/// What the coordinator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the object.
    Read,
    /// Update the object on condition of its version.
    Write {
        /// Version that the object must have; 0 when it must not exist.
        if_version: u64,
        /// The new value.
        value: OrdersObject,
    },
    /// Send an order, unless `send_before` is past by a look at the clock immediately before.
    Send {
        /// Server to order.
        server: String,
        /// The order.
        order: EngineOrder,
        /// The order is not sent from then on.
        send_before: UnixMs,
    },
}
