//! Responses whose servers close the connection within the head.

use crate::host::Host;
use crate::links::LinkState;
use crate::lost_links::Site;
use crate::server::{Behavior, BodyFraming, FakeServer};

/// Largest number of bytes of a head that a server sends; longer than the heads are.
const MAX_HEAD_BYTES: usize = 130;

/// Maximum number of calls until each server has had one. Streams choose servers at random, so that on average the last one
/// of 131 has its first stream after 715 calls; more than 4,000 are needed once in 10^11 runs.
const MAX_CALLS: usize = 4_000;

/// Distance between the places at which servers behind a detour cut their heads, as each needs a link for each host.
const DETOUR_STEP_BYTES: usize = 5;

const FRAMINGS: [BodyFraming; 3] =
    [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::UntilClose];

/// Starts a server for each of the places at which a head is cut.
fn start_servers(
    service: &str,
    framing: BodyFraming,
    places: impl Iterator<Item = usize>,
) -> Vec<FakeServer> {
    let start = |bytes| {
        FakeServer::start(&format!("{service}-{bytes}"), &[Behavior::CutHead { framing, bytes }])
    };
    places.map(start).collect()
}

/// Calls until each of the servers has had a request, and checks that no caller gets a success.
fn check_calls(host: &Host, servers: &[FakeServer], path: &str) {
    let is_unused = |server: &&FakeServer| server.requests().is_empty();
    for _ in 0..MAX_CALLS {
        if let Ok(response) = host.call("POST", path, b"") {
            assert!(response.status() >= 500, "{path}: {}", response.status());
        }
        if servers.iter().filter(is_unused).count() == 0 {
            return;
        }
    }
    let unused: Vec<&str> = servers.iter().filter(is_unused).map(|it| it.id.as_str()).collect();
    panic!("no request reached {unused:?}");
}

fn check_cut_heads(framing: BodyFraming, service: &str, path: &str) {
    let layers = (service == "chat").then_some((0, 16));
    let servers = start_servers(service, framing, 0..=MAX_HEAD_BYTES);
    let entries: Vec<_> =
        servers.iter().map(|server| (server.id.as_str(), server.entry(service, layers))).collect();
    check_calls(&Host::start(&entries), &servers, path);
}

/// Checks the same at a host that reaches servers only through another host.
fn check_cut_heads_over_detour(framing: BodyFraming, service: &str, path: &str, first: usize) {
    let places = (first..=MAX_HEAD_BYTES).step_by(DETOUR_STEP_BYTES);
    let site = Site::start_with(start_servers(service, framing, places), 1);
    site.set_links(&[0, 1], LinkState::Refusing);
    check_calls(&site.hosts[0], &site.servers, path);
    site.check_orders_ran_once();
}

#[test]
fn call_whose_head_is_cut_is_no_success() {
    for framing in FRAMINGS {
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

#[test]
fn call_over_detour_whose_head_is_cut_is_no_success() {
    for (first, framing) in FRAMINGS.into_iter().enumerate() {
        check_cut_heads_over_detour(framing, "api", "/order/1", first);
    }
}

#[test]
fn stream_over_detour_whose_head_is_cut_is_no_success() {
    check_cut_heads_over_detour(BodyFraming::UntilClose, "chat", "/chat/1", 3);
}
