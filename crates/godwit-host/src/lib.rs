//! An entry host: settings, wiring, life cycle and the request path.

mod clock;
pub mod configuration;
pub mod dispatch;
pub mod ledger;
pub mod membership;
mod node;
pub mod orders;
pub mod placement;
pub mod polling;
mod run;
pub mod serve;
mod settings;
mod stop;
mod telemetry;

pub use clock::{Clock, ManualClock, SystemClock};
pub use node::{Node, NodeError};
pub use run::run;
pub use settings::{PolicyName, Settings, SettingsError, settings};
pub use telemetry::start_logs;
