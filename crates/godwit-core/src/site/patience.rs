//! How long a stream may stay silent before it is looked into.

/// Silence before the first event that is normal under any load, in milliseconds.
const FIRST_FLOOR_MS: f64 = 250.0;

/// Pause between events that is normal under any load, in milliseconds.
const GAP_FLOOR_MS: f64 = 250.0;

/// The same while a server of the path is known to have failed another request, in milliseconds.
const SUSPECT_FLOOR_MS: f64 = 60.0;

/// Factor on the predicted pause in that case.
const SUSPECT_FACTOR: f64 = 2.0;

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

/// Pause between events after which a stream is moved off a server that failed another request meanwhile, in
/// milliseconds.
///
/// ```
/// assert_eq!(godwit_core::site::suspect_patience_ms(30.0), 120);
/// ```
pub fn suspect_patience_ms(predicted_ms: f64) -> u64 {
    (SUSPECT_FLOOR_MS + SUSPECT_FACTOR * predicted_ms).min(LONGEST_MS) as u64
}
