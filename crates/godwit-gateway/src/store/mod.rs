//! The platform's store: one client, and the loops that keep up with what it holds.

mod client;
mod hosts;
mod keep_up;

pub(crate) use client::StoreClient;
pub(crate) use hosts::keep_hosts;
pub(crate) use keep_up::{Follower, keep_up};
