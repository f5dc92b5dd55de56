//! Limits of rate: for workspaces and kinds over the whole fleet, and for retries.

mod rate;
mod retry;

pub use rate::{RateExceeded, RateKey, RateLimits};
pub use retry::RetryBudget;
