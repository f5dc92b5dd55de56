//! The fault scenarios with their target times.

use std::str::FromStr;

use super::{hosts, servers, store};
use crate::error::CtlError;
use crate::site::Site;

/// A fault, and the condition at which recovery is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    /// A stage of a split model is killed. Ends with the next token.
    StageKilled,
    /// A stage of a split model stops responding. Ends with the next token.
    StageSilent,
    /// A server that holds a whole model is killed. Ends with the next token.
    ServerKilled,
    /// An entry host is killed. Ends when all its neighbours report it as dead.
    HostKilled,
    /// An entry host is killed. Ends when claims through another host have been answered.
    Claims,
    /// The platform's store is unavailable for a time. Ends when a confirmation that waited for it is answered.
    StoreBack,
    /// An operator changes a workspace. Ends when the change is active on all hosts.
    Configuration,
}

impl Scenario {
    pub(crate) const ALL: [Scenario; 7] = [
        Scenario::StageKilled,
        Scenario::StageSilent,
        Scenario::ServerKilled,
        Scenario::HostKilled,
        Scenario::Claims,
        Scenario::StoreBack,
        Scenario::Configuration,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Scenario::StageKilled => "stage-killed",
            Scenario::StageSilent => "stage-silent",
            Scenario::ServerKilled => "server-killed",
            Scenario::HostKilled => "host-killed",
            Scenario::Claims => "claims",
            Scenario::StoreBack => "store-back",
            Scenario::Configuration => "configuration",
        }
    }

    /// Returns the time within which the scenario should end, in milliseconds, if there is a target.
    pub(super) fn target_ms(self) -> Option<f64> {
        match self {
            Scenario::StageKilled | Scenario::ServerKilled => Some(100.0),
            Scenario::StageSilent => Some(1_000.0),
            Scenario::HostKilled | Scenario::Configuration => Some(2_000.0),
            Scenario::Claims => Some(500.0),
            Scenario::StoreBack => None,
        }
    }

    /// Injects the fault once, returns the recovery time in milliseconds, and waits until the site is healthy again.
    pub(super) fn run(self, site: &mut Site, number: u32) -> Result<f64, CtlError> {
        match self {
            Scenario::StageKilled => servers::measure_stage(site, number, &servers::dead_fault()),
            Scenario::StageSilent => servers::measure_stage(site, number, &servers::hang_fault()),
            Scenario::ServerKilled => {
                servers::measure_whole_model_server(site, number, &servers::dead_fault())
            }
            Scenario::HostKilled => hosts::measure_host_killed(site),
            Scenario::Claims => hosts::measure_claims(site, number),
            Scenario::StoreBack => store::measure_store_back(site, number),
            Scenario::Configuration => store::measure_configuration_change(site),
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Scenario, String> {
        let found = Scenario::ALL.into_iter().find(|scenario| scenario.name() == text);
        let names = || Scenario::ALL.map(Scenario::name).join(", ");
        found.ok_or_else(|| format!("expected one of {}", names()))
    }
}
