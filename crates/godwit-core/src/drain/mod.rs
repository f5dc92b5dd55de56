//! Which backend servers may get new work: the host list, silence and operators' drains together.

mod availability;

pub use availability::ServerAvailability;
