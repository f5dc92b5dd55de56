//! This host's copies of the objects in the platform's store. A few hosts of each failure domain read the store; the
//! others follow one of them over TCP.

mod apply;
mod fallback;
mod feed;
mod follow;
mod frames;
mod kind;
mod state;

pub(crate) use apply::HostRecord;
pub(crate) use fallback::ask_store_in_gaps;
pub(crate) use feed::serve_followers;
pub(crate) use follow::maintain_reading;
pub(crate) use kind::ObjectKind;
