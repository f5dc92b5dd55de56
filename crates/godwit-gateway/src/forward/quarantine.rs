//! Quarantine of requests under which servers have ended: records losses, and decides whether a request may still be sent
//! to a server.

use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::quarantine::{
    CrashAdmission, CrashRegister, CrashStatus, LostRun, ProbationTurn, TrialAdmission, WholeAnswer,
};
use godwit_core::rendezvous::ranked;
use tokio::time::sleep;
use tracing::{debug, info};

use super::admit::{AdmittedRequest, Fingerprint};
use super::in_flight::Run;
use crate::site::{Site, server_id_of};

/// Divisor of the time that a request has left, for the longest time that it waits for a trial run to end.
const TRIAL_WAIT_DIVISOR: u64 = 2;

/// Interval at which a request in doubt checks whether it may run.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request is not sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Withheld {
    /// It is quarantined until a time.
    Quarantined(SteadyMs),
    /// It is in doubt, and another run of it decides.
    Deferred,
}

/// Returns the losses of a request for the log: server, age, id of the request at that attempt, and where the loss was
/// heard.
fn losses_text(site: &Site, fingerprint: Fingerprint, now: SteadyMs) -> String {
    let crashes = site.crashes.borrow();
    let losses = crashes.losses(fingerprint.0).map(|(server, loss)| {
        let from = loss.heard_from.as_deref().unwrap_or(&site.settings.host);
        let age_ms = now.since_ms(loss.ended_at);
        format!("{server}:{age_ms}ms:{}:{from}", loss.request_id)
    });
    losses.collect::<Vec<_>>().join(",")
}

/// Records that a server ended while a run was on it, for the request and the parts of its prompt.
pub(super) fn record_lost_run(site: &Site, run: &Run, incarnation: &str, broke_at: SteadyMs) {
    let fingerprint = run.admitted.fingerprint;
    let lost = |of: Fingerprint| LostRun {
        fingerprint: fingerprint.0,
        started_at: run.started_at(),
        pieces: run.pieces(),
        request_id: run.request_id(),
        is_trial: run.trial_of.contains(&of),
    };
    run.admitted.has_lost_server.set(true);
    let parts = run.admitted.part_fingerprints.iter().zip(run.admitted.shared_parts());
    for (part, part_id) in parts {
        let part = Fingerprint(*part);
        let was_in_doubt = site.crashes.borrow().is_in_doubt(part.0);
        record_loss(site, part, |crashes| {
            crashes.record_part_loss(part.0, lost(part), incarnation, broke_at)
        });
        if !was_in_doubt && site.crashes.borrow().is_in_doubt(part.0) {
            let losses = losses_text(site, part, site.now());
            info!(event = "part_in_doubt", part = part_id, fingerprint = %part, losses);
            metrics::counter!("parts_in_doubt_total").increment(1);
        }
    }
    let is_changed = record_loss(site, fingerprint, |crashes| {
        crashes.record_loss(lost(fingerprint), incarnation, broke_at)
    });
    if !is_changed {
        return;
    }
    info!(
        event = "crash_marked",
        request = run.request_id(),
        fingerprint = %fingerprint,
        server = incarnation,
        ran_ms = broke_at.since_ms(run.started_at()),
        pieces = run.pieces(),
        is_trial = run.is_trial(),
        is_in_doubt = site.crashes.borrow().is_in_doubt(fingerprint.0),
        losses = losses_text(site, fingerprint, site.now()),
    );
    metrics::counter!("crash_marks_total").increment(1);
}

/// Records a loss of a request or part, and has it stored where it has to survive the loss of all hosts. Returns whether it
/// was not known.
fn record_loss(
    site: &Site,
    fingerprint: Fingerprint,
    record: impl FnOnce(&mut CrashRegister) -> bool,
) -> bool {
    let suspicion = || {
        let crashes = site.crashes.borrow();
        (crashes.is_repeated(fingerprint.0), crashes.is_in_doubt(fingerprint.0))
    };
    let suspicion_before = suspicion();
    let is_changed = record(&mut site.crashes.borrow_mut());
    if suspicion() != suspicion_before {
        site.repeated_losses.notify_one();
    }
    is_changed
}

/// Records the end of a server for all runs of this host that were on it.
pub(crate) fn record_server_end(site: &Site, incarnation: &str) {
    let Some(ended_at) = site.crashes.borrow().ended_at(incarnation) else { return };
    for run in site.runs.on_server(server_id_of(incarnation), ended_at) {
        record_lost_run(site, &run, incarnation, ended_at);
    }
}

