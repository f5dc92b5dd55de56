//! Tests of members that are connected by a simulated network with delays, losses and partitions, in simulated time.

mod detection;
mod network;
mod regressions;
mod schedules;
mod wire;
