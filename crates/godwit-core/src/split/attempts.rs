//! The attempts of a request over changing stage plans.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

/// What a new attempt keeps and rebuilds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptStart {
    /// Stages whose server ran all of their layers in the attempt before, so that its KV cache can serve.
    pub kept: Vec<Stage>,
    /// Stages whose KV cache has to be imported, or rebuilt from the accepted tokens.
    pub rebuilt: Vec<Stage>,
}

impl AttemptStart {
    /// Layers whose KV cache is lost.
    pub fn rebuilt_layers(&self) -> u32 {
        self.rebuilt.iter().map(|stage| stage.layer_to.saturating_sub(stage.layer_from)).sum()
    }
}

/// Servers that failed a request, and the stages of its last attempt.
///
/// ```
/// use godwit_core::split::Attempts;
/// use godwit_schema::engine::Stage;
/// let stage = |server: &str, layer_from, layer_to| Stage {
///     server: server.to_string(),
///     address: String::new(),
///     layer_from,
///     layer_to,
/// };
/// let mut attempts = Attempts::default();
/// attempts.begin(&[stage("s1", 0, 4), stage("s2", 4, 8)]);
/// attempts.server_failed("s2");
/// let start = attempts.begin(&[stage("s1", 0, 4), stage("s3", 4, 8)]);
/// assert_eq!(start.rebuilt_layers(), 4);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    failed: BTreeSet<String>,
    last: Vec<Stage>,
}

impl Attempts {
    /// Starts an attempt with these stages.
    pub fn begin(&mut self, stages: &[Stage]) -> AttemptStart {
        let mut start = AttemptStart::default();
        for stage in stages {
            let list = if self.holds_state(stage) { &mut start.kept } else { &mut start.rebuilt };
            list.push(stage.clone());
        }
        self.last = stages.to_vec();
        start
    }

    /// A server failed; it is left out of all later attempts of the request.
    pub fn server_failed(&mut self, server: &str) {
        self.failed.insert(server.to_string());
    }

    /// Servers left out.
    pub fn failed(&self) -> &BTreeSet<String> {
        &self.failed
    }

    /// Stages of the last attempt.
    pub fn last_stages(&self) -> &[Stage] {
        &self.last
    }

    fn holds_state(&self, stage: &Stage) -> bool {
        let alive = !self.failed.contains(&stage.server);
        alive
            && self.last.iter().any(|old| {
                old.server == stage.server
                    && old.layer_from <= stage.layer_from
                    && stage.layer_to <= old.layer_to
            })
    }
}
