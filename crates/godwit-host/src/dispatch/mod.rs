//! Dispatch of one claimed request to backend servers, with retries, until its outcome is known.
//!
//! [`run_generate`] serves models, whole or split; [`run_service`] serves plain services. Both get their servers from a
//! [`ServerSource`], which makes the choice of servers.

mod acquire;
mod attempt;
mod attribution;
mod context;
mod crash_guard;
mod generate;
mod outcome;
mod progress;
mod service;
mod settings;
mod state;

pub use context::{
    AttemptObserver, AttemptOutcome, AttemptReport, CallerDisconnected, DispatchContext,
    GrantedServer, Refusal, RetryBudget, RetryReason, ServerSource, TokenSink,
};
pub use crash_guard::CrashGuard;
pub use generate::{GenerateJob, run_generate};
pub use outcome::{GeneratedAnswer, Outcome, Run, RunReport};
pub use service::{ServiceJob, run_service};
pub use settings::DispatchSettings;
