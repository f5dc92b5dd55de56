//! Store of versioned objects with conditional updates, some of which are applied late.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwit_core::UnixMs;
use godwit_core::ledger::{ReadResult, SliceName, WriteResult};
use godwit_schema::ledger::LedgerSlice;

use crate::InjectedFault;

/// How the store handles a call, and what the caller receives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Answered,
    AnswerLost,
    AppliedLate,
    NotSent,
    RateLimited,
}

/// Update that is applied only if the object still has version `if_version`.
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
    delayed: Vec<Update>,
    fault: InjectedFault,
}

impl Store {
    pub(crate) fn new(fault: InjectedFault) -> Store {
        Store { objects: BTreeMap::new(), newest_version: 0, delayed: Vec::new(), fault }
    }

    pub(crate) fn read(
        &self,
        slice: &SliceName,
        call_outcome: CallOutcome,
        now: UnixMs,
    ) -> ReadResult {
        match (call_outcome, self.objects.get(slice)) {
            (CallOutcome::RateLimited, _) => ReadResult::Refused { retry_at: now.plus_ms(10) },
            (CallOutcome::Answered, Some((version, value))) => {
                ReadResult::Found { version: *version, value: value.clone() }
            }
            (CallOutcome::Answered, None) => ReadResult::Absent,
            _ => ReadResult::Failed,
        }
    }

    pub(crate) fn write(
        &mut self,
        update: Update,
        call_outcome: CallOutcome,
        now: UnixMs,
    ) -> WriteResult {
        match call_outcome {
            CallOutcome::Answered => self.apply(&update),
            CallOutcome::NotSent => WriteResult::NotSent,
            CallOutcome::RateLimited => WriteResult::Refused { retry_at: now.plus_ms(10) },
            CallOutcome::AnswerLost => {
                self.apply(&update);
                self.unknown_result()
            }
            CallOutcome::AppliedLate => {
                self.delayed.push(update);
                self.unknown_result()
            }
        }
    }

    /// Delays an update whose sender has crashed.
    pub(crate) fn delay(&mut self, update: Update) {
        self.delayed.push(update);
    }

    /// Applies one delayed update, if the object still has the expected version.
    pub(crate) fn apply_delayed(&mut self, pick: usize) {
        if !self.delayed.is_empty() {
            let update = self.delayed.remove(pick % self.delayed.len());
            self.apply(&update);
        }
    }

    pub(crate) fn apply_all_delayed(&mut self) {
        while !self.delayed.is_empty() {
            self.apply_delayed(0);
        }
    }

    fn apply(&mut self, update: &Update) -> WriteResult {
        let version = self.objects.get(&update.slice).map_or(0, |(version, _)| *version);
        if version != update.if_version && self.fault != InjectedFault::NoVersionCheck {
            return WriteResult::Conflict;
        }
        self.newest_version += 1;
        let object = (self.newest_version, LedgerSlice::clone(&update.value));
        self.objects.insert(update.slice.clone(), object);
        WriteResult::Written { version: self.newest_version }
    }

    fn unknown_result(&self) -> WriteResult {
        match self.fault {
            InjectedFault::GrantOnUnknown => WriteResult::Written { version: self.newest_version },
            InjectedFault::NoReadBack => WriteResult::NotSent,
            InjectedFault::None | InjectedFault::NoVersionCheck => WriteResult::Unknown,
        }
    }
}
