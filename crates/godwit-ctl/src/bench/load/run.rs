//! Runs one measurement: sends the scheduled requests open-loop and collects their outcomes.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use godwit_host::{Clock, PolicyName, SystemClock};
use godwit_workers::Workers;

use super::LoadPlan;
use super::client::Client;
use super::outcome::Outcome;
use super::report::{LoadRow, RunResults, policy_name};
use super::schedule::{PlannedRequest, ScheduleSettings, schedule};
use super::target::Target;

const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Measurement of one policy at one offered load.
pub(super) struct Run<'a> {
    pub(super) plan: &'a LoadPlan,
    pub(super) target: &'a Target,
    pub(super) policy: PolicyName,
    pub(super) load_percent: u32,
}

struct Progress {
    shown_at: Option<Instant>,
    label: String,
    total: usize,
}

impl Run<'_> {
    /// Sends the scheduled requests and returns the results.
    pub(super) fn measure(&self) -> LoadRow {
        let bound = self.target.bound_tokens_per_s;
        let settings = ScheduleSettings {
            mix: self.plan.mix,
            seed: self.plan.seed,
            workspaces: self.target.keys.len(),
            tokens_per_s: bound * f64::from(self.load_percent) / 100.0,
            duration_ms: self.plan.duration_ms,
            max_requests: self.plan.max_requests,
        };
        let planned = schedule(&settings);
        let (sender, receiver) = flume::unbounded();
        let not_sent = self.send_all(planned, &sender);
        drop(sender);
        let outcomes: Vec<Outcome> = receiver.iter().collect();
        eprintln!();
        RunResults {
            plan: self.plan,
            policy: self.policy,
            load_percent: self.load_percent,
            bound_tokens_per_s: bound,
            outcomes: &outcomes,
            not_sent,
            executed_request_ids: self.target.executed_request_ids(),
        }
        .row()
    }

    fn send_all(&self, planned: Vec<PlannedRequest>, results: &flume::Sender<Outcome>) -> usize {
        let started = Instant::now();
        let run_id = format!("run-{}", SystemClock.now().0);
        let in_flight = Arc::new(AtomicUsize::new(0));
        let mut progress = Progress {
            shown_at: None,
            label: format!(
                "policy={} load_percent={}",
                policy_name(self.policy),
                self.load_percent
            ),
            total: planned.len(),
        };
        let workers = Workers::new("caller");
        let mut not_sent = 0;
        for (sent, request) in planned.into_iter().enumerate() {
            wait_until(started + Duration::from_micros(request.at_us));
            progress.show(sent, in_flight.load(Ordering::Relaxed), results.len());
            if in_flight.load(Ordering::Relaxed) >= self.plan.max_in_flight {
                not_sent += 1;
                continue;
            }
            let addresses = &self.target.addresses;
            let client = Client {
                address: addresses[request.number % addresses.len()],
                key: self.target.keys[request.workspace].clone(),
                run_id: run_id.clone(),
                started,
            };
            not_sent += usize::from(!spawn_request(&workers, client, request, results, &in_flight));
        }
        while in_flight.load(Ordering::Relaxed) > 0 {
            progress.show(progress.total, in_flight.load(Ordering::Relaxed), results.len());
            std::thread::sleep(PROGRESS_INTERVAL / 10);
        }
        not_sent
    }
}

/// Sends a request on a worker thread. Returns whether the thread could be started.
fn spawn_request(
    workers: &Workers,
    client: Client,
    request: PlannedRequest,
    results: &flume::Sender<Outcome>,
    in_flight: &Arc<AtomicUsize>,
) -> bool {
    in_flight.fetch_add(1, Ordering::Relaxed);
    let (results, counter) = (results.clone(), in_flight.clone());
    let task = move || {
        let outcome = client.send(&request);
        // Sending cannot fail, because the receiver outlives all senders.
        let _ = results.send(outcome);
        counter.fetch_sub(1, Ordering::Relaxed);
    };
    let started = workers.run(task).is_ok();
    if !started {
        in_flight.fetch_sub(1, Ordering::Relaxed);
    }
    started
}

fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        std::thread::sleep(left);
    }
}

impl Progress {
    fn show(&mut self, sent: usize, in_flight: usize, ended: usize) {
        if self.shown_at.is_some_and(|at| at.elapsed() < PROGRESS_INTERVAL) {
            return;
        }
        self.shown_at = Some(Instant::now());
        let mut stderr = std::io::stderr();
        let line = format!(
            "\r{} sent={sent}/{} in_flight={in_flight} ended={ended}   ",
            self.label, self.total
        );
        let _ = stderr.write_all(line.as_bytes()).and_then(|()| stderr.flush());
    }
}