/// Records that a request completed, so that the losses before are not its doing.
pub(super) fn record_completion(site: &Site, admitted: &AdmittedRequest) {
    let fingerprint = admitted.fingerprint;
    if !site.crashes.borrow().is_suspect(fingerprint.0) {
        return;
    }
    let request = &admitted.incoming.head.request_id;
    let losses = losses_text(site, fingerprint, site.now());
    info!(event = "crash_marks_cleared", request, fingerprint = %fingerprint, losses);
    site.crashes.borrow_mut().record_completion(fingerprint.0, site.now());
}

/// Records a success that is whole, which shows for each part of the prompt that it lets servers write so much. `run` is
/// the one that wrote the end of it.
pub(super) fn record_whole_answer(site: &Site, run: &Run) {
    let admitted = &run.admitted;
    let is_stream = admitted.policy.work.is_stream();
    let answer = WholeAnswer {
        pieces: if is_stream { run.pieces() } else { u64::MAX },
        is_rest: admitted.has_lost_server.get(),
    };
    for part in &admitted.part_fingerprints {
        if site.crashes.borrow_mut().record_part_answer(*part, answer, site.now()) {
            let (request, part) = (run.request_id(), Fingerprint(*part));
            debug!(event = "part_marks_cleared", request, fingerprint = %part, pieces = answer.pieces);
        }
    }
}

/// Records pieces of a run's response. A run that has come well past the point of earlier losses clears the request.
pub(super) fn record_pieces(site: &Site, run: &Run, count: u64) {
    run.record_pieces(count);
    let fingerprint = run.admitted.fingerprint;
    if !site.crashes.borrow().is_suspect(fingerprint.0) {
        return;
    }
    let pieces = run.pieces();
    let mut crashes = site.crashes.borrow_mut();
    if crashes.record_progress(fingerprint.0, run.started_at(), pieces, site.now()) {
        let request = run.request_id();
        info!(event = "crash_marks_cleared", request, fingerprint = %fingerprint, pieces);
    }
}

/// Returns this host's turn to run a request on probation. Every host computes the same order.
fn probation_turn(site: &Site, fingerprint: Fingerprint) -> ProbationTurn {
    let relay = site.relay.borrow();
    let own_name = site.settings.host.as_str();
    let names = relay.host_names();
    let hosts = names.len();
    let order = ranked(&fingerprint.to_string(), names, hosts);
    ProbationTurn { rank: order.iter().position(|name| *name == own_name).unwrap_or(0), hosts }
}

/// Whether a request may be sent to a server now, and if so, whether on probation.
///
/// # Errors
/// The time from which it may, if it or a part of its prompt is quarantined.
pub(super) fn check_quarantine(site: &Site, admitted: &AdmittedRequest) -> Result<bool, SteadyMs> {
    let mut on_probation = false;
    let mut refused_until = None;
    for fingerprint in admitted.fingerprints() {
        if !site.crashes.borrow().is_suspect(fingerprint.0) {
            continue;
        }
        let turn = probation_turn(site, fingerprint);
        let is_running = site.runs.is_running(fingerprint);
        let crashes = site.crashes.borrow();
        match crashes.admit(fingerprint.0, turn, is_running, site.now()) {
            CrashAdmission::Allowed => {}
            // Another part may be at fault, which this request does not have.
            _ if crashes.is_blame_shared(fingerprint.0, &admitted.part_fingerprints) => {}
            CrashAdmission::OnProbation => on_probation = true,
            CrashAdmission::Refused { retry_at } => {
                refused_until = refused_until.max(Some(retry_at));
            }
        }
    }
    refused_until.map_or(Ok(on_probation), Err)
}

/// Waits until a request that has asked since `asked_at` may be sent to a server, as far as it is in doubt or quarantined.
/// Returns whether it runs on probation.
///
/// # Errors
/// Why it may not be sent.
pub(super) async fn await_admission(
    site: &Site,
    admitted: &AdmittedRequest,
    asked_at: SteadyMs,
) -> Result<bool, Withheld> {
    if !is_suspect(site, admitted) {
        return Ok(false);
    }
    let left_ms = admitted.policy.response_deadline.since_ms(asked_at);
    let wait_deadline = asked_at.plus_ms(left_ms / TRIAL_WAIT_DIVISOR);
    let mut is_waiting = false;
    loop {
        let on_probation = check_quarantine(site, admitted).map_err(Withheld::Quarantined)?;
        if on_probation {
            return Ok(true);
        }
        match admit_trial(site, admitted) {
            TrialAdmission::NotInDoubt | TrialAdmission::Trial => return Ok(false),
            TrialAdmission::Deferred => {}
        }
        if wait_deadline.is_past(site.now()) {
            log_trial(site, admitted, "given_up", asked_at);
            return Err(Withheld::Deferred);
        }
        if !is_waiting {
            log_trial(site, admitted, "deferred", asked_at);
            is_waiting = true;
        }
        sleep(TRIAL_POLL_INTERVAL).await;
    }
}

