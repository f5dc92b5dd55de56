//! Copies of the objects of a store that a few hosts of each failure domain read from it and pass on to the others.

mod objects;
mod readers;

pub use objects::{
    AcceptOutcome, AppliedChanges, ObjectReplica, ReplicaChanges, ReplicaDigest, ReplicaGap,
    StoredObject, WatchEvent, changes_of_watch,
};
pub use readers::{
    Candidate, ReadPlan, ReaderLimits, ReaderSelection, SkipLimits, Trouble, ranked_readers,
};
