//! The platform's store: one client, and the loops that keep up with what it holds.

mod client;
mod hosts;
mod list_watch;

pub(crate) use client::StoreClient;
pub(crate) use hosts::maintain_host_list;
pub(crate) use list_watch::{WatchHandler, list_and_watch};
