//! Client of the platform: Object API, host list and weight store.

mod client;
mod entries;
mod error;
mod http;

pub use client::{Platform, PlatformSettings};
pub use error::{ReadError, WriteError};
