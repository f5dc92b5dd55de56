//! Changes of objects, as they are read from the store and passed from host to host.

use serde::{Deserialize, Serialize};

use crate::replica::objects::{ReplicaDigest, StoredObject};

/// Changes of objects over a range of revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaChanges {
    /// Revision after which the changes begin. With 0 they are a listing of all objects.
    pub from_revision: u64,
    /// Revision up to which no change is missing.
    pub to_revision: u64,
    /// Changed objects and deletions, in order if they contain an object twice.
    pub objects: Vec<StoredObject>,
    /// Digest of all active objects at `to_revision`, if the sender holds them.
    pub digest: Option<ReplicaDigest>,
}

impl ReplicaChanges {
    /// Returns a listing of all objects at a revision.
    pub fn listing(revision: u64, objects: Vec<StoredObject>) -> ReplicaChanges {
        ReplicaChanges { from_revision: 0, to_revision: revision, objects, digest: None }
    }
}

/// Result of [`ObjectReplica::apply`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AppliedChanges {
    /// Names of the objects that were replaced or deleted.
    pub changed: Vec<String>,
    /// Whether the held objects differ from those of the sender, so that a listing is needed.
    pub is_diverged: bool,
}

/// Changes are missing between those that are held and those that were offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("changes after revision {complete_revision} up to {from_revision} are missing")]
pub struct ReplicaGap {
    /// Revision up to which nothing is missing.
    pub complete_revision: u64,
    /// Revision after which the offered changes begin.
    pub from_revision: u64,
}

/// Event of a watch: an object was written or removed.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The object was written.
    Written(StoredObject),
    /// The object was removed; the event does not tell at which revision.
    Removed {
        /// Name of the object.
        name: String,
    },
}

/// Converts the events of a watch, in their order, into changes. A removal counts as late as the next event allows, so
/// that all readers of the same removal order it alike among the other changes of the object.
///
/// ```
/// use godwit_core::replica::{StoredObject, WatchEvent, changes_of_watch};
/// let written = StoredObject { name: "s-1".to_string(), version: 8, text: Some("{}".to_string()) };
/// let removed = WatchEvent::Removed { name: "s-1".to_string() };
/// let changes = changes_of_watch(5, 9, vec![removed, WatchEvent::Written(written)]);
/// assert_eq!(changes.objects[0].version, 7);
/// ```
pub fn changes_of_watch(
    from_revision: u64,
    to_revision: u64,
    events: Vec<WatchEvent>,
) -> ReplicaChanges {
    let mut latest_revision = to_revision;
    let mut objects = Vec::new();
    for event in events.into_iter().rev() {
        match event {
            WatchEvent::Written(object) => {
                latest_revision = object.version.saturating_sub(1);
                objects.push(object);
            }
            WatchEvent::Removed { name } => {
                objects.push(StoredObject { name, version: latest_revision, text: None });
            }
        }
    }
    objects.reverse();
    ReplicaChanges { from_revision, to_revision, objects, digest: None }
}
