//! The commands, one file each, in a folder for each family.

pub(crate) mod bench;
pub(crate) mod demo;
pub(crate) mod events;
pub(crate) mod fleet;
pub(crate) mod host;
pub(crate) mod layout;
pub(crate) mod object;
pub(crate) mod rules;
pub(crate) mod standin;
