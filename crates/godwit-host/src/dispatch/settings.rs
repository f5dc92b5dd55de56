//! Bounds of a dispatch.

/// Bounds of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// A server that sends nothing for this long is given up, unless it is expected to be slower.
    pub silent_after_ms: u64,
    /// A server is given up after this many times the expected wait.
    pub silent_factor: u64,
    /// Wait for the answer of a probe of the stages of a silent plan.
    pub probe_wait_ms: u64,
    /// Most attempts of one request.
    pub attempts_limit: u32,
    /// Most bytes of the answer of a plain service.
    pub service_answer_limit_bytes: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            silent_after_ms: 700,
            silent_factor: 8,
            probe_wait_ms: 150,
            attempts_limit: 8,
            service_answer_limit_bytes: 4 * 1024 * 1024,
        }
    }
}

impl DispatchSettings {
    /// How long to wait for an event that is expected after `expected_ms`.
    pub fn silent_bound_ms(&self, expected_ms: u64) -> u64 {
        self.silent_after_ms.max(expected_ms.saturating_mul(self.silent_factor))
    }
}
