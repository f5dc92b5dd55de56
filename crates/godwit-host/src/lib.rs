//! An entry host: settings, wiring, life cycle and the path of a request.

mod clock;
pub mod configuration;
pub mod dispatch;
pub mod ledger;
pub mod placement;
pub mod serve;
pub mod membership;
pub mod placement;
pub mod polling;
mod settings;

pub use clock::{Clock, ManualClock, SystemClock};
pub use settings::{PolicyName, Settings, SettingsError, settings};
