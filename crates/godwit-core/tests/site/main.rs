//! What the router decides about a site: layout, paths, loads, retries, the list of servers.

mod configuration;
mod findings;
mod forecast;
mod freshness;
mod health;
mod layout;
mod load;
mod path;
mod plain;
mod relay;
mod retry;
mod roster;
mod support;
