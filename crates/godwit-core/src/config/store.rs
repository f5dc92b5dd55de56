//! The configuration objects that a host holds: a lower version never replaces a higher one.

use std::collections::BTreeMap;
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

/// Short form of all versions held, for heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDigest {
    /// Highest version held.
    pub highest_version: u64,
    /// Hash over all names and versions.
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
        if held_version.is_some_and(|held| offered.version < held) {
            return Accepted::Older;
        }
        if held_version == Some(offered.version) {
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
        self.objects.values().filter(is_newer).cloned().collect()
    }

    /// Names and versions of all objects and deletions held.
    pub fn heads(&self) -> Vec<ObjectHead> {
        let head =
            |stored: &Stored| ObjectHead { name: stored.name.clone(), version: stored.version };
        self.objects.values().map(head).collect()
    }

    /// Short form of all versions held.
    pub fn digest(&self) -> ConfigDigest {
        let mut hasher = SipHasher13::new();
        for stored in self.objects.values() {
            hasher.write(stored.name.as_bytes());
            hasher.write_u64(stored.version);
        }
        let highest_version = self.objects.values().map(|stored| stored.version).max();
        ConfigDigest { highest_version: highest_version.unwrap_or(0), hash: hasher.finish() }
    }
}
