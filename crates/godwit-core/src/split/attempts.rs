//! Attempts of a request whose stage plan may change after a failure.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

/// Stages of a new attempt, divided by whether their KV cache can be reused.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageReuse {
    /// Stages whose server ran all of their layers in the previous attempt, so that its KV cache can be reused.
    pub reused: Vec<Stage>,
    /// Stages whose KV cache must be imported, or rebuilt from the accepted tokens.
    pub rebuilt: Vec<Stage>,
}

impl StageReuse {
    /// Number of layers whose KV cache must be imported or rebuilt.
    pub fn rebuilt_layers(&self) -> u32 {
        self.rebuilt.iter().map(|stage| stage.layer_to.saturating_sub(stage.layer_from)).sum()
    }
}

/// Servers that failed during a request, and the stages of its last attempt.
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
/// let reuse = attempts.begin(&[stage("s1", 0, 4), stage("s3", 4, 8)]);
/// assert_eq!(reuse.rebuilt_layers(), 4);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    failed: BTreeSet<String>,
    last_stages: Vec<Stage>,
}

impl Attempts {
    /// Starts an attempt with the given stages.
    pub fn begin(&mut self, stages: &[Stage]) -> StageReuse {
        let mut reuse = StageReuse::default();
        for stage in stages {
            let list =
                if self.has_cache_for(stage) { &mut reuse.reused } else { &mut reuse.rebuilt };
            list.push(stage.clone());
        }
        self.last_stages = stages.to_vec();
        reuse
    }

    /// Records a failed server, to be excluded from all later attempts of the request.
    pub fn server_failed(&mut self, server: &str) {
        self.failed.insert(server.to_string());
    }

    /// Servers that failed and are excluded.
    pub fn failed(&self) -> &BTreeSet<String> {
        &self.failed
    }

    /// Stages of the last attempt.
    pub fn last_stages(&self) -> &[Stage] {
        &self.last_stages
    }

    fn has_cache_for(&self, stage: &Stage) -> bool {
        let is_usable = !self.failed.contains(&stage.server);
        is_usable
            && self.last_stages.iter().any(|old| {
                old.server == stage.server
                    && old.layer_from <= stage.layer_from
                    && stage.layer_to <= old.layer_to
            })
    }
}
