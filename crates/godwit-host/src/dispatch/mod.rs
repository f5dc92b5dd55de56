//! Runs one claimed request on backend servers until its outcome is known.
//!
//! [`run_generate`] serves models, whole or split; [`run_service`] serves plain services. Both ask a [`ServerSource`]
//! for servers, so that the choice stays out of here.

mod acquire;
mod attempt;
mod blame;
mod crash_guard;
mod generate;
mod outcome;
mod ports;
mod progress;
mod service;
mod settings;
mod tries;

pub use crash_guard::CrashGuard;
pub use generate::{GenerateJob, run_generate};
pub use outcome::{GeneratedAnswer, Outcome, Run, RunReport};
pub use ports::{
    AttemptEnding, AttemptReport, CallerGone, DispatchReports, GrantedServer, Refusal, Retry,
    RetryBudget, ServerSource, TokenSink, Tools,
};
pub use service::{ServiceJob, run_service};
pub use settings::DispatchSettings;
