//! Objects of a store as held by a host; a lower version never replaces a higher one.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use godwit_schema::platform::ObjectHead;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use siphasher::sip::SipHasher13;

use crate::replica::changes::{AppliedChanges, ReplicaChanges, ReplicaGap};

/// Object of a store or its deletion, as held by a host.
///
/// A deleted object is kept with the version of its deletion as a tombstone, so that a neighbour that does not
/// know of the deletion cannot restore the object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredObject {
    /// Name of the object.
    pub name: String,
    /// Version of the object or of its deletion.
    pub version: u64,
    /// Value as JSON text; `None` when the object is deleted.
    pub text: Option<String>,
}

impl StoredObject {
    /// Returns the name and version.
    pub fn head(&self) -> ObjectHead {
        ObjectHead { name: self.name.clone(), version: self.version }
    }
}

/// Result of offering an object to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptOutcome {
    /// The object was newer than the held one and has replaced it.
    Newer,
    /// The object has the held version, or is another deletion of an object already held as deleted.
    Same,
    /// The object was older than what is held or known, and was dropped.
    Older,
}

/// Digest of the active objects, those that are not deleted; sent in heartbeats.
///
/// Hosts with the same objects have the same digest, regardless of the deletions known to them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaDigest {
    /// Highest version among the active objects.
    pub highest_version: u64,
    /// Hash over the names and versions of all active objects.
    pub hash: u64,
}

/// Objects of a store, as one host holds them.
///
/// ```
/// use godwit_core::replica::{AcceptOutcome, ObjectReplica};
/// use serde_json::json;
/// let mut store = ObjectReplica::default();
/// assert_eq!(store.accept("config/fleet", 7, Some(&json!({}))), AcceptOutcome::Newer);
/// assert_eq!(store.accept("config/fleet", 6, None), AcceptOutcome::Older);
/// assert_eq!(store.digest().highest_version, 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ObjectReplica {
    objects: BTreeMap<String, StoredObject>,
    complete_revision: u64,
    /// Revision up to which deletions may be missing.
    forgotten_deletion: u64,
    /// Whether changes are missing, so that only a listing may be applied.
    needs_listing: bool,
}

impl ObjectReplica {
    /// Offers an object, or its deletion when `value` is `None`.
    pub fn accept(&mut self, name: &str, version: u64, value: Option<&Value>) -> AcceptOutcome {
        self.accept_stored(StoredObject {
            name: name.to_string(),
            version,
            text: value.map(Value::to_string),
        })
    }

    /// Offers an object in the form in which hosts exchange objects.
    pub fn accept_stored(&mut self, offered: StoredObject) -> AcceptOutcome {
        let held_version = self.version(&offered.name);
        if offered.version <= self.complete_revision && held_version != Some(offered.version) {
            // Nothing up to `complete_revision` is missing here, so the offered version was replaced or deleted.
            return AcceptOutcome::Older;
        }
        if held_version.is_some_and(|held| offered.version < held) {
            return AcceptOutcome::Older;
        }
        let is_deleted = self.objects.get(&offered.name).is_some_and(|held| held.text.is_none());
        if held_version == Some(offered.version) || (is_deleted && offered.text.is_none()) {
            return AcceptOutcome::Same;
        }
        self.objects.insert(offered.name.clone(), offered);
        AcceptOutcome::Newer
    }

    /// Applies a complete listing of the platform's store at `revision`: an object held with a version up to `revision`
    /// but not listed was deleted.
    ///
    /// Returns the names of the objects whose listed version is newer than the held one, and the number of objects
    /// marked as deleted.
    pub fn accept_listing(&mut self, revision: u64, listed: &[ObjectHead]) -> (Vec<String>, usize) {
        let names = listed.iter().map(|head| head.name.as_str()).collect();
        let deleted = self.delete_unlisted(revision, &names).len();
        (self.outdated_names(listed), deleted)
    }

    /// Marks the objects held with a version up to `revision` that a listing at that revision lacks as deleted, and returns
    /// their names.
    fn delete_unlisted(&mut self, revision: u64, listed: &BTreeSet<&str>) -> Vec<String> {
        let is_deleted = |stored: &&mut StoredObject| {
            let is_unlisted = !listed.contains(stored.name.as_str());
            is_unlisted && stored.text.is_some() && stored.version <= revision
        };
        let deleted = self.objects.values_mut().filter(is_deleted).map(|stored| {
            stored.version = revision;
            stored.text = None;
            stored.name.clone()
        });
        deleted.collect()
    }

