//! What a stand-in ran, as the oracle of tests.

use std::collections::VecDeque;
use std::sync::Mutex;

use godwit_schema::engine::{JournalAction, JournalEntry};

use crate::http::{ConnectionAction, Responder};
use crate::time::{lock, unix_now_ms};

/// Which request a journal entry is about.
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

/// The newest entries of a stand-in, up to a limit.
#[derive(Debug)]
pub(crate) struct Journal {
    server: String,
    limit: usize,
    entries: Mutex<Entries>,
}

impl Journal {
    /// An empty journal that keeps `limit` entries.
    pub(crate) fn new(server: &str, limit: usize) -> Journal {
        Journal { server: server.to_string(), limit, entries: Mutex::default() }
    }

    /// Adds an entry; the oldest goes when the journal is full.
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

    /// All kept entries, oldest first.
    pub(crate) fn entries(&self) -> Vec<JournalEntry> {
        lock(&self.entries).kept.iter().cloned().collect()
    }

    /// Entries that went because the journal was full.
    pub(crate) fn dropped(&self) -> u64 {
        lock(&self.entries).dropped
    }
}

/// Answers `GET /journal`; the header `Godwit-Journal-Dropped` counts the entries that went.
pub(crate) fn answer(journal: &Journal, responder: &Responder<'_>) -> ConnectionAction {
    let header = format!("Godwit-Journal-Dropped: {}", journal.dropped());
    responder.json_with_header(200, Some(&header), &journal.entries())
}