fn admit_trial(site: &Site, admitted: &AdmittedRequest) -> TrialAdmission {
    admit_trial_in_turn(site, admitted, |fingerprint| probation_turn(site, fingerprint))
}

/// Whether a running request may be moved to another path now.
pub(super) fn may_move(site: &Site, admitted: &AdmittedRequest) -> bool {
    let any_turn = |_| ProbationTurn { rank: 0, hosts: 1 };
    admit_trial_in_turn(site, admitted, any_turn) != TrialAdmission::Deferred
}

fn admit_trial_in_turn(
    site: &Site,
    admitted: &AdmittedRequest,
    turn: impl Fn(Fingerprint) -> ProbationTurn,
) -> TrialAdmission {
    let crashes = site.crashes.borrow();
    let suspects = admitted.fingerprints().map(|it| it.0).filter(|it| crashes.is_suspect(*it));
    let suspects: Vec<u64> = suspects.collect();
    let turn = |fingerprint| turn(Fingerprint(fingerprint));
    let is_running =
        |fingerprint| site.runs.is_running_elsewhere(Fingerprint(fingerprint), admitted);
    crashes.admit_trial_of(&suspects, turn, is_running, site.now())
}

pub(super) fn log_trial(
    site: &Site,
    admitted: &AdmittedRequest,
    outcome: &'static str,
    asked_at: SteadyMs,
) {
    let now = site.now();
    info!(
        event = "trial",
        request = admitted.incoming.head.request_id,
        fingerprint = %admitted.fingerprint,
        outcome,
        after_ms = now.since_ms(asked_at),
        losses = losses_text(site, admitted.fingerprint, now),
    );
    metrics::counter!("trials_total", "outcome" => outcome).increment(1);
}

/// Logs that a request is not sent to a server because it is quarantined.
pub(super) fn log_quarantined(site: &Site, admitted: &AdmittedRequest, retry_at: SteadyMs) {
    let now = site.now();
    info!(
        event = "quarantine_refused",
        request = admitted.incoming.head.request_id,
        fingerprint = %admitted.fingerprint,
        retry_after_ms = retry_at.since_ms(now),
        losses = losses_text(site, admitted.fingerprint, now),
    );
    metrics::counter!("quarantine_refusals_total").increment(1);
}

/// Logs the requests that were quarantined, released on probation or cleared since the last call.
pub(crate) fn log_status_changes(site: &Site, now: SteadyMs) {
    let changes = site.crashes.borrow_mut().status_changes(now);
    for change in changes {
        let fingerprint = Fingerprint(change.fingerprint);
        let losses = losses_text(site, fingerprint, now);
        match change.status {
            CrashStatus::Quarantined { until } => {
                let for_ms = until.since_ms(now);
                info!(event = "quarantined", fingerprint = %fingerprint, for_ms, losses);
                metrics::counter!("quarantines_total").increment(1);
            }
            CrashStatus::Probation { .. } => {
                info!(event = "quarantine_ended", fingerprint = %fingerprint, losses);
                metrics::counter!("quarantine_releases_total").increment(1);
            }
            CrashStatus::Clear => {
                info!(event = "quarantine_lifted", fingerprint = %fingerprint, losses);
            }
        }
    }
    metrics::gauge!("crash_suspects").set(site.crashes.borrow().len() as f64);
}

/// Whether servers were lost under a request since it last completed, or under a part of its prompt.
pub(super) fn is_suspect(site: &Site, admitted: &AdmittedRequest) -> bool {
    let crashes = site.crashes.borrow();
    admitted.fingerprints().any(|fingerprint| crashes.is_suspect(fingerprint.0))
}

/// Whether a request may not be sent to a server now.
pub(super) fn is_quarantined(site: &Site, admitted: &AdmittedRequest) -> bool {
    check_quarantine(site, admitted).is_err()
}
