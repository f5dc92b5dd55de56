//! Tests of streams and calls against engines that play a script.

mod calls;
mod events;
mod fake;
