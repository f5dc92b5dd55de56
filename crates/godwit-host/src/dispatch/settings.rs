//! Bounds of a dispatch.

/// Bounds of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// A server that sends nothing for this long is given up, unless it is expected to be slower.
    pub silent_after_ms: u64,
    /// A server is given up after this many times the expected wait.
    pub expected_wait_factor: u64,
    /// Wait for the answer of a probe of the stages of a silent plan.
    pub probe_timeout_ms: u64,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Most bytes of the answer of a plain service.
    pub max_service_answer_bytes: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            silent_after_ms: 700,
            expected_wait_factor: 8,
            probe_timeout_ms: 150,
            max_attempts: 8,
            max_service_answer_bytes: 4 * 1024 * 1024,
        }
    }
}

impl DispatchSettings {
    /// How long to wait for an event that is expected after `expected_ms`.
    pub fn silence_timeout_ms(&self, expected_ms: u64) -> u64 {
        self.silent_after_ms.max(expected_ms.saturating_mul(self.expected_wait_factor))
    }
}
