//! JSON schemas of all external interfaces and the types generated from them.
//!
//! The schemas are in `schemas/`, one file for each interface. The types in [`generated`] are generated from them by
//! the test `generated_types`, which fails if the committed types differ from the schemas.
//! `GODWIT_REGENERATE=1 cargo test -p godwit-schema` regenerates them.

pub mod generated;
mod prefix;

pub use generated::{caller, config, engine, ledger, operator, orders, platform};
pub use prefix::{PREFIX_BLOCK_BYTES, prefix_hash, prefix_hashes};
