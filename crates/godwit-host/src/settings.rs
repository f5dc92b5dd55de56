//! Settings of an entry host, from flags and environment variables, all checked at start.

use std::fmt;
use std::net::SocketAddr;

use bpaf::Bpaf;

/// Minimum length of the key that the hosts share.
const PEER_KEY_MIN_BYTES: usize = 16;

/// Policy that chooses the server for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyName {
    /// The server with the earliest estimated finish among two or more sampled servers.
    #[default]
    EarliestFinish,
    /// Each usable server in turn.
    RoundRobin,
    /// The server whose last report shows the least load.
    LeastLoad,
}

impl std::str::FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<PolicyName, String> {
        match text {
            "earliest-finish" => Ok(PolicyName::EarliestFinish),
            "round-robin" => Ok(PolicyName::RoundRobin),
            "least-load" => Ok(PolicyName::LeastLoad),
            _ => Err("expected `earliest-finish`, `round-robin` or `least-load`".to_string()),
        }
    }
}

/// Settings of an entry host.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(settings))]
/// Entry host of godwitdeal: a router for pipelines over mixed accelerators
pub struct Settings {
    /// Name of this host, unique in the fleet
    #[bpaf(long("host"), env("GODWIT_HOST"), argument("NAME"))]
    pub host: String,
    /// Failure domain of this host
    #[bpaf(env("GODWIT_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: String,
    /// Address to listen on for callers
    #[bpaf(env("GODWIT_CALLER_ADDRESS"), argument("IP:PORT"))]
    pub caller_address: SocketAddr,
    /// Address to listen on for operators
    #[bpaf(env("GODWIT_OPERATOR_ADDRESS"), argument("IP:PORT"))]
    pub operator_address: SocketAddr,
    /// Address to listen on for other hosts, over TCP and UDP
    #[bpaf(env("GODWIT_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: SocketAddr,
    /// Address of the platform's Object API
    #[bpaf(env("GODWIT_PLATFORM_ADDRESS"), argument("IP:PORT"))]
    pub platform_address: SocketAddr,
    /// Key that all hosts share, at least 16 bytes; prefer the environment variable
    #[bpaf(env("GODWIT_PEER_KEY"), argument("KEY"))]
    pub peer_key: String,
    /// Peer address of another host to join at the start; may be given many times
    #[bpaf(long("seed"), argument("IP:PORT"))]
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of requests in progress
    #[bpaf(
        env("GODWIT_MAX_CONCURRENT_CALLS"),
        argument("COUNT"),
        fallback(1024),
        display_fallback
    )]
    pub max_concurrent_calls: usize,
    /// Maximum number of requests that wait for a server
    #[bpaf(env("GODWIT_MAX_QUEUED_CALLS"), argument("COUNT"), fallback(512), display_fallback)]
    pub max_queued_calls: usize,
    /// Maximum size of a request body, in bytes
    #[bpaf(env("GODWIT_MAX_BODY_BYTES"), argument("BYTES"), fallback(1048576), display_fallback)]
    pub max_body_bytes: u64,
    /// Maximum size of a prompt, in bytes
    #[bpaf(env("GODWIT_MAX_PROMPT_BYTES"), argument("BYTES"), fallback(524288), display_fallback)]
    pub max_prompt_bytes: u64,
    /// Maximum total size of the headers of a request, in bytes
    #[bpaf(env("GODWIT_MAX_HEADER_BYTES"), argument("BYTES"), fallback(16384), display_fallback)]
    pub max_header_bytes: usize,
    /// Time without data after which a server is probed, unless it is expected to be slower, in milliseconds
    #[bpaf(env("GODWIT_SILENT_AFTER_MS"), argument("MS"), fallback(700), display_fallback)]
    pub silent_after_ms: u64,
    /// Maximum rate of reads that this host sends to the platform, per second
    #[bpaf(env("GODWIT_PLATFORM_READS_PER_S"), argument("RATE"), fallback(20.0), display_fallback)]
    pub platform_reads_per_s: f64,
    /// Maximum rate of writes that this host sends to the platform, per second
    #[bpaf(
        env("GODWIT_PLATFORM_WRITES_PER_S"),
        argument("RATE"),
        fallback(20.0),
        display_fallback
    )]
    pub platform_writes_per_s: f64,
    /// Policy that chooses the server for a request: earliest-finish, round-robin or least-load
    #[bpaf(
        env("GODWIT_POLICY"),
        argument::<PolicyName>("POLICY"),
        fallback(PolicyName::EarliestFinish)
    )]
    pub policy: PolicyName,
    /// Log filter such as `info` or `godwit_host=debug`
    #[bpaf(env("GODWIT_LOG"), argument("FILTER"), fallback("info".to_string()), display_fallback)]
    pub log: String,
}

/// Error that lists all invalid settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// One line for each invalid setting: the flag and the problem.
    pub problems: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings:")?;
        for problem in &self.problems {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks all settings.
    ///
    /// # Errors
    /// All invalid settings, in one error.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut problems = Vec::new();
        for (flag, name) in [("--host", &self.host), ("--failure-domain", &self.failure_domain)] {
            if name.is_empty() || !name.chars().all(is_name_char) {
                problems.push(format!(
                    "{flag}: `{name}` is not a valid name; use letters, digits, `-`, `_` and `.`"
                ));
            }
        }
        if self.peer_key.len() < PEER_KEY_MIN_BYTES {
            problems.push(format!("--peer-key: shorter than {PEER_KEY_MIN_BYTES} bytes"));
        }
        let unspecified =
            [("--peer-address", self.peer_address), ("--platform-address", self.platform_address)];
        for (flag, address) in unspecified {
            if address.ip().is_unspecified() {
                problems
                    .push(format!("{flag}: must be a specific IP address, not {}", address.ip()));
            }
        }
        self.check_limits(&mut problems);
        if problems.is_empty() { Ok(()) } else { Err(SettingsError { problems }) }
    }

    fn check_limits(&self, problems: &mut Vec<String>) {
        let limits = [
            ("--max-concurrent-calls", self.max_concurrent_calls as u64),
            ("--max-queued-calls", self.max_queued_calls as u64),
            ("--max-body-bytes", self.max_body_bytes),
            ("--max-prompt-bytes", self.max_prompt_bytes),
            ("--max-header-bytes", self.max_header_bytes as u64),
            ("--silent-after-ms", self.silent_after_ms),
        ];
        for (flag, value) in limits {
            if value == 0 {
                problems.push(format!("{flag}: must be above 0"));
            }
        }
        if self.max_prompt_bytes > self.max_body_bytes {
            problems.push("--max-prompt-bytes: above --max-body-bytes".to_string());
        }
        let rates = [
            ("--platform-reads-per-s", self.platform_reads_per_s),
            ("--platform-writes-per-s", self.platform_writes_per_s),
        ];
        for (flag, rate) in rates {
            if !(rate.is_finite() && rate > 0.0) {
                problems.push(format!("{flag}: must be above 0"));
            }
        }
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}
