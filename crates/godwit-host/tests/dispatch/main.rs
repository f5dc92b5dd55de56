//! Tests of dispatch against stand-ins whose journals are the oracle.

mod crash;
mod engines;
mod generate;
mod once;
mod split;
mod support;
