//! Membership: heartbeats among the hosts of a failure domain, and delegates between failure domains.

mod detector;
mod discovery;
mod message;
mod packing;
mod receiving;
mod record;
mod ring;
mod settings;
mod state;
mod summaries;
mod table;
mod wire;

pub use message::{Gossip, MemberAction, MemberEvent, Purpose};
pub use record::{Liveness, MemberRecord, Phase};
pub use settings::MemberSettings;
pub use state::Member;
