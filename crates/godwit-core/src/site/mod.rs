//! A site as its router sees it: the configuration in force, the backend servers, where the layers of the model lie,
//! and the choices made from these for each request.

mod configuration;
mod findings;
mod forecast;
mod freshness;
mod health;
mod layout;
mod load;
mod path;
mod patience;
mod plain;
mod relay;
mod retry;
mod roster;
mod server;

pub use configuration::{
    CallerLimits, Configuration, KindTraits, ModelTraits, Route, Service, WeightedService, Work,
    Workspace,
};
pub use findings::{Findings, ToldCut, ToldFinding};
pub use forecast::{DomainForecast, Forecast, forecast};
pub use freshness::Freshness;
pub use health::{HealthLimits, ServerHealth};
pub use layout::{Placement, missing_layers, plan_layout, plan_moves};
pub use load::{Load, LoadBook, LoadSource, PeerLoads};
pub use path::{Hop, Path, PathError, PathRequest, find_path, link_key};
pub use patience::{first_patience_ms, gap_patience_ms};
pub use plain::choose_server;
pub use relay::{PeerHost, Recipients, Relay, RelayLimits};
pub use retry::{RetryBudget, RetryLimits};
pub use roster::{Roster, RosterLimits};
pub use server::{BackendServer, LayerRange, ServerState};
