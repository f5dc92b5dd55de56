//! The operators' command, with demo and bench.
