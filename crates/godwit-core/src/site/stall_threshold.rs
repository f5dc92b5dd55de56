//! Durations of silence after which a stream is checked for stalled servers.

/// Silence before the first event that is normal under any load, in milliseconds; added to the scaled prediction.
const FIRST_EVENT_BASE_MS: f64 = 250.0;

/// Gap between events that is normal under any load, in milliseconds; added to the scaled prediction.
const EVENT_GAP_BASE_MS: f64 = 250.0;

/// Factor on the predicted time.
const PREDICTION_FACTOR: f64 = 3.0;

/// Upper bound of both thresholds, in milliseconds.
const MAX_THRESHOLD_MS: f64 = 1_500.0;

/// Silence before the first event after which a stream is checked for a stall, in milliseconds.
///
/// ```
/// assert_eq!(godwit_core::site::first_event_stall_threshold_ms(100.0), 550);
/// ```
pub fn first_event_stall_threshold_ms(predicted_ms: f64) -> u64 {
    (FIRST_EVENT_BASE_MS + PREDICTION_FACTOR * predicted_ms).min(MAX_THRESHOLD_MS) as u64
}

/// Gap between events after which a stream is checked for a stall, in milliseconds.
///
/// ```
/// assert_eq!(godwit_core::site::event_gap_stall_threshold_ms(30.0), 340);
/// ```
pub fn event_gap_stall_threshold_ms(predicted_ms: f64) -> u64 {
    (EVENT_GAP_BASE_MS + PREDICTION_FACTOR * predicted_ms).min(MAX_THRESHOLD_MS) as u64
}
