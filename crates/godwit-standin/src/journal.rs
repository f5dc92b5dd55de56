//! Journal of what a stand-in ran; tests use it as their oracle.

use std::collections::VecDeque;
use std::sync::Mutex;

use godwit_schema::engine::{JournalAction, JournalEntry};

use crate::http::{ConnectionAction, Responder};
use crate::time::{lock, unix_now_ms};

/// Request, attempt and position that a journal entry describes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Subject<'a> {
    pub(crate) request_id: Option<&'a str>,
    pub(crate) idempotency_key: Option<&'a str>,
    pub(crate) attempt: Option<u32>,
    pub(crate) position: Option<u32>,
    pub(crate) layers: Option<(u32, u32)>,
}

#[derive(Debug, Default)]
struct Entries {
    kept: VecDeque<JournalEntry>,
    dropped: u64,
}

/// Newest journal entries of a stand-in, up to a limit.
#[derive(Debug)]
pub(crate) struct Journal {
    server: String,
    limit: usize,
    entries: Mutex<Entries>,
}

impl Journal {
    /// Creates an empty journal that keeps `limit` entries.
    pub(crate) fn new(server: &str, limit: usize) -> Journal {
        Journal { server: server.to_string(), limit, entries: Mutex::default() }
    }

    /// Adds an entry; drops the oldest one if the journal is full.
    pub(crate) fn add(&self, action: JournalAction, subject: Subject<'_>, detail: Option<String>) {
        let entry = JournalEntry {
            at_unix_ms: unix_now_ms(),
            server: self.server.clone(),
            request_id: subject.request_id.map(str::to_string),
            idempotency_key: subject.idempotency_key.map(str::to_string),
            attempt: subject.attempt,
            position: subject.position,
            layers: subject.layers.map(|(from, to)| vec![from, to]).unwrap_or_default(),
            action,
            detail,
        };
        let mut entries = lock(&self.entries);
        if entries.kept.len() >= self.limit {
            entries.kept.pop_front();
            entries.dropped += 1;
        }
        entries.kept.push_back(entry);
    }

    /// Returns the kept entries, oldest first.
    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        lock(&self.entries).kept.iter().cloned().collect()
    }

    /// Count of entries dropped because the journal was full.
    pub(crate) fn dropped(&self) -> u64 {
        lock(&self.entries).dropped
    }
}

/// Responds to `GET /journal`; the header `Godwit-Journal-Dropped` holds the count of dropped entries.
pub(crate) fn respond(journal: &Journal, responder: &Responder<'_>) -> ConnectionAction {
    let header = format!("Godwit-Journal-Dropped: {}", journal.dropped());
    responder.json_with_header(200, Some(&header), &journal.entries())
}
