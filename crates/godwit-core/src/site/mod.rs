//! State of a site as known to a router (configuration, backend servers, placement of model layers, load, faults) and
//! the selection of servers for each request.

mod configuration;
mod configuration_changes;
mod configuration_check;
mod configuration_defects;
mod content_budget;
mod demand;
mod demand_amounts;
mod demand_report;
mod detour_hosts;
mod event_stream;
mod failing_servers;
mod findings;
mod forecast;
mod freshness;
mod health;
mod hedging;
mod hold_off;
mod layout;
mod load;
mod model_room;
mod pace;
mod path;
mod permit_bucket;
mod permit_messages;
mod recent_outcomes;
mod registry;
mod relay;
mod retry;
mod return_times;
mod room;
mod served_share;
mod server;
mod server_choice;
mod server_limit;
mod server_links;
mod smoothed_rate;
mod stall_threshold;
mod urgency_order;
mod waiting_line;

pub use configuration::{
    AcceleratorSpec, CallerLimits, Configuration, Mismatch, ModelSpec, RequestMatch, Route,
    Service, UnreadableEntry, WeightedService, Work, Workspace,
};
pub use configuration_changes::configuration_changes;
pub use configuration_check::{
    ConfigurationCheck, ConfigurationDraft, ConfigurationFinding, DraftWorkspace, EntryField,
    EntryPlace, LostEntry, Place, check_configuration,
};
pub use content_budget::ContentBudget;
pub use demand::{DemandTable, PeerDemandReport, TermsRequest};
pub use demand_amounts::{LEAST_URGENCY, urgency_of};
pub use demand_report::{DemandReport, MAX_REPORTED_SERVICES, ServiceDemand, UrgencyDemand};
pub use detour_hosts::DetourHosts;
pub use event_stream::{
    BetweenEvents, Broken, Complete, EventStream, InEvent, MAX_BYTES_WITHOUT_EVENT, OpenStream,
    Pushed, StreamBreak,
};
pub use failing_servers::{FailedRun, FailingServers};
pub use findings::{FindingReport, Findings, PaceChange, PartitionReport, ServerPace};
pub use forecast::{DomainForecast, Forecast, forecast};
pub use freshness::FreshnessTracker;
pub use health::{HealthLimits, ServerHealth};
pub use hedging::{
    HedgeBudget, HedgeCandidate, HedgeDelays, HedgeKind, HedgeLimit, HedgeRefusal,
    MAX_HEDGE_DELAY_MS, MIN_HEDGE_DELAY_MS, has_spare_room, is_path_as_fast, may_hedge,
};
pub use hold_off::{HoldOffs, MAX_HOLD_OFF_MS};
pub use layout::{LayerAssignment, missing_layers, plan_layout, plan_moves};
pub use load::{Load, LoadSource, LoadTable, PeerLoadReport};
pub use model_room::{demand_tokens, scarcest_layer_tokens};
pub use pace::{PaceObservation, RequestKind, UsualPace, server_paces};
pub use path::{Hop, Path, PathError, PathRequest, find_path, link_key};
pub use permit_bucket::{HostCensus, HostView};
pub use permit_messages::{
    AnswerLimit, AskAction, LimitChange, LimitReport, PermitAsk, PermitGrant,
};
pub use registry::{RegistryLimits, ServerRegistry};
pub use relay::{PeerHost, Recipients, Relay, RelayLimits};
pub use retry::{RetryBudget, RetryLimits};
pub use return_times::{MIN_RETURN_MS, Refused, ReturnTimes};
pub use room::{RoomTerms, has_turn};
pub use served_share::{MAX_COUNTED_WORKSPACES, Served, WorkspaceShares};
pub use server::{BackendServer, LayerRange, ServerState};
pub use server_choice::choose_server;
pub use server_limit::{MAX_LIMITS, Permission, ServerLimits};
pub use server_links::{LinkChange, Reach, ServerLinks};
pub use stall_threshold::{event_gap_stall_threshold_ms, first_event_stall_threshold_ms};
pub use waiting_line::{CALL_TOKENS, GrantPass, LineLimits, Waiting, WaitingLine, queue_priority};
