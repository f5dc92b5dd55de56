//! Orders to the engines of one failure domain: which host sends them, and when an engine may get its next order.
//!
//! [`Coordinator`] is the state machine of one host. The object `orders/DOMAIN` names the coordinator and lists each
//! order before it is sent; the version of the object is the fencing number. An engine that does not check the fencing
//! number gets a new order only after every earlier order has ended or can no longer arrive.

mod coordinator;
mod io;
mod object;
mod plan;
mod settings;
mod snapshot;

pub use coordinator::Coordinator;
pub use io::{Action, Input, OrderResult, ReadResult, WriteResult};
pub use object::{desired_object_name, orders_object_name};
pub use settings::OrdersSettings;
pub use snapshot::{DomainSnapshot, Server};
