//! Rate limits of workspaces and kinds over the whole fleet, and the retry budget of a host.

mod rate;
mod retry;

pub use rate::{RateKey, RateLimitExceeded, RateLimits};
pub use retry::RetryBudget;
