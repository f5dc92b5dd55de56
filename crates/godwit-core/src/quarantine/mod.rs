//! Quarantine of requests that crash the servers on which they run.
//!
//! [`Quarantine`] serves the product's own interface. Each loss of a server marks the requests that ran on it. A request
//! with one mark is a suspect, on probation until the first tokens of its next attempt. Two suspects on probation never
//! share a server, so that the next loss shows which of them is at fault. A request with two marks is quarantined. A
//! request that completes loses its marks.
//!
//! [`CrashRegister`] serves the users' platform, where many suspects share a server and servers also crash in groups:
//! losses are weighed by what else ended at the same time, a request in doubt runs alone, and the quarantine ends with a
//! probation. Parts that several prompts share are suspects like requests.

mod crash_register;
mod crash_report;
mod explanation;
mod fingerprint;
mod marks;
mod prompt_part;
mod register;
mod report_selection;
mod suspect;
mod trial;

pub use crash_register::{
    CrashAdmission, CrashRegister, CrashStatus, MAX_SERVER_ENDS, MAX_SUSPECTS, ProbationTurn,
    StatusChange,
};
pub use crash_report::{
    CrashReport, LossReport, MAX_REPORTED_ENDS, MAX_REPORTED_LOSSES, MAX_REPORTED_SUSPECTS,
    ReportBacklog, ServerEndReport, SurvivalReport, SuspectReport,
};
pub use fingerprint::{fingerprint, fingerprint_pieces, part_fingerprint};
pub use marks::MARK_LIFETIME_MS;
pub use prompt_part::WholeAnswer;
pub use register::{Quarantine, QuarantineStatus, StartDecision};
pub use suspect::{Loss, LostRun};
pub use trial::TrialAdmission;