    /// Records that no object or deletion up to `revision` is missing.
    ///
    /// The caller has either read everything in the listing of the platform's store at `revision`, or has taken
    /// everything newer from a neighbour that misses nothing up to `revision`. `seen` holds the objects that the
    /// listing or the neighbour took into account. Nothing is recorded if another object with a version up to
    /// `revision` has been accepted in the meantime.
    pub fn mark_complete(&mut self, revision: u64, seen: &[ObjectHead]) {
        let seen: BTreeSet<&str> = seen.iter().map(|head| head.name.as_str()).collect();
        let mut old = self.objects.values().filter(|stored| stored.version <= revision);
        if old.all(|stored| stored.text.is_none() || seen.contains(stored.name.as_str())) {
            self.complete_revision = self.complete_revision.max(revision);
        }
    }

    /// Highest revision up to which nothing is missing, as recorded by [`ObjectReplica::mark_complete`].
    pub fn complete_revision(&self) -> u64 {
        self.complete_revision
    }

    /// Newest revision of the platform's store known from a held version or a complete revision.
    pub fn newest_known_revision(&self) -> u64 {
        let highest = self.objects.values().map(|stored| stored.version).max();
        self.complete_revision.max(highest.unwrap_or(0))
    }

    /// Names of the objects that are held in an older version than in `heads`, or not at all.
    pub fn outdated_names(&self, heads: &[ObjectHead]) -> Vec<String> {
        let is_newer =
            |head: &&ObjectHead| self.version(&head.name).is_none_or(|v| v < head.version);
        heads.iter().filter(is_newer).map(|head| head.name.clone()).collect()
    }

    /// Held version of an object or of its deletion.
    pub fn version(&self, name: &str) -> Option<u64> {
        self.objects.get(name).map(|stored| stored.version)
    }

    /// Returns the held object or deletion with this name.
    pub fn get(&self, name: &str) -> Option<&StoredObject> {
        self.objects.get(name)
    }

