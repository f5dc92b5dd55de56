//! Results of one run.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::Code;
use godwit_host::PolicyName;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::LoadPlan;
use super::mix::Class;
use super::outcome::{Ending, Outcome};

/// Share of a run that is excluded from token rates, so that the warm-up does not affect them.
const WARM_UP_SHARE: f64 = 0.25;
const US_PER_MS: f64 = 1_000.0;
const US_PER_S: f64 = 1_000_000.0;

/// Percentiles of a set of times.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Percentiles {
    pub(super) count: u64,
    pub(super) p50_ms: f64,
    pub(super) p95_ms: f64,
    pub(super) p99_ms: f64,
}

/// Number of requests with a result code.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CodeCount {
    pub(super) code: u16,
    pub(super) name: String,
    pub(super) count: usize,
}

/// Number of requests by how they ended.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Endings {
    pub(super) sent: usize,
    pub(super) in_time: usize,
    pub(super) late: usize,
    pub(super) refused: usize,
    pub(super) incomplete: usize,
    pub(super) wrong: usize,
    pub(super) no_answer: usize,
}

impl Endings {
    fn count<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Endings {
        let mut endings = Endings::default();
        for outcome in outcomes {
            endings.sent += 1;
            let count = match outcome.ending {
                Ending::InTime => &mut endings.in_time,
                Ending::Late => &mut endings.late,
                Ending::Refused => &mut endings.refused,
                Ending::Incomplete => &mut endings.incomplete,
                Ending::Wrong => &mut endings.wrong,
                Ending::NoAnswer => &mut endings.no_answer,
            };
            *count += 1;
        }
        endings
    }

    /// Returns the percentage of requests that got a complete response in time, among those that were not refused.
    pub(super) fn in_time_percent(&self) -> f64 {
        percent(self.in_time as f64, (self.sent - self.refused) as f64)
    }
}

/// Results of one class of requests.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ClassRow {
    pub(super) class: String,
    pub(super) endings: Endings,
    pub(super) first_byte: Percentiles,
    pub(super) codes: Vec<CodeCount>,
}

/// Results of one policy at one offered load.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoadRow {
    pub(super) policy: String,
    pub(super) mix: String,
    pub(super) load_percent: u32,
    pub(super) seed: u64,
    pub(super) duration_ms: u64,
    pub(super) load_report_lag_ms: u64,
    pub(super) bound_tokens_per_s: f64,
    /// Tokens per second in the expected responses of the requests sent after the warm-up.
    pub(super) offered_tokens_per_s: f64,
    /// Tokens per second that callers received after the warm-up.
    pub(super) delivered_tokens_per_s: f64,
    /// Tokens per second that callers received after the warm-up in complete responses before the deadline.
    pub(super) goodput_tokens_per_s: f64,
    pub(super) goodput_percent_of_bound: f64,
    pub(super) all: Endings,
    pub(super) in_time_percent_of_admitted: f64,
    /// Number of requests refused as `not-run` although a server ran a part of them; `None` if the journals of the
    /// servers are not available or not complete.
    pub(super) refused_but_ran: Option<usize>,
    /// Number of requests not sent because too many were in progress or no thread could be started.
    pub(super) not_sent: usize,
    /// Delay of sending requests after their scheduled time, which is high on a busy machine.
    pub(super) send_lag: Percentiles,
    pub(super) first_token: Percentiles,
    pub(super) between_tokens: Percentiles,
    pub(super) lookup_first_byte: Percentiles,
    /// Jain's fairness index over the workspaces' ratios of tokens received in time to tokens requested; 1 means that
    /// all ratios are equal.
    pub(super) fairness: f64,
    pub(super) classes: Vec<ClassRow>,
}

/// Measurements of a run, from which its results are computed.
pub(super) struct RunResults<'a> {
    pub(super) plan: &'a LoadPlan,
    pub(super) policy: PolicyName,
    pub(super) load_percent: u32,
    pub(super) bound_tokens_per_s: f64,
    pub(super) outcomes: &'a [Outcome],
    pub(super) not_sent: usize,
    pub(super) executed_request_ids: Option<BTreeSet<String>>,
}

