//! A store with versions and conditional updates, some of which land late.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwit_core::UnixMs;
use godwit_core::ledger::{ReadResult, SliceName, WriteResult};
use godwit_schema::ledger::LedgerSlice;

use crate::PlantedFault;

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    AnswerLost,
    LandsLate,
    NotSent,
    Limited,
}

/// A conditional update.
#[derive(Clone, Debug)]
pub(crate) struct Update {
    pub(crate) slice: SliceName,
    pub(crate) if_version: u64,
    pub(crate) value: Arc<LedgerSlice>,
}

#[derive(Debug)]
pub(crate) struct Store {
    objects: BTreeMap<SliceName, (u64, LedgerSlice)>,
    newest_version: u64,
    late: Vec<Update>,
    fault: PlantedFault,
}

impl Store {
    pub(crate) fn new(fault: PlantedFault) -> Store {
        Store { objects: BTreeMap::new(), newest_version: 0, late: Vec::new(), fault }
    }

    pub(crate) fn read(&self, slice: &SliceName, fate: Fate, now: UnixMs) -> ReadResult {
        match (fate, self.objects.get(slice)) {
            (Fate::Limited, _) => ReadResult::Refused { retry_at: now.plus_ms(10) },
            (Fate::Answered, Some((version, value))) => {
                ReadResult::Found { version: *version, value: value.clone() }
            }
            (Fate::Answered, None) => ReadResult::Absent,
            _ => ReadResult::Failed,
        }
    }

    pub(crate) fn write(&mut self, update: Update, fate: Fate, now: UnixMs) -> WriteResult {
        match fate {
            Fate::Answered => self.apply(&update),
            Fate::NotSent => WriteResult::NotSent,
            Fate::Limited => WriteResult::Refused { retry_at: now.plus_ms(10) },
            Fate::AnswerLost => {
                self.apply(&update);
                self.unknown()
            }
            Fate::LandsLate => {
                self.late.push(update);
                self.unknown()
            }
        }
    }

    /// Keeps an update whose sender is gone.
    pub(crate) fn delay(&mut self, update: Update) {
        self.late.push(update);
    }

    /// Lets one delayed update take effect, if its version still fits.
    pub(crate) fn land(&mut self, pick: usize) {
        if !self.late.is_empty() {
            let update = self.late.remove(pick % self.late.len());
            self.apply(&update);
        }
    }

    pub(crate) fn land_all(&mut self) {
        while !self.late.is_empty() {
            self.land(0);
        }
    }

    fn apply(&mut self, update: &Update) -> WriteResult {
        let version = self.objects.get(&update.slice).map_or(0, |(version, _)| *version);
        if version != update.if_version && self.fault != PlantedFault::NoVersionCheck {
            return WriteResult::Conflict;
        }
        self.newest_version += 1;
        let object = (self.newest_version, LedgerSlice::clone(&update.value));
        self.objects.insert(update.slice.clone(), object);
        WriteResult::Written { version: self.newest_version }
    }

    fn unknown(&self) -> WriteResult {
        match self.fault {
            PlantedFault::GrantOnUnknown => WriteResult::Written { version: self.newest_version },
            PlantedFault::NoReadBack => WriteResult::NotSent,
            PlantedFault::None | PlantedFault::NoVersionCheck => WriteResult::Unknown,
        }
    }
}
