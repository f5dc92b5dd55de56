//! The scenarios with their targets.

use std::str::FromStr;

use super::{hosts, servers, store};
use crate::error::CtlError;
use crate::site::Site;

/// One fault and what ends it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    /// A stage of a split model is killed; ends with the next token.
    StageKilled,
    /// A stage of a split model falls silent; ends with the next token.
    StageSilent,
    /// A server that holds the model whole is killed; ends with the next token.
    ServerKilled,
    /// An entry host is killed; ends when all its neighbours know.
    HostKilled,
    /// An entry host is killed; ends when claims through another host are answered.
    Claims,
    /// The store is away and comes back; ends when a waiting confirmation is answered.
    StoreBack,
    /// An operator changes a rule; ends when the change is in force on all hosts.
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

    /// Time within which the scenario is to end, where there is one.
    pub(super) fn target_ms(self) -> Option<f64> {
        match self {
            Scenario::StageKilled | Scenario::ServerKilled => Some(100.0),
            Scenario::StageSilent => Some(1_000.0),
            Scenario::HostKilled | Scenario::Configuration => Some(2_000.0),
            Scenario::Claims => Some(500.0),
            Scenario::StoreBack => None,
        }
    }

    /// Causes the fault once; returns the time to its end and leaves the site whole.
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
