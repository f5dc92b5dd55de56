//! Lists of the objects of a kind, which the store returns in pages.

use std::collections::BTreeMap;

use godwit_adapter::{decode_listing, list_path};
use godwit_core::replica::{ListCursor, ReplicaChanges, StoredObject};

use crate::replica::ObjectKind;
use crate::site::Site;
use crate::store::list_watch::{StepError, ordinal, stored_object};
use crate::store::unreadable::NameSample;

/// The pages of a list that were read so far.
pub(super) struct PagedListing {
    kind: ObjectKind,
    cursor: ListCursor,
    /// Era of the pages, and the lowest of their revisions. Changes that happen while the list is read come after it.
    position: Option<(u64, u64)>,
    objects: BTreeMap<String, StoredObject>,
    unreadable: NameSample,
}

impl PagedListing {
    pub(super) fn new(kind: ObjectKind) -> PagedListing {
        PagedListing {
            kind,
            cursor: ListCursor::default(),
            position: None,
            objects: BTreeMap::new(),
            unreadable: NameSample::default(),
        }
    }

    /// Returns the path of the call that reads the next page.
    pub(super) fn next_path(&self, may_be_stale: bool) -> String {
        list_path(self.kind.name(), self.cursor.after(), may_be_stale)
    }

    /// Adds the next page, and returns whether another one follows.
    ///
    /// # Errors
    /// When the page cannot be decoded, belongs to another era than the first one, or does not lead on.
    pub(super) fn add_page(&mut self, body: &[u8], page_era: u64) -> Result<bool, StepError> {
        let listing = decode_listing(body).map_err(|error| StepError::Call(error.to_string()))?;
        let (era, revision) = self.position.unwrap_or((page_era, listing.revision));
        if page_era != era {
            return Err(StepError::NewEra);
        }
        self.position = Some((era, revision.min(listing.revision)));
        self.unreadable.add_nameless(listing.without_metadata);
        for object in listing.objects {
            // Pages may overlap.
            if !self.objects.contains_key(&object.name)
                && let Some(stored) = stored_object(self.kind, era, object, &mut self.unreadable)
            {
                self.objects.insert(stored.name.clone(), stored);
            }
        }
        if listing.has_more {
            let names = listing.names.iter().map(Vec::as_slice);
            self.cursor.advance(names).map_err(|error| StepError::Call(error.to_string()))?;
        }
        Ok(listing.has_more)
    }

    /// Returns the whole list, and records what could not be read of it.
    ///
    /// # Errors
    /// When the revision of the list is out of range, or no page was added.
    pub(super) fn finish(self, site: &Site) -> Result<ReplicaChanges, StepError> {
        let position = self.position.ok_or_else(|| StepError::Call("no page was read".into()));
        let (era, revision) = position?;
        let revision = ordinal(era, revision)?;
        site.record_unreadable(self.kind, revision, &self.unreadable);
        Ok(ReplicaChanges::listing(revision, self.objects.into_values().collect()))
    }
}
