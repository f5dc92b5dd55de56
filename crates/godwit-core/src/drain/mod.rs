//! Availability of backend servers for new work, from the host list, silence notices and operators' drains.

mod availability;

pub use availability::ServerAvailability;
