//! Settings of an entry host: flags, each with an environment variable, checked whole at start.

use std::fmt;
use std::net::SocketAddr;

use bpaf::Bpaf;

/// Shortest key that the hosts may share.
const PEER_KEY_MIN_BYTES: usize = 16;

/// Policy by which servers are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PolicyName {
    /// Earliest estimated finish of two or more samples.
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
    /// Address for callers
    #[bpaf(env("GODWIT_CALLER_ADDRESS"), argument("IP:PORT"))]
    pub caller_address: SocketAddr,
    /// Address for operators
    #[bpaf(env("GODWIT_OPERATOR_ADDRESS"), argument("IP:PORT"))]
    pub operator_address: SocketAddr,
    /// Address for other hosts, by TCP and UDP
    #[bpaf(env("GODWIT_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: SocketAddr,
    /// Address of the platform's Object API
    #[bpaf(env("GODWIT_PLATFORM_ADDRESS"), argument("IP:PORT"))]
    pub platform_address: SocketAddr,
    /// Key that all hosts share, at least 16 bytes; best given by the environment
    #[bpaf(env("GODWIT_PEER_KEY"), argument("KEY"))]
    pub peer_key: String,
    /// Peer address of another host, known from the start; may be given many times
    #[bpaf(long("seed"), argument("IP:PORT"))]
    pub seeds: Vec<SocketAddr>,
    /// Most requests in progress
    #[bpaf(
        env("GODWIT_MAX_CONCURRENT_CALLS"),
        argument("COUNT"),
        fallback(1024),
        display_fallback
    )]
    pub max_concurrent_calls: usize,
    /// Most requests that wait for a server
    #[bpaf(env("GODWIT_MAX_QUEUED_CALLS"), argument("COUNT"), fallback(512), display_fallback)]
    pub max_queued_calls: usize,
    /// Longest body of a request in bytes
    #[bpaf(env("GODWIT_MAX_BODY_BYTES"), argument("BYTES"), fallback(1048576), display_fallback)]
    pub max_body_bytes: u64,
    /// Longest prompt in bytes
    #[bpaf(env("GODWIT_MAX_PROMPT_BYTES"), argument("BYTES"), fallback(524288), display_fallback)]
    pub max_prompt_bytes: u64,
    /// Longest sum of all headers of a request in bytes
    #[bpaf(env("GODWIT_MAX_HEADER_BYTES"), argument("BYTES"), fallback(16384), display_fallback)]
    pub max_header_bytes: usize,
    /// A server that sends nothing for this long is probed, unless it is expected to be slower
    #[bpaf(env("GODWIT_SILENT_AFTER_MS"), argument("MS"), fallback(700), display_fallback)]
    pub silent_after_ms: u64,
    /// Reads a second of the platform that this host allows itself
    #[bpaf(env("GODWIT_PLATFORM_READS_PER_S"), argument("RATE"), fallback(20.0), display_fallback)]
    pub platform_reads_per_s: f64,
    /// Writes a second of the platform that this host allows itself
    #[bpaf(
        env("GODWIT_PLATFORM_WRITES_PER_S"),
        argument("RATE"),
        fallback(20.0),
        display_fallback
    )]
    pub platform_writes_per_s: f64,
    /// Policy by which servers are chosen: earliest-finish, round-robin or least-load
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

/// All that is wrong with the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// One line for each finding: the flag and what is wrong with it.
    pub findings: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the settings are wrong:")?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks the settings whole.
    ///
    /// # Errors
    /// Everything that is wrong, at once.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut findings = Vec::new();
        for (flag, name) in [("--host", &self.host), ("--failure-domain", &self.failure_domain)] {
            if name.is_empty() || !name.chars().all(is_name_char) {
                findings.push(format!(
                    "{flag}: `{name}` is not a name of letters, digits, `-`, `_`, `.`"
                ));
            }
        }
        if self.peer_key.len() < PEER_KEY_MIN_BYTES {
            findings.push(format!("--peer-key: shorter than {PEER_KEY_MIN_BYTES} bytes"));
        }
        let unspecified =
            [("--peer-address", self.peer_address), ("--platform-address", self.platform_address)];
        for (flag, address) in unspecified {
            if address.ip().is_unspecified() {
                findings.push(format!("{flag}: others need an IP number, not {}", address.ip()));
            }
        }
        self.check_limits(&mut findings);
        if findings.is_empty() { Ok(()) } else { Err(SettingsError { findings }) }
    }

    fn check_limits(&self, findings: &mut Vec<String>) {
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
                findings.push(format!("{flag}: must be above 0"));
            }
        }
        if self.max_prompt_bytes > self.max_body_bytes {
            findings.push("--max-prompt-bytes: above --max-body-bytes".to_string());
        }
        let rates = [
            ("--platform-reads-per-s", self.platform_reads_per_s),
            ("--platform-writes-per-s", self.platform_writes_per_s),
        ];
        for (flag, rate) in rates {
            if !(rate.is_finite() && rate > 0.0) {
                findings.push(format!("{flag}: must be above 0"));
            }
        }
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}
