//! Engine orders of one failure domain: who gives them, and when an order may follow another.
//!
//! [`Coordinator`] is the state machine of one host. The object `orders/DOMAIN` names the coordinator and holds each
//! order before it is sent; the version of the object is the fencing number. Servers that do not check the number are
//! ordered again only when every earlier order has ended or can no longer arrive.

mod coordinator;
mod io;
mod object;
mod plan;
mod settings;
mod situation;

pub use coordinator::Coordinator;
pub use io::{Action, Input, OrderEnd, ReadResult, WriteResult};
pub use object::{desired_object_name, orders_object_name};
pub use settings::OrdersSettings;
pub use situation::{Server, Situation};
