//! Commands for the events of a workspace.

pub(crate) mod list;
pub(crate) mod remove;
pub(crate) mod set;
