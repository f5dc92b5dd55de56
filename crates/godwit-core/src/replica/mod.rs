//! Copies of the objects of a store that a few hosts of each failure domain read from it and pass on to the others.

mod changes;
mod confirmation_pace;
mod confirmations;
mod fallback;
mod followed_clock;
mod list_cursor;
mod objects;
mod position;
mod readers;

pub use changes::{AppliedChanges, ReplicaChanges, ReplicaGap, WatchEvent, changes_of_watch};
pub use confirmation_pace::{AgeLimits, ConfirmationPace};
pub use confirmations::{ConfirmationLimits, Confirmations, OverdueChange, StoreCall};
pub use fallback::{Fallback, FallbackLimits, MAX_NOTIFIED_HOSTS};
pub use followed_clock::FollowedClock;
pub use list_cursor::{ListCursor, ListStalled};
pub use objects::{AcceptOutcome, ObjectReplica, ReplicaDigest, StoredObject};
pub use position::{StorePosition, fencing_number};
pub use readers::{
    FallbackCall, OfferReceipt, ReadPlan, ReaderLimits, ReaderSelection, SkipLimits, Trouble,
    sort_readers,
};
