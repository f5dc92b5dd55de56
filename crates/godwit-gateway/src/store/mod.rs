//! The platform's store: its client, the registration of hosts, and the list-and-watch loop for a kind of objects.

mod client;
mod hosts;
mod list_watch;
mod quarantines;

pub(crate) use client::StoreClient;
pub(crate) use hosts::maintain_host_list;
pub(crate) use list_watch::{WatchHandler, list_and_watch};
