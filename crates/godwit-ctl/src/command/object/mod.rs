//! Commands for whole configuration objects.

pub(crate) mod apply;
pub(crate) mod get;
