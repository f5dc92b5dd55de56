//! Responses whose servers close the connection within the head.

use crate::host::Host;
use crate::server::{Behavior, BodyFraming, FakeServer};

/// Largest number of bytes of a head that a server sends; longer than the heads are.
const MAX_HEAD_BYTES: usize = 130;

/// Maximum number of calls until each server has had one. Streams choose servers at random, so that on average the last one
/// of the 131 has its first stream after 715 calls; more than 4,000 are needed once in 10^11 runs.
const MAX_CALLS: usize = 4_000;

/// Calls until each of the servers, which cut their heads at all places, has had a request, and checks that no caller gets a
/// success.
fn check_cut_heads(framing: BodyFraming, service: &str, path: &str) {
    let layers = (service == "chat").then_some((0, 16));
    let servers: Vec<FakeServer> = (0..=MAX_HEAD_BYTES)
        .map(|bytes| {
            FakeServer::start(&format!("s-{bytes}"), &[Behavior::CutHead { framing, bytes }])
        })
        .collect();
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry(service, layers))).collect();
    let host = Host::start(&entries);
    let is_unused = |server: &&FakeServer| server.requests().is_empty();
    for _ in 0..MAX_CALLS {
        if let Ok(response) = host.call("POST", path, b"") {
            assert!(response.status() >= 500, "{framing:?}: {}", response.status());
        }
        if servers.iter().filter(is_unused).count() == 0 {
            return;
        }
    }
    let unused: Vec<&str> = servers.iter().filter(is_unused).map(|it| it.id.as_str()).collect();
    panic!("no request reached {unused:?}");
}

#[test]
fn call_whose_head_is_cut_is_no_success() {
    for framing in [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose] {
        check_cut_heads(framing, "api", "/order/1");
    }
}

#[test]
fn call_that_may_run_again_is_no_success_if_all_heads_are_cut() {
    check_cut_heads(BodyFraming::Length, "api", "/read/1");
}

#[test]
fn stream_whose_head_is_cut_is_no_success() {
    for framing in [BodyFraming::Chunked, BodyFraming::UntilClose] {
        check_cut_heads(framing, "chat", "/chat/1");
    }
}
