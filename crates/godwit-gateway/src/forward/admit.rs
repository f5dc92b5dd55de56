//! Admission of requests by the configuration that is active when they arrive.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use godwit_adapter::{CallerHead, decode_caller_head};
use godwit_core::quarantine::{fingerprint_pieces, part_fingerprint};
use godwit_core::site::{Configuration, Mismatch, RequestMatch, UnreadableEntry, Work, urgency_of};
use godwit_core::{Admission, Code, SteadyMs, Target};
use http::request::Parts;
use tracing::info;

use crate::content::Content;
use crate::memory::{HeldContent, Reservation};
use crate::replica::ObjectKind;
use crate::site::Site;
use crate::store::bounded_text;

/// Deadline of a request whose caller sets none, in milliseconds after its arrival.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Fingerprint of a request, shown as hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Fingerprint(pub(crate) u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Settings that the configuration gives to a request.
pub(crate) struct RequestPolicy {
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) work: Work,
    /// Host name and path prefix of the route.
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) workspace: Option<String>,
    /// Urgency of the request; 0 goes first.
    pub(crate) priority: u32,
    pub(crate) max_attempts: u32,
    pub(crate) target_latency_ms: u64,
    /// Time by which the final response is due: the caller's deadline or the route's timeout, whichever is earlier.
    pub(crate) response_deadline: SteadyMs,
    /// Seed of the random choices for this request.
    pub(crate) seed: u64,
}

impl RequestPolicy {
    /// Returns the urgency for the labels of metrics.
    pub(crate) fn urgency_label(&self) -> String {
        self.urgency().to_string()
    }

    /// Returns the urgency of the request.
    pub(crate) fn urgency(&self) -> u8 {
        urgency_of(self.priority)
    }

    /// Whether more urgent requests for the service come first.
    pub(crate) fn is_ordered(&self) -> bool {
        self.configuration.is_ordered(&self.service)
    }

    /// Returns the urgency that servers are told, so that they admit by it.
    pub(crate) fn sent_urgency(&self) -> Option<u8> {
        self.is_ordered().then(|| self.urgency())
    }
}

/// A request that the configuration admits, with its complete body.
pub(crate) struct AdmittedRequest {
    pub(crate) incoming: IncomingRequest,
    pub(crate) body: Content,
    _body_memory: Reservation,
    pub(crate) policy: RequestPolicy,
    /// Identifies the same request in other attempts of callers and at other hosts.
    pub(crate) fingerprint: Fingerprint,
    /// Identifies the parts of the prompt that other requests may share.
    pub(crate) part_fingerprints: Vec<u64>,
    /// Whether a server has ended under the request.
    pub(crate) has_lost_server: Cell<bool>,
    /// Whether a copy of the request is being cancelled, whose connection closes at once.
    pub(crate) is_cancelling_copy: Cell<bool>,
    /// Ids of the servers to which the request was sent.
    sent_to: RefCell<BTreeSet<String>>,
}

impl AdmittedRequest {
    pub(crate) fn new(
        incoming: IncomingRequest,
        body: HeldContent,
        policy: RequestPolicy,
    ) -> AdmittedRequest {
        let (body, body_memory) = body.into_parts();
        let workspace = policy.workspace.as_deref().unwrap_or_default();
        let method = incoming.parts.method.as_str();
        let fingerprint =
            Fingerprint(fingerprint_pieces(workspace, method, incoming.target(), body.pieces()));
        let parts = shared_parts(&incoming.head);
        let part = |id: &String| part_fingerprint(&policy.service, id);
        let part_fingerprints = parts.iter().map(part).collect();
        let sent_to = RefCell::default();
        let (has_lost_server, is_cancelling_copy) = (Cell::new(false), Cell::new(false));
        AdmittedRequest {
            incoming,
            body,
            _body_memory: body_memory,
            policy,
            fingerprint,
            part_fingerprints,
            has_lost_server,
            is_cancelling_copy,
            sent_to,
        }
    }

    /// Records that the request is sent to a server, and returns whether that is the first time.
    pub(crate) fn record_send(&self, server_id: &str) -> bool {
        self.sent_to.borrow_mut().insert(server_id.to_string())
    }

