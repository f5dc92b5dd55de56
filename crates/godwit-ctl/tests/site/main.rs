//! Tests of a whole site over real sockets.

mod bad_input;
mod faults;
mod sessions;
mod support;
