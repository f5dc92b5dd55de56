//! The commands, one module per command, grouped in folders.

pub(crate) mod bench;
pub(crate) mod config;
pub(crate) mod demo;
pub(crate) mod events;
pub(crate) mod fleet;
pub(crate) mod host;
pub(crate) mod layout;
pub(crate) mod object;
pub(crate) mod rules;
pub(crate) mod standin;
