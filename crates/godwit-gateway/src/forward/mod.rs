//! Forwards requests to backend servers, from the head of a caller's request to the final response.

mod abandoned;
mod admit;
mod attempt;
mod destination;
mod handler;
mod hedge;
mod hedge_race;
mod in_flight;
mod outcome;
mod pace;
mod quarantine;
mod refusal;
mod repath;
mod response;
mod server_end;
mod stall_detection;
mod stream;
mod wait;
mod waiters;

pub(crate) use admit::AdmittedRequest;
pub(crate) use destination::expected_answer_tokens;
pub(crate) use handler::serve;
pub(crate) use hedge::Hedging;
pub(crate) use in_flight::Runs;
pub(crate) use quarantine::{log_status_changes, record_server_end};
pub(crate) use server_end::ServerCheck;
pub(crate) use wait::{CounterGuard, serve_waiting};
pub(crate) use waiters::Waiters;
