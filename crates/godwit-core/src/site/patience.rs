//! How long a stream may stay silent before it is looked into.

/// Silence before the first event that is normal under any load, in milliseconds.
const FIRST_FLOOR_MS: f64 = 250.0;

/// Pause between events that is normal under any load, in milliseconds.
const GAP_FLOOR_MS: f64 = 250.0;

/// Factor on what was predicted.
const FACTOR: f64 = 3.0;

/// Longest silence that is not looked into, in milliseconds.
const LONGEST_MS: f64 = 1_500.0;

/// Silence before the first event after which the stream is looked into, in milliseconds.
///
/// ```
/// assert_eq!(godwit_core::site::first_patience_ms(100.0), 550);
/// ```
pub fn first_patience_ms(predicted_ms: f64) -> u64 {
    (FIRST_FLOOR_MS + FACTOR * predicted_ms).min(LONGEST_MS) as u64
}

/// Pause between events after which the stream is looked into, in milliseconds.
///
/// ```
/// assert_eq!(godwit_core::site::gap_patience_ms(30.0), 340);
/// ```
pub fn gap_patience_ms(predicted_ms: f64) -> u64 {
    (GAP_FLOOR_MS + FACTOR * predicted_ms).min(LONGEST_MS) as u64
}
