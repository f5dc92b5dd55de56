//! Objects of the store that cannot be read, which other writers may leave there.

use std::fmt::Display;

use tracing::warn;

use crate::replica::ObjectKind;
use crate::site::Site;

/// Names in one line of the log.
pub(crate) const MAX_NAMES: usize = 5;

/// Characters of a name or a cause in the log.
const MAX_TEXT_CHARS: usize = 120;

/// Returns the beginning of a text of which other writers may have written a part.
pub(crate) fn bounded_text(text: &impl Display) -> String {
    text.to_string().chars().take(MAX_TEXT_CHARS).collect()
}

/// Names of objects for a line of the log: how many there are, the first of them, and what is wrong with the first.
#[derive(Default)]
pub(crate) struct NameSample {
    count: usize,
    names: Vec<String>,
    cause: Option<String>,
}

impl NameSample {
    pub(super) fn add(&mut self, name: &str) {
        self.count += 1;
        if self.names.len() < MAX_NAMES {
            self.names.push(bounded_text(&name));
        }
    }

    pub(crate) fn add_with_cause(&mut self, name: &str, cause: &impl Display) {
        self.add(name);
        self.cause.get_or_insert_with(|| bounded_text(cause));
    }

    /// Logs the names, if there are any.
    pub(crate) fn warn(&self, event: &str) {
        if self.count > 0 {
            warn!(event, count = self.count, names = ?self.names, cause = self.cause);
        }
    }

    /// Counts objects whose names cannot be read.
    pub(super) fn add_nameless(&mut self, count: usize) {
        self.count += count;
    }
}

impl Site {
    /// Logs and counts the objects of a kind that could not be read in the store, once for each revision.
    pub(super) fn record_unreadable(&self, kind: ObjectKind, revision: u64, found: &NameSample) {
        let mut logged = self.unreadable_objects.borrow_mut();
        let logged = logged.entry(kind).or_default();
        if found.count == 0 || *logged >= revision {
            return;
        }
        *logged = revision;
        let (kind, count, names) = (kind.name(), found.count, &found.names);
        warn!(event = "objects_unreadable", kind, revision, count, ?names);
        metrics::counter!("objects_unreadable_total", "kind" => kind).increment(count as u64);
    }
}
