//! Tests of streams and calls to engines that follow a script.

mod calls;
mod events;
mod fake;
