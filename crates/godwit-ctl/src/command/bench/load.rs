//! `godwitctl bench load`: the open-loop load bench.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use godwit_host::PolicyName;

use crate::bench::load::{ExistingSite, LoadPlan, MixName, run as measure};
use crate::error::CtlError;
use crate::output::Format;

const MS_PER_S: u64 = 1_000;
const MAX_DURATION_S: u64 = 600;
const MAX_LOAD_PERCENT: u32 = 1_000;

/// Comma-separated values of a flag.
#[derive(Clone, Debug)]
pub(crate) struct CommaSeparated<T>(pub(super) Vec<T>);

impl<T: FromStr> FromStr for CommaSeparated<T>
where
    T::Err: std::fmt::Display,
{
    type Err = String;

    fn from_str(text: &str) -> Result<CommaSeparated<T>, String> {
        let values: Result<Vec<T>, T::Err> = text.split(',').map(str::parse).collect();
        values.map(CommaSeparated).map_err(|error| error.to_string())
    }
}

/// Flags of `bench load`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct LoadFlags {
    /// Mix of requests: brackenford or mabaso
    #[bpaf(long("mix"), argument("MIX"), fallback(MixName::Brackenford))]
    mix: MixName,
    /// Policies to compare, comma-separated: earliest-finish, round-robin, least-load
    #[bpaf(
        long("policy"),
        argument::<CommaSeparated<PolicyName>>("POLICIES"),
        fallback(CommaSeparated(vec![PolicyName::EarliestFinish]))
    )]
    policies: CommaSeparated<PolicyName>,
    /// Offered loads in percent of the engines' total token rate, comma-separated
    #[bpaf(
        long("load-percent"),
        argument::<CommaSeparated<u32>>("PERCENTS"),
        fallback(CommaSeparated(vec![100]))
    )]
    load_percents: CommaSeparated<u32>,
    /// Seconds during which requests are sent in each run, at most 600
    #[bpaf(long("duration-s"), argument("SECONDS"), fallback(20), display_fallback)]
    duration_s: u64,
    /// Maximum number of requests per run
    #[bpaf(long("max-requests"), argument("COUNT"), fallback(50_000), display_fallback)]
    max_requests: usize,
    /// Maximum number of requests in progress; requests above it are counted as not sent
    #[bpaf(long("max-in-flight"), argument("COUNT"), fallback(2_000), display_fallback)]
    max_in_flight: usize,
    /// Seed of the random arrival times and requests
    #[bpaf(long("seed"), argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Age of the engines' load reports
    #[bpaf(long("load-report-lag-ms"), argument("MS"), fallback(1_000), display_fallback)]
    load_report_lag_ms: u64,
    /// Number of entry hosts in each of the three failure domains
    #[bpaf(long("hosts-per-domain"), argument("COUNT"), fallback(3), display_fallback)]
    hosts_per_domain: u16,
    /// Number of engines in each of the three failure domains, alternately at 100 and 25 tokens/s
    #[bpaf(long("engines-per-domain"), argument("COUNT"), fallback(10), display_fallback)]
    engines_per_domain: u16,
    #[bpaf(external(existing_site_flags), optional)]
    existing_site: Option<ExistingSiteFlags>,
    /// Prints JSON instead of a table
    #[bpaf(long("json"))]
    is_json: bool,
}

/// Use of a running site
#[derive(Bpaf, Clone, Debug)]
struct ExistingSiteFlags {
    /// Caller address of a running entry host; may be given several times
    #[bpaf(long("address"), argument("IP:PORT"), some("at least one address"))]
    addresses: Vec<SocketAddr>,
    /// Key of the workspace
    #[bpaf(long("key"), env("GODWIT_KEY"), argument("KEY"))]
    key: String,
    /// Sum of slots x tokens per second over the site's engines
    #[bpaf(long("bound-tokens-per-s"), argument("RATE"))]
    bound_tokens_per_s: f64,
    /// Permits addresses other than loopback
    #[bpaf(long("allow-remote"))]
    allows_remote: bool,
}

/// Runs the load bench.
pub(super) fn run(flags: &LoadFlags) -> Result<(), CtlError> {
    check(flags)?;
    let existing_site = flags.existing_site.as_ref().map(|existing_site| ExistingSite {
        addresses: existing_site.addresses.clone(),
        key: existing_site.key.clone(),
        bound_tokens_per_s: existing_site.bound_tokens_per_s,
    });
    let plan = LoadPlan {
        mix: flags.mix,
        policies: flags.policies.0.clone(),
        load_percents: flags.load_percents.0.clone(),
        duration_ms: flags.duration_s * MS_PER_S,
        max_requests: flags.max_requests,
        max_in_flight: flags.max_in_flight,
        seed: flags.seed,
        load_report_lag_ms: flags.load_report_lag_ms,
        hosts_per_domain: flags.hosts_per_domain,
        engines_per_domain: flags.engines_per_domain,
        existing_site,
    };
    measure(&plan, Format::new(flags.is_json))
}

fn check(flags: &LoadFlags) -> Result<(), CtlError> {
    let invalid = |message: &str| Err(CtlError::Failed(message.to_string()));
    if !(1..=MAX_DURATION_S).contains(&flags.duration_s) {
        return invalid("--duration-s must be from 1 to 600");
    }
    if !flags.load_percents.0.iter().all(|percent| (1..=MAX_LOAD_PERCENT).contains(percent)) {
        return invalid("--load-percent must be from 1 to 1000");
    }
    if flags.hosts_per_domain == 0 || flags.engines_per_domain == 0 {
        return invalid("--hosts-per-domain and --engines-per-domain must be at least 1");
    }
    let Some(existing_site) = &flags.existing_site else { return Ok(()) };
    if !existing_site.allows_remote
        && !existing_site.addresses.iter().all(|address| address.ip().is_loopback())
    {
        return invalid("--address must be on loopback, unless --allow-remote is given");
    }
    if !existing_site.bound_tokens_per_s.is_finite() || existing_site.bound_tokens_per_s <= 0.0 {
        return invalid("--bound-tokens-per-s must be greater than 0");
    }
    if flags.policies.0.len() > 1 {
        return invalid(
            "--policy accepts only one policy with --address, as running hosts use their own setting",
        );
    }
    Ok(())
}
