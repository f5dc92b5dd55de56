//! Tests of calls to services that follow a script.

mod failure_points;
mod fake;
mod forwarding;
