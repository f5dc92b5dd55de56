//! Asks the store on fresh connections whether this host holds everything, while it reads the store. A watch whose
//! connection is open but returns nothing would otherwise keep a host from changes without a sign.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::replica::ReplicaChanges;
use tokio::time::{sleep, sleep_until, timeout};

use crate::replica::ObjectKind;
use crate::site::Site;
use crate::store::list_watch::{StepError, StoreReader, WatchCall, apply_answer, apply_read};
use crate::store::pending::Interruption;

/// Time after which a call without an answer is repeated on another connection. Both are then waited for as long again.
const PATIENCE: Duration = Duration::from_millis(600);

/// Delay after a call that failed, before it is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which a waiting watch may lack a change that a later call has brought.
const WATCH_GRACE: Duration = Duration::from_millis(150);

/// A change that a call has brought.
struct Brought {
    kind: ObjectKind,
    revision: u64,
    call_started_at: SteadyMs,
}

/// Keeps what this host holds confirmed whenever it reads the store, for as long as the process runs.
pub(crate) async fn keep_confirmed(site: Rc<Site>) {
    let mut reads_store = site.reads_store.subscribe();
    loop {
        if reads_store.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        let confirm = async {
            loop {
                wait_until_due(&site).await;
                let brought = ask(&site, Tries::Two).await.unwrap_or_default();
                end_lost_watches(&site, &brought).await;
            }
        };
        tokio::select! {
            () = confirm => {}
            _ = reads_store.wait_for(|reads| !*reads) => {}
        }
    }
}

async fn wait_until_due(site: &Site) {
    let mut changed = site.confirmations_changed.subscribe();
    loop {
        changed.borrow_and_update();
        let due_at = site.confirmation_due_at();
        if due_at.is_past(site.now()) {
            return;
        }
        tokio::select! {
            () = sleep_until(site.clock.instant(due_at)) => {}
            _ = changed.changed() => {}
        }
    }
}

/// Number of calls until a missing answer counts as a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Tries {
    One,
    Two,
}

/// Asks the store whether this host holds everything, without any watch. Returns whether it holds it now.
pub(crate) async fn ask_store(site: &Site, tries: Tries) -> bool {
    ask(site, tries).await.is_some()
}

/// Asks the store about the first kind, and about the others that its revision shows to have changed. Returns what the
/// answers have brought; none if they are missing.
async fn ask(site: &Site, tries: Tries) -> Option<Vec<Brought>> {
    let started_at = site.now();
    let era = site.store_era.get();
    site.confirmations.borrow_mut().record_asked(started_at);
    let mut kinds = site.confirmable_kinds().into_iter();
    let first = kinds.next()?;
    let asked = async {
        let brought = match tries {
            Tries::One => within_patience(read_newest(site, first)).await?,
            Tries::Two => ask_newest(site, first).await?,
        };
        let (one, other) = (kinds.next(), kinds.next());
        let (one, other) = tokio::try_join!(
            ask_unless_confirmed(site, one, started_at),
            ask_unless_confirmed(site, other, started_at),
        )?;
        Ok::<_, StepError>([brought, one, other])
    };
    match asked.await {
        Ok(brought) => Some(brought.into_iter().flatten().collect()),
        // Listings in the new era confirm what they return.
        Err(_) if site.store_era.get() > era => None,
        Err(error) => {
            for kind in ObjectKind::ALL {
                site.pending_watches.interrupt(kind, Interruption::Unreachable(error.to_string()));
            }
            None
        }
    }
}

async fn end_lost_watches(site: &Site, brought: &[Brought]) {
    if brought.is_empty() {
        return;
    }
    sleep(WATCH_GRACE).await;
    for change in brought {
        site.pending_watches.end_if_lost(change.kind, change.revision, change.call_started_at);
    }
}

/// Asks about a kind unless the answers so far confirm it as of a time: first for less, then, if the answer was too old,
/// for the newest state.
async fn ask_unless_confirmed(
    site: &Site,
    kind: Option<ObjectKind>,
    as_of: SteadyMs,
) -> Result<Option<Brought>, StepError> {
    let Some(kind) = kind else { return Ok(None) };
    let is_confirmed = || site.confirmed_at(kind) >= Some(as_of);
    if is_confirmed() {
        return Ok(None);
    }
    let call_started_at = site.now();
    let read = read_once(site, kind, WatchCall::CHEAP);
    let cheap = match timeout(PATIENCE, read).await {
        Ok(Ok(changes)) => {
            apply_read(site, kind, &changes);
            brought(kind, &changes, call_started_at)
        }
        Ok(Err(_)) | Err(_) => None,
    };
    if is_confirmed() {
        return Ok(cheap);
    }
    Ok(ask_newest(site, kind).await?.or(cheap))
}

fn brought(
    kind: ObjectKind,
    changes: &ReplicaChanges,
    call_started_at: SteadyMs,
) -> Option<Brought> {
    let revision = changes.objects.iter().map(|object| object.version).max()?;
    Some(Brought { kind, revision, call_started_at })
}

/// Reads the changes of a kind over a fresh connection.
async fn read_once(
    site: &Site,
    kind: ObjectKind,
    call: WatchCall,
) -> Result<ReplicaChanges, StepError> {
    let position = site.next_position(kind).ok_or(StepError::NewEra)?;
    StoreReader::new(site).read_changes(site, kind, position, call).await
}

/// Reads the changes of a kind, and applies them as those as of the start of the call.
async fn read_newest(site: &Site, kind: ObjectKind) -> Result<Option<Brought>, StepError> {
    let call = site.begin_call();
    match read_once(site, kind, WatchCall::PATIENT).await {
        Ok(changes) => {
            apply_answer(site, kind, &changes, call);
            Ok(brought(kind, &changes, call.started_at()))
        }
        Err(StepError::HistoryGone) => {
            site.require_listing(kind);
            site.pending_watches.interrupt(kind, Interruption::HistoryGone);
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Asks about the newest state of a kind, twice if the first call brings no usable answer.
async fn ask_newest(site: &Site, kind: ObjectKind) -> Result<Option<Brought>, StepError> {
    let mut first = std::pin::pin!(read_newest(site, kind));
    match timeout(PATIENCE, &mut first).await {
        Ok(Ok(brought)) => Ok(brought),
        Ok(Err(_)) => {
            sleep(RETRY_DELAY).await;
            within_patience(read_newest(site, kind)).await
        }
        Err(_) => {
            let both = async {
                tokio::select! {
                    Ok(brought) = first => Ok(brought),
                    Ok(brought) = read_newest(site, kind) => Ok(brought),
                    else => Err(no_answer()),
                }
            };
            within_patience(both).await
        }
    }
}

fn no_answer() -> StepError {
    StepError::Call("calls on fresh connections got no answer".to_string())
}

async fn within_patience(
    read: impl Future<Output = Result<Option<Brought>, StepError>>,
) -> Result<Option<Brought>, StepError> {
    timeout(PATIENCE, read).await.unwrap_or_else(|_| Err(no_answer()))
}