    /// Iterates over all held objects and deletions, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &StoredObject> {
        self.objects.values()
    }

    /// Objects and deletions that are newer than those of a neighbour that holds `heads`, including the deletions that
    /// follow from the complete revision.
    pub fn objects_newer_than(&self, heads: &[ObjectHead]) -> Vec<StoredObject> {
        let neighbour_versions: BTreeMap<&str, u64> =
            heads.iter().map(|head| (head.name.as_str(), head.version)).collect();
        let is_newer = |stored: &&StoredObject| {
            neighbour_versions
                .get(stored.name.as_str())
                .is_none_or(|version| *version < stored.version)
        };
        let newer = self.objects.values().filter(is_newer).cloned();
        newer.chain(heads.iter().filter_map(|head| self.deletion(head))).collect()
    }

    /// Deletion of an object that a neighbour holds, if the object must have been deleted because it is not held here
    /// although nothing up to a later revision is missing.
    fn deletion(&self, head: &ObjectHead) -> Option<StoredObject> {
        let held = self.objects.get(&head.name);
        let is_unknown =
            held.is_none_or(|stored| stored.text.is_none() && stored.version < head.version);
        (is_unknown && head.version < self.complete_revision).then(|| StoredObject {
            name: head.name.clone(),
            version: self.complete_revision,
            text: None,
        })
    }

    /// Names and versions of all held objects and deletions.
    pub fn heads(&self) -> Vec<ObjectHead> {
        self.objects.values().map(StoredObject::head).collect()
    }

    /// Returns what a host that misses nothing up to `revision` needs to miss nothing up to the complete revision of this
    /// one: the later changes, or all objects if deletions since then are no longer held. None if the other host knows
    /// more.
    ///
    /// ```
    /// use godwit_core::replica::{ObjectReplica, ReplicaChanges, StoredObject};
    /// let text = Some("{}".to_string());
    /// let object = StoredObject { name: "s-1".to_string(), version: 7, text };
    /// let mut reader = ObjectReplica::default();
    /// reader.apply(&ReplicaChanges::listing(9, vec![object])).unwrap();
    /// let mut follower = ObjectReplica::default();
    /// let applied = follower.apply(&reader.changes_since(0).unwrap()).unwrap();
    /// assert_eq!(applied.changed, ["s-1"]);
    /// assert_eq!(follower.complete_revision(), 9);
    /// assert_eq!(follower.changes_since(10), None);
    /// ```
    pub fn changes_since(&self, revision: u64) -> Option<ReplicaChanges> {
        if revision > self.complete_revision {
            return None;
        }
        let is_listing = revision == 0 || revision < self.forgotten_deletion;
        let from_revision = if is_listing { 0 } else { revision };
        let is_included = |stored: &&StoredObject| {
            if is_listing { stored.text.is_some() } else { stored.version > from_revision }
        };
        Some(ReplicaChanges {
            from_revision,
            to_revision: self.complete_revision,
            objects: self.objects.values().filter(is_included).cloned().collect(),
            digest: Some(self.digest()),
        })
    }

    /// Returns the revision after which changes are needed; 0 if a listing is.
    pub fn next_from_revision(&self) -> u64 {
        if self.needs_listing { 0 } else { self.complete_revision }
    }

    /// Records that changes after the complete revision cannot be had any more, so that a listing is needed.
    pub fn require_listing(&mut self) {
        self.needs_listing = true;
    }

    /// Applies changes that were read from the platform's store or received from another host. Changes that end before
    /// the complete revision have no effect.
    ///
    /// # Errors
    /// When changes before the given ones are missing. Nothing is applied then, and a listing is needed.
    pub fn apply(&mut self, changes: &ReplicaChanges) -> Result<AppliedChanges, ReplicaGap> {
        if changes.to_revision < self.complete_revision {
            return Ok(AppliedChanges::default());
        }
        let changed = if changes.from_revision == 0 {
            self.needs_listing = false;
            // Objects that were deleted before are not in the listing.
            self.forgotten_deletion = changes.to_revision;
            self.replace_all(changes)
        } else if changes.from_revision > self.next_from_revision() {
            self.needs_listing = true;
            return Err(ReplicaGap {
                complete_revision: self.complete_revision,
                from_revision: changes.from_revision,
            });
        } else {
            let mut changed = BTreeSet::new();
            for offered in &changes.objects {
                if self.accept_stored(offered.clone()) == AcceptOutcome::Newer {
                    changed.insert(offered.name.clone());
                }
            }
            changed
        };
        self.complete_revision = changes.to_revision;
        let is_diverged = changes.digest.is_some_and(|digest| digest != self.digest());
        self.needs_listing |= is_diverged;
        Ok(AppliedChanges { changed: changed.into_iter().collect(), is_diverged })
    }

    /// Replaces the held objects by a complete listing, which may also repair objects that should be held already.
    fn replace_all(&mut self, listing: &ReplicaChanges) -> BTreeSet<String> {
        let listed = listing.objects.iter().map(|object| object.name.as_str()).collect();
        let deleted = self.delete_unlisted(listing.to_revision, &listed);
        let mut changed: BTreeSet<String> = deleted.into_iter().collect();
        for offered in &listing.objects {
            let held = self.objects.get(&offered.name);
            let is_newer = held.is_none_or(|held| {
                held.version < offered.version
                    || (held.version == offered.version && held.text.is_none())
            });
            if is_newer {
                self.objects.insert(offered.name.clone(), offered.clone());
                changed.insert(offered.name.clone());
            }
        }
        changed
    }

    /// Forgets all but the `keep` latest deletions.
    pub fn forget_deletions(&mut self, keep: usize) {
        let deletions = self.objects.values().filter(|stored| stored.text.is_none());
        let mut versions: Vec<u64> = deletions.map(|stored| stored.version).collect();
        if versions.len() <= keep {
            return;
        }
        versions.sort_unstable_by(|one, other| other.cmp(one));
        let forgotten = versions[keep];
        self.forgotten_deletion = self.forgotten_deletion.max(forgotten);
        self.objects.retain(|_, stored| stored.text.is_some() || stored.version > forgotten);
    }

    /// Computes the digest of the active objects.
    pub fn digest(&self) -> ReplicaDigest {
        let mut hasher = SipHasher13::new();
        let mut highest_version = 0;
        for stored in self.objects.values().filter(|stored| stored.text.is_some()) {
            hasher.write(stored.name.as_bytes());
            hasher.write_u64(stored.version);
            highest_version = highest_version.max(stored.version);
        }
        ReplicaDigest { highest_version, hash: hasher.finish() }
    }
}
