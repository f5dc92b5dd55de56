//! The configuration objects that a host holds: a lower version never replaces a higher one.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use godwit_schema::platform::ObjectHead;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use siphasher::sip::SipHasher13;

/// One object as held; a deleted object is kept with the version of its deletion, so that a neighbour that has not
/// heard of the deletion cannot bring it back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stored {
    /// Name of the object.
    pub name: String,
    /// Version of the object or of its deletion.
    pub version: u64,
    /// The value as JSON text; none when the object is deleted.
    pub text: Option<String>,
}

impl Stored {
    /// Name and version.
    pub fn head(&self) -> ObjectHead {
        ObjectHead { name: self.name.clone(), version: self.version }
    }
}

/// What became of an object that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepted {
    /// It is newer and is held now.
    Newer,
    /// It is the version that is held.
    Same,
    /// It is older than what is held, and dropped.
    Older,
}

/// Short form of the objects in force, for heartbeats; two hosts with the same objects have the same digest, whatever
/// they know of deletions.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDigest {
    /// Highest version of an object in force.
    pub highest_version: u64,
    /// Hash over the names and versions of all objects in force.
    pub hash: u64,
}

/// The configuration objects of one host.
///
/// ```
/// use godwit_core::config::{Accepted, ConfigStore};
/// use serde_json::json;
/// let mut store = ConfigStore::default();
/// assert_eq!(store.accept("config/fleet", 7, Some(&json!({}))), Accepted::Newer);
/// assert_eq!(store.accept("config/fleet", 6, None), Accepted::Older);
/// assert_eq!(store.digest().highest_version, 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    objects: BTreeMap<String, Stored>,
    complete_at: u64,
}

impl ConfigStore {
    /// Takes in one object, or its deletion when there is no value.
    pub fn accept(&mut self, name: &str, version: u64, value: Option<&Value>) -> Accepted {
        self.accept_stored(Stored {
            name: name.to_string(),
            version,
            text: value.map(Value::to_string),
        })
    }

    /// Takes in one object in the form in which hosts pass it on.
    pub fn accept_stored(&mut self, offered: Stored) -> Accepted {
        let held_version = self.version(&offered.name);
        if offered.version <= self.complete_at && held_version != Some(offered.version) {
            // Nothing up to there is missing here, so it was replaced or deleted.
            return Accepted::Older;
        }
        if held_version.is_some_and(|held| offered.version < held) {
            return Accepted::Older;
        }
        let is_deleted = self.objects.get(&offered.name).is_some_and(|held| held.text.is_none());
        if held_version == Some(offered.version) || (is_deleted && offered.text.is_none()) {
            return Accepted::Same;
        }
        self.objects.insert(offered.name.clone(), offered);
        Accepted::Newer
    }

    /// Takes in a complete listing of the store at `revision`: what is held with a version up to it but is not listed
    /// was deleted. Returns the names of the objects whose listed version is newer than the one held, and the count
    /// of deletions taken in.
    pub fn accept_listing(&mut self, revision: u64, listed: &[ObjectHead]) -> (Vec<String>, usize) {
        let versions: BTreeMap<&str, u64> =
            listed.iter().map(|head| (head.name.as_str(), head.version)).collect();
        let mut deleted = 0;
        for stored in self.objects.values_mut() {
            let is_gone = !versions.contains_key(stored.name.as_str());
            if is_gone && stored.text.is_some() && stored.version <= revision {
                stored.version = revision;
                stored.text = None;
                deleted += 1;
            }
        }
        (self.older_than(listed), deleted)
    }

    /// Notes that nothing up to `revision` is missing: everything in the store's listing at that revision was read, or
    /// everything newer was taken from a neighbour that misses nothing up to it. `seen` are the objects that the
    /// listing or the neighbour took into account; where another one came in meanwhile, nothing is noted.
    pub fn mark_complete(&mut self, revision: u64, seen: &[ObjectHead]) {
        let seen: BTreeSet<&str> = seen.iter().map(|head| head.name.as_str()).collect();
        let mut old = self.objects.values().filter(|stored| stored.version <= revision);
        if old.all(|stored| stored.text.is_none() || seen.contains(stored.name.as_str())) {
            self.complete_at = self.complete_at.max(revision);
        }
    }

    /// The revision up to which nothing is missing, as of [`ConfigStore::mark_complete`].
    pub fn complete_at(&self) -> u64 {
        self.complete_at
    }

    /// Newest revision of the platform's store of which something is known here.
    pub fn known_up_to(&self) -> u64 {
        let highest = self.objects.values().map(|stored| stored.version).max();
        self.complete_at.max(highest.unwrap_or(0))
    }

    /// Names among `heads` whose version is newer than the one held.
    pub fn older_than(&self, heads: &[ObjectHead]) -> Vec<String> {
        let is_newer =
            |head: &&ObjectHead| self.version(&head.name).is_none_or(|v| v < head.version);
        heads.iter().filter(is_newer).map(|head| head.name.clone()).collect()
    }

    /// Version held of an object or of its deletion.
    pub fn version(&self, name: &str) -> Option<u64> {
        self.objects.get(name).map(|stored| stored.version)
    }

    /// One object as held.
    pub fn get(&self, name: &str) -> Option<&Stored> {
        self.objects.get(name)
    }

    /// All objects and deletions held, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Stored> {
        self.objects.values()
    }

    /// Objects and deletions that are newer than those of a neighbour that holds `heads`.
    pub fn newer_than(&self, heads: &[ObjectHead]) -> Vec<Stored> {
        let theirs: BTreeMap<&str, u64> =
            heads.iter().map(|head| (head.name.as_str(), head.version)).collect();
        let is_newer = |stored: &&Stored| {
            theirs.get(stored.name.as_str()).is_none_or(|version| *version < stored.version)
        };
        let newer = self.objects.values().filter(is_newer).cloned();
        newer.chain(heads.iter().filter_map(|head| self.deletion(head))).collect()
    }

    /// The deletion of an object of which only a neighbour knows, where it must have been deleted.
    fn deletion(&self, head: &ObjectHead) -> Option<Stored> {
        let held = self.objects.get(&head.name);
        let is_unknown =
            held.is_none_or(|stored| stored.text.is_none() && stored.version < head.version);
        (is_unknown && head.version < self.complete_at).then(|| Stored {
            name: head.name.clone(),
            version: self.complete_at,
            text: None,
        })
    }

    /// Names and versions of all objects and deletions held.
    pub fn heads(&self) -> Vec<ObjectHead> {
        self.objects.values().map(Stored::head).collect()
    }

    /// Short form of the objects in force.
    pub fn digest(&self) -> ConfigDigest {
        let mut hasher = SipHasher13::new();
        let mut highest_version = 0;
        for stored in self.objects.values().filter(|stored| stored.text.is_some()) {
            hasher.write(stored.name.as_bytes());
            hasher.write_u64(stored.version);
            highest_version = highest_version.max(stored.version);
        }
        ConfigDigest { highest_version, hash: hasher.finish() }
    }
}