impl RunResults<'_> {
    /// Computes the results.
    pub(super) fn row(&self) -> LoadRow {
        let all = Endings::count(self.outcomes.iter());
        let goodput = self.tokens_per_s(|outcome| outcome.ending == Ending::InTime);
        LoadRow {
            policy: self.policy_label().to_string(),
            mix: self.plan.mix.as_str().to_string(),
            load_percent: self.load_percent,
            seed: self.plan.seed,
            duration_ms: self.plan.duration_ms,
            load_report_lag_ms: self.plan.load_report_lag_ms,
            bound_tokens_per_s: self.bound_tokens_per_s,
            offered_tokens_per_s: self.offered_tokens_per_s(),
            delivered_tokens_per_s: self.tokens_per_s(|_| true),
            goodput_tokens_per_s: goodput,
            goodput_percent_of_bound: percent(goodput, self.bound_tokens_per_s),
            in_time_percent_of_admitted: all.in_time_percent(),
            all,
            refused_but_ran: self.refused_but_ran(),
            not_sent: self.not_sent,
            send_lag: percentiles(self.outcomes.iter().map(send_lag_us)),
            first_token: percentiles(self.outcomes.iter().filter_map(first_token_us)),
            between_tokens: percentiles(self.outcomes.iter().flat_map(token_gaps_us)),
            lookup_first_byte: percentiles(self.lookups().filter_map(first_byte_us)),
            fairness: self.fairness(),
            classes: Class::ALL.iter().map(|class| self.class_row(*class)).collect(),
        }
    }

    fn policy_label(&self) -> &'static str {
        if self.plan.existing_site.is_some() { "as-set-on-hosts" } else { policy_name(self.policy) }
    }

    /// Returns the start and end of the period whose tokens are counted, from the end of the warm-up to the end of
    /// sending.
    fn counted_window_us(&self) -> (u64, u64) {
        let end = self.plan.duration_ms as f64 * US_PER_MS;
        ((end * WARM_UP_SHARE) as u64, end as u64)
    }

    fn counted_window_s(&self) -> f64 {
        let (from, to) = self.counted_window_us();
        (to - from) as f64 / US_PER_S
    }

    fn is_counted(&self, at_us: u64) -> bool {
        let (from, to) = self.counted_window_us();
        (from..to).contains(&at_us)
    }

    fn offered_tokens_per_s(&self) -> f64 {
        let offered = self.outcomes.iter().filter(|outcome| self.is_counted(outcome.sent_at_us));
        offered.map(|outcome| f64::from(outcome.requested_tokens)).sum::<f64>()
            / self.counted_window_s()
    }

    fn tokens_per_s(&self, counts: impl Fn(&Outcome) -> bool) -> f64 {
        let counted = self.outcomes.iter().filter(|outcome| counts(outcome));
        let times = counted.flat_map(|outcome| outcome.token_at_us.iter());
        times.filter(|at_us| self.is_counted(**at_us)).count() as f64 / self.counted_window_s()
    }

    fn of_class(&self, class: Class) -> impl Iterator<Item = &Outcome> {
        self.outcomes.iter().filter(move |outcome| outcome.class == class)
    }

    fn lookups(&self) -> impl Iterator<Item = &Outcome> {
        self.outcomes.iter().filter(|outcome| outcome.class.is_lookup())
    }

    fn refused_but_ran(&self) -> Option<usize> {
        let executed_request_ids = self.executed_request_ids.as_ref()?;
        let refused = self.outcomes.iter().filter(|outcome| outcome.ending == Ending::Refused);
        Some(refused.filter(|outcome| executed_request_ids.contains(&outcome.request_id)).count())
    }

    fn fairness(&self) -> f64 {
        let mut shares: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for outcome in self.outcomes {
            let (in_time, requested) = shares.entry(outcome.workspace).or_default();
            let tokens = f64::from(outcome.requested_tokens);
            *requested += tokens;
            if outcome.ending == Ending::InTime {
                *in_time += tokens;
            }
        }
        let with_requests = shares.values().filter(|(_, requested)| *requested > 0.0);
        jain_index(
            &with_requests.map(|(in_time, requested)| in_time / requested).collect::<Vec<f64>>(),
        )
    }

    fn class_row(&self, class: Class) -> ClassRow {
        ClassRow {
            class: class.as_str().to_string(),
            endings: Endings::count(self.of_class(class)),
            first_byte: percentiles(self.of_class(class).filter_map(first_byte_us)),
            codes: codes(self.of_class(class)),
        }
    }
}

fn codes<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Vec<CodeCount> {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.code).or_default() += 1;
    }
    let name = |code| Code::from_number(code).map_or("none", Code::name).to_string();
    counts.into_iter().map(|(code, count)| CodeCount { code, name: name(code), count }).collect()
}

/// Returns the name of a policy as given to the flag `--policy`.
pub(super) fn policy_name(policy: PolicyName) -> &'static str {
    match policy {
        PolicyName::EarliestFinish => "earliest-finish",
        PolicyName::RoundRobin => "round-robin",
        PolicyName::LeastLoad => "least-load",
    }
}

fn send_lag_us(outcome: &Outcome) -> u64 {
    outcome.sent_at_us.saturating_sub(outcome.planned_at_us)
}

fn first_byte_us(outcome: &Outcome) -> Option<u64> {
    if !matches!(outcome.ending, Ending::InTime | Ending::Late) {
        return None;
    }
    Some(outcome.first_byte_at_us?.saturating_sub(outcome.sent_at_us))
}

fn first_token_us(outcome: &Outcome) -> Option<u64> {
    if !outcome.class.is_streamed() {
        return None;
    }
    Some(outcome.token_at_us.first()?.saturating_sub(outcome.sent_at_us))
}

fn token_gaps_us(outcome: &Outcome) -> Vec<u64> {
    if !outcome.class.is_streamed() {
        return Vec::new();
    }
    outcome.token_at_us.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect()
}

fn percentiles(times_us: impl Iterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Percentiles::default() };
    for time_us in times_us {
        // Recording fails only for histograms of a fixed size; this one resizes automatically.
        let _ = histogram.record(time_us);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
    Percentiles { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { 100.0 * part / whole } else { 100.0 }
}

/// Returns Jain's fairness index of the shares.
fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 0.0 }
}
