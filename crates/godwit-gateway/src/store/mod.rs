//! The platform's store: its client, the registration of this host, and the list-and-watch loop for a kind of objects.

mod client;
mod confirm;
mod era;
mod hosts;
mod list_watch;
mod paged_listing;
mod pending;
mod quarantines;
mod unreadable;

pub(crate) use client::StoreClient;
pub(crate) use confirm::{Tries, ask_store, keep_confirmed};
pub(crate) use era::KnownEra;
pub(crate) use hosts::maintain_host_record;
pub(crate) use list_watch::list_and_watch;
pub(crate) use pending::{Interruption, PendingWatches};
pub(crate) use quarantines::{StoredQuarantine, restore_quarantines};
pub(crate) use unreadable::{MAX_NAMES, NameSample, bounded_text};
