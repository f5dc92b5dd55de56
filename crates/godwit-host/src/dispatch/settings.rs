//! Timeouts and limits of a dispatch.

/// Timeouts and limits of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// Minimum time without an event, in milliseconds, after which a server counts as silent; longer if the server is
    /// expected to be slower.
    pub silent_after_ms: u64,
    /// Multiple of the expected wait after which a server counts as silent.
    pub expected_wait_factor: u64,
    /// Timeout of the probes of servers, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum size of the answer of a plain service, in bytes.
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
    /// Time without an event after which a server counts as silent, for an event expected after `expected_ms`.
    pub fn silence_timeout_ms(&self, expected_ms: u64) -> u64 {
        self.silent_after_ms.max(expected_ms.saturating_mul(self.expected_wait_factor))
    }
}
