//! Tests of calls against services that play a script.

mod break_points;
mod fake;
mod forwarding;
