//! Members joined by a network that delays, loses and cuts, on a clock that the tests move.

mod detection;
mod found;
mod network;
mod schedules;
mod wire;