    /// Returns all that may end the servers of this request: itself, and the parts of its prompt that others may share.
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.part_fingerprints.iter().copied().map(Fingerprint);
        std::iter::once(self.fingerprint).chain(parts)
    }

    /// Whether this is the request, or has the part, with a fingerprint.
    pub(crate) fn has_fingerprint(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints().any(|own| own == fingerprint)
    }

    /// Returns the ids of the parts of the prompt that other requests may share.
    pub(crate) fn shared_parts(&self) -> &[String] {
        shared_parts(&self.incoming.head)
    }

    /// Returns the path and query as the caller sent them.
    pub(crate) fn request_target(&self) -> &str {
        self.incoming.target()
    }

    /// Returns the terms with which the request's lifecycle starts.
    pub(crate) fn admission(&self, site: &Site) -> Admission {
        let left_ms = self.policy.response_deadline.since_ms(site.now());
        Admission {
            workspace: self.policy.workspace.clone().unwrap_or_default(),
            kind: format!("{:?}", self.policy.work),
            event: None,
            rule: self.policy.service.clone(),
            target: Target::Service(self.policy.service.clone()),
            priority: u8::try_from(self.policy.priority).unwrap_or(u8::MAX),
            non_idempotent: !self.policy.work.may_run_again(),
            deadline: site.clock.unix_now().plus_ms(left_ms),
            max_tokens: self.incoming.head.max_answer_tokens.unwrap_or(0) as u32,
            may_use_reserve: false,
            prompt_bytes: self.body.len() as u64,
        }
    }
}

/// Returns the parts of a prompt that other requests may share.
fn shared_parts(head: &CallerHead) -> &[String] {
    let parts = head.prompt_parts.as_slice();
    parts.split_last().map_or(parts, |(_, shared)| shared)
}

/// A request as received, without its body.
pub(crate) struct IncomingRequest {
    pub(crate) parts: Parts,
    pub(crate) head: CallerHead,
    pub(crate) received: SteadyMs,
}

impl IncomingRequest {
    pub(crate) fn new(parts: Parts, received: SteadyMs) -> IncomingRequest {
        let headers = parts.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
        let head = decode_caller_head(headers);
        IncomingRequest { parts, head, received }
    }

    fn target(&self) -> &str {
        self.parts.uri.path_and_query().map_or("/", |target| target.as_str())
    }

    fn host_name(&self) -> Option<&str> {
        let header = self.parts.headers.get(http::header::HOST);
        let header = header.and_then(|value| value.to_str().ok());
        header.or_else(|| self.parts.uri.host())
    }
}

/// Logs that a request is refused since an entry of the configuration cannot be read.
fn log_unreadable_entry(incoming: &IncomingRequest, version: u64, entry: &UnreadableEntry) {
    let request = &incoming.head.request_id;
    info!(event = "entry_unreadable", request, version, entry = bounded_text(entry));
}

/// Applies the active configuration to a request.
///
/// # Errors
/// The code with which the request must be refused.
pub(crate) fn admit(site: &Site, incoming: &IncomingRequest) -> Result<RequestPolicy, Code> {
    let configuration = site.configuration().ok_or(Code::NotConfigured)?;
    let host_name = incoming.host_name().ok_or(Code::UnknownPath)?;
    let seed: u64 = rand::random();
    let (path, key) = (incoming.parts.uri.path(), incoming.head.key.as_deref());
    let matched = configuration.match_request(host_name, path, key, seed >> 16);
    let RequestMatch { route, service, workspace } =
        matched.map_err(|mismatch| match mismatch {
            // Callers do not come back after 404 or 401, which is wrong if a newer version allows the request.
            Mismatch::UnknownPath | Mismatch::UnknownKey
                if site.is_confirmation_overdue(ObjectKind::Configuration) =>
            {
                Code::ConfigurationUnconfirmed
            }
            Mismatch::UnknownPath | Mismatch::UnknownKey
                if site.is_newest_configuration_unreadable() =>
            {
                Code::ConfigurationUnreadable
            }
            Mismatch::UnknownPath => Code::UnknownPath,
            Mismatch::UnknownKey => Code::UnknownKey,
            Mismatch::Unreadable(entry) => {
                log_unreadable_entry(incoming, configuration.version(), entry);
                Code::ConfigurationUnreadable
            }
        })?;
    let wait_ms = incoming.head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    Ok(RequestPolicy {
        work: route.work,
        route: format!("{}{}", route.host_name, route.path_prefix),
        service: service.to_string(),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        priority: u32::from(configuration.urgency(service, route, workspace)),
        max_attempts: route.max_attempts,
        target_latency_ms: route.target_latency_ms,
        response_deadline: incoming.received.plus_ms(wait_ms.min(route.timeout_ms)),
        seed,
        configuration: configuration.clone(),
    })
}
