//! Tests of the gateway as a separate process, against fakes of the users' store and backend servers.

mod broken_answers;
mod broken_exchanges;
mod calls;
mod configurations;
mod crashes;
mod cut_heads;
mod detours;
mod endless;
mod fleet;
mod host;
mod http;
mod limits;
mod links;
mod lost_links;
mod notices;
mod odd_entries;
mod orders;
mod planned_stops;
mod prompt_parts;
mod readers;
mod repeated_answers;
mod server;
mod soak;
mod store;
mod streams;
mod watches;
