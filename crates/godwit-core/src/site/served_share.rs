//! Shares of what is asked that is served, by workspace, and the floor under them.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::smoothed_rate::SmoothedRate;

/// Part of the served share of all requests that a class of them keeps.
const FLOOR: f64 = 0.35;

/// Probability with which a request is let in for each unit by which the served share lies below its floor, as a part of
/// the floor.
const FLOOR_GAIN: f64 = 4.0;

/// Workspaces that are counted one by one; all others count together.
pub const MAX_COUNTED_WORKSPACES: usize = 1_024;

/// Time over which the requests of a workspace are counted, in milliseconds.
const WORKSPACE_WINDOW_MS: f64 = 10_000.0;

/// Requests a second below which those of a workspace are too few to compare, and are forgotten.
const MIN_WORKSPACE_PER_S: f64 = 0.02;

/// What was asked and what of it was admitted, a second and in the same unit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Asked.
    pub asked_per_s: f64,
    /// Admitted.
    pub admitted_per_s: f64,
}

impl Served {
    /// Adds another amount.
    pub(crate) fn add(&mut self, other: Served) {
        self.asked_per_s += other.asked_per_s;
        self.admitted_per_s += other.admitted_per_s;
    }

    /// Returns the part that was admitted, from 0 to 1; 1 where nothing was asked.
    ///
    /// ```
    /// use godwit_core::site::Served;
    /// assert_eq!(Served { asked_per_s: 8.0, admitted_per_s: 2.0 }.share(), 0.25);
    /// assert_eq!(Served::default().share(), 1.0);
    /// ```
    pub fn share(&self) -> f64 {
        if self.asked_per_s <= 0.0 {
            return 1.0;
        }
        (self.admitted_per_s / self.asked_per_s).clamp(0.0, 1.0)
    }

    /// Returns how far the served share of a class lies below the floor that that of `all` gives it: 1 where nothing of
    /// the class is served, 0 at the floor or above.
    fn shortfall(&self, all: &Served) -> f64 {
        let floor = FLOOR * all.share();
        if floor <= 0.0 { 0.0 } else { (1.0 - self.share() / floor).max(0.0) }
    }

    /// Returns the probability with which a request of a class is let in regardless of more urgent requests: more than 0
    /// where the class is served less often than its floor, compared with `all`.
    ///
    /// ```
    /// use godwit_core::site::Served;
    /// let all = Served { asked_per_s: 10.0, admitted_per_s: 5.0 };
    /// let starved = Served { asked_per_s: 4.0, admitted_per_s: 0.0 };
    /// assert_eq!(starved.let_in_probability(&all), 1.0);
    /// ```
    pub fn let_in_probability(&self, all: &Served) -> f64 {
        (FLOOR_GAIN * self.shortfall(all)).min(1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServedRates {
    asked: SmoothedRate,
    admitted: SmoothedRate,
}

impl ServedRates {
    fn served(&self, now: SteadyMs) -> Served {
        Served {
            asked_per_s: self.asked.per_s(WORKSPACE_WINDOW_MS, now),
            admitted_per_s: self.admitted.per_s(WORKSPACE_WINDOW_MS, now),
        }
    }
}

/// Requests of each workspace at this host, and what of them was admitted.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    by_workspace: BTreeMap<String, ServedRates>,
    /// Requests of the workspaces that are not counted one by one.
    others: ServedRates,
    all: ServedRates,
}

impl WorkspaceShares {
    /// Records a request of a workspace.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::WorkspaceShares;
    /// let mut shares = WorkspaceShares::default();
    /// shares.record_asked("mill", SteadyMs(0));
    /// shares.record_asked("bakery", SteadyMs(0));
    /// shares.record_admitted("bakery", SteadyMs(0));
    /// assert!(shares.let_in_probability("mill", SteadyMs(0)) > 0.9);
    /// assert_eq!(shares.let_in_probability("bakery", SteadyMs(0)), 0.0);
    /// ```
    pub fn record_asked(&mut self, workspace: &str, now: SteadyMs) {
        let is_known = self.by_workspace.contains_key(workspace);
        if !is_known && self.by_workspace.len() < MAX_COUNTED_WORKSPACES {
            self.by_workspace.insert(workspace.to_string(), ServedRates::default());
        }
        self.rates_mut(workspace).asked.add(1.0, WORKSPACE_WINDOW_MS, now);
        self.all.asked.add(1.0, WORKSPACE_WINDOW_MS, now);
    }

    /// Records that a request of a workspace, asked before, is sent to a server.
    pub fn record_admitted(&mut self, workspace: &str, now: SteadyMs) {
        self.rates_mut(workspace).admitted.add(1.0, WORKSPACE_WINDOW_MS, now);
        self.all.admitted.add(1.0, WORKSPACE_WINDOW_MS, now);
    }

    fn rates_mut(&mut self, workspace: &str) -> &mut ServedRates {
        self.by_workspace.get_mut(workspace).unwrap_or(&mut self.others)
    }

    /// Returns the probability with which a request of a workspace is let in regardless of more urgent ones.
    pub fn let_in_probability(&self, workspace: &str, now: SteadyMs) -> f64 {
        let rates = self.by_workspace.get(workspace).unwrap_or(&self.others);
        let served = rates.served(now);
        if served.asked_per_s < MIN_WORKSPACE_PER_S {
            return 0.0;
        }
        served.let_in_probability(&self.all.served(now))
    }

    /// Returns the number of workspaces that are counted one by one.
    pub fn counted(&self) -> usize {
        self.by_workspace.len()
    }

    /// Forgets the workspaces of which nothing was asked for long.
    pub fn expire(&mut self, now: SteadyMs) {
        self.by_workspace.retain(|_, rates| rates.served(now).asked_per_s >= MIN_WORKSPACE_PER_S);
    }
}
