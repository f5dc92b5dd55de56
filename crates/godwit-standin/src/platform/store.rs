//! Object store with conditional updates and one version counter for all objects.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use godwit_schema::platform::{ListReply, ObjectHead, ObjectReply, WatchReply};
use serde_json::Value;

#[derive(Debug)]
struct Object {
    version: u64,
    value: Option<Arc<Value>>,
}

/// Failed conditional update: the expected version is not the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Conflict {
    /// Current version; 0 if the object does not exist.
    pub(crate) version: u64,
}

/// All objects. A deleted object stays as a tombstone, so that watches report the deletion.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    objects: BTreeMap<String, Object>,
}

impl Store {
    /// Reads an object; returns `None` if it does not exist.
    pub(crate) fn read(&self, name: &str) -> Option<ObjectReply> {
        let object = self.objects.get(name)?;
        let value = object.value.as_deref()?.clone();
        Some(ObjectReply { name: name.to_string(), version: object.version, value })
    }

    /// Writes (`Some`) or deletes (`None`) an object if it has the expected version; returns its new version.
    pub(crate) fn update(
        &mut self,
        name: &str,
        expected_version: u64,
        value: Option<Value>,
    ) -> Result<u64, Conflict> {
        let version = self.current_version(name);
        let deletes_missing_object = version == 0 && value.is_none();
        if version != expected_version || deletes_missing_object {
            return Err(Conflict { version });
        }
        self.revision += 1;
        let object = Object { version: self.revision, value: value.map(Arc::new) };
        self.objects.insert(name.to_string(), object);
        Ok(self.revision)
    }

    /// Lists name and version of the objects whose names start with `prefix`.
    pub(crate) fn list(&self, prefix: &str) -> ListReply {
        let existing =
            self.objects_with_prefix(prefix).filter(|(_, object)| object.value.is_some());
        let objects = existing.map(|(name, object)| object_head(name, object)).collect();
        ListReply { revision: self.revision, objects }
    }

    /// Lists the objects whose names start with `prefix` and that changed after revision `after`.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> WatchReply {
        let changed = self.objects_with_prefix(prefix).filter(|(_, object)| object.version > after);
        let changes = changed.map(|(name, object)| object_head(name, object)).collect();
        WatchReply { revision: self.revision, changes }
    }

    fn current_version(&self, name: &str) -> u64 {
        let object = self.objects.get(name).filter(|object| object.value.is_some());
        object.map_or(0, |object| object.version)
    }

    fn objects_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Object)> {
        let bounds = (Bound::Included(prefix), Bound::Unbounded);
        let from_prefix = self.objects.range::<str, _>(bounds);
        from_prefix.take_while(move |(name, _)| name.starts_with(prefix))
    }
}

fn object_head(name: &str, object: &Object) -> ObjectHead {
    let version = if object.value.is_some() { object.version } else { 0 };
    ObjectHead { name: name.to_string(), version }
}
