//! JSON schemas of all borders and the types generated from them.
//!
//! The schemas are in `schemas/`, one file for each border. The types in [`generated`] are made from them by
//! the test `generated_types`, which fails when they differ; `GODWIT_REGENERATE=1 cargo test -p godwit-schema`
//! writes them anew.

pub mod generated;
mod prefix;

pub use generated::{caller, config, engine, ledger, operator, orders, platform};
pub use prefix::{PREFIX_BLOCK_BYTES, prefix_hash, prefix_hashes};
