//! Attempts of requests: the newest attempt of each request, the positions it has run and its KV cache.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use godwit_schema::engine::RefusalReason;

/// Requests whose attempts are kept; the oldest request is evicted first.
const MAX_REQUESTS: usize = 20_000;

/// Range of layers `[from, to)`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct LayerRange {
    pub(super) from: u32,
    pub(super) to: u32,
}

impl LayerRange {
    pub(super) fn covers(self, other: LayerRange) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

/// Extent of the KV cache of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KvState {
    pub(super) layers: LayerRange,
    /// Tokens of the answer that the KV cache covers.
    pub(super) position: u32,
}

#[derive(Debug, Default)]
struct RequestRecord {
    min_attempt: u32,
    attempt: u32,
    has_stream: bool,
    started_positions: BTreeSet<(u32, LayerRange)>,
    kv: Option<KvState>,
}

impl RequestRecord {
    fn advance(&mut self, attempt: u32) -> Result<(), RefusalReason> {
        if attempt < self.min_attempt {
            return Err(RefusalReason::StaleAttempt);
        }
        if attempt > self.attempt {
            self.has_stream = false;
            self.started_positions.clear();
        }
        self.attempt = attempt;
        self.min_attempt = attempt;
        Ok(())
    }
}

/// Newest attempt of each request, for at most `MAX_REQUESTS` requests.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    records: BTreeMap<String, RequestRecord>,
    arrival_order: VecDeque<String>,
}

impl Attempts {
    /// Starts the stream of an attempt; fails for a second stream of the same attempt.
    pub(super) fn begin_stream(&mut self, id: &str, attempt: u32) -> Result<(), RefusalReason> {
        let record = self.record(id);
        record.advance(attempt)?;
        if record.has_stream {
            return Err(RefusalReason::PositionDone);
        }
        record.has_stream = true;
        Ok(())
    }

    /// Makes `attempt` the current one; fails if a newer attempt was seen or this one was cancelled.
    pub(super) fn advance(&mut self, id: &str, attempt: u32) -> Result<(), RefusalReason> {
        self.record(id).advance(attempt)
    }

    /// Starts one position; fails if the attempt has already run the position through these layers.
    pub(super) fn begin_position(
        &mut self,
        id: &str,
        attempt: u32,
        position: u32,
        layers: LayerRange,
    ) -> Result<(), RefusalReason> {
        let record = self.record(id);
        record.advance(attempt)?;
        if !record.started_positions.insert((position, layers)) {
            return Err(RefusalReason::PositionDone);
        }
        record.kv = Some(KvState { layers, position: position + 1 });
        Ok(())
    }

    /// Whether `attempt` is still the newest and not cancelled.
    pub(super) fn is_current(&self, id: &str, attempt: u32) -> bool {
        self.records.get(id).is_some_and(|r| r.attempt == attempt && r.min_attempt <= attempt)
    }

    /// Cancels all attempts of a request up to and including `attempt`.
    pub(super) fn cancel(&mut self, id: &str, attempt: u32) {
        let record = self.record(id);
        record.min_attempt = record.min_attempt.max(attempt.saturating_add(1));
    }

    /// Returns the extent of the KV cache of a request.
    pub(super) fn kv(&self, id: &str) -> Option<KvState> {
        self.records.get(id)?.kv
    }

    /// Stores the extent of a KV cache that another engine has built.
    pub(super) fn import_kv(&mut self, id: &str, kv: KvState) {
        self.record(id).kv = Some(kv);
    }

    fn record(&mut self, id: &str) -> &mut RequestRecord {
        if !self.records.contains_key(id) {
            self.arrival_order.push_back(id.to_string());
            self.evict_oldest();
        }
        self.records.entry(id.to_string()).or_default()
    }

    fn evict_oldest(&mut self) {
        if self.arrival_order.len() > MAX_REQUESTS
            && let Some(oldest) = self.arrival_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}
