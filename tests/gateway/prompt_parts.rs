//! Requests that end servers because of a part of their prompts, beside sound requests that share their caller and their
//! other parts.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::crashes::{CONTACT_WINDOW, MAX_LATE_SENDS, Site, model_fleet};
use crate::fleet::FleetPlan;
use crate::host::{API_KEY, Host};
use crate::server::{DEADLY_AT_RANDOM, DEADLY_PART, PROMPT_PARTS_HEADER};

/// Number of servers that requests with one part may end before they must be stopped.
pub(crate) const MAX_ENDED_SERVERS: usize = 5;

/// Part of all prompts.
const COMMON_PART: &str = "f0";

/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(12);

const DEADLY_INTERVAL: Duration = Duration::from_millis(150);
const SOUND_PAUSE: Duration = Duration::from_millis(25);
const SOUND_CALLERS: usize = 6;

/// Number of requests of a sound caller that share a part of their prompts.
const REQUESTS_IN_SESSION: usize = 4;

/// Part that all requests with the deadly part have, and sound ones only after [`COMPANION_DELAY`].
const COMPANION_PART: &str = "c0de";

const COMPANION_DELAY: Duration = Duration::from_secs(9);

static NEXT_PROMPT: AtomicUsize = AtomicUsize::new(0);

/// Prompts of the requests with a deadly part, and of the sound ones.
#[derive(Clone, Copy, Debug, Default)]
struct Prompts {
    /// What follows [`DEADLY_PART`] in the id of the deadly part.
    deadly_digits: &'static str,
    /// Number of further parts that all prompts share, ahead of the deadly one.
    shared_parts: usize,
    /// Number of further parts that no other prompt has, ahead of the deadly one.
    own_parts: usize,
    has_companion: bool,
}

impl Prompts {
    /// Returns the parts of a prompt with a part of its kind of request, and a last part that no other prompt has.
    fn parts(&self, kind_part: &str, since_start: Duration) -> String {
        let own = NEXT_PROMPT.fetch_add(1, Ordering::Relaxed);
        let shared = (0..self.shared_parts).map(|number| format!("f1{number:04x}:20"));
        let unshared = (0..self.own_parts).map(|number| format!("f2{own:x}{number:04x}:20"));
        let is_due = kind_part.starts_with(DEADLY_PART) || since_start > COMPANION_DELAY;
        let has_companion = self.has_companion && is_due;
        let companion = has_companion.then(|| format!("{COMPANION_PART}:30"));
        let ends = [format!("{kind_part}:400"), format!("{own:x}:100")];
        let parts = [format!("{COMMON_PART}:40")].into_iter().chain(shared).chain(unshared);
        parts.chain(companion).chain(ends).collect::<Vec<_>>().join(",")
    }
}

/// Sends a stream of which no other has the same body and last part. Returns whether it is complete.
fn stream(host: &Host, parts: &str) -> bool {
    let own = NEXT_PROMPT.fetch_add(1, Ordering::Relaxed);
    let key = format!("Bearer {API_KEY}");
    let headers = [("authorization", key.as_str()), (PROMPT_PARTS_HEADER, parts)];
    let response = host.call_with("POST", "/chat/1", &headers, own.to_string().as_bytes());
    response.is_ok_and(|it| it.status() == 200 && it.text().ends_with("data: piece 20\n\n"))
}

/// A sound request of which the server began the response at the first attempt, or not.
struct SoundRequest {
    sent_at: Instant,
    is_served: bool,
}

/// Sends requests with a deadly part and sound ones until [`LENGTH`] has passed, and returns the sound ones.
fn send_requests(site: &Site, prompts: Prompts) -> Vec<SoundRequest> {
    let is_finished = AtomicBool::new(false);
    let is_finished = &is_finished;
    let start = Instant::now();
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..SOUND_CALLERS)
            .map(|caller| {
                let host = &site.hosts[caller % site.hosts.len()];
                scope.spawn(move || {
                    let mut requests = Vec::new();
                    while !is_finished.load(Ordering::Relaxed) {
                        let session = requests.len() / REQUESTS_IN_SESSION;
                        let sent_at = Instant::now();
                        let session_part = format!("5e55{caller:x}{session:04x}");
                        let parts = prompts.parts(&session_part, start.elapsed());
                        let is_served = stream(host, &parts);
                        requests.push(SoundRequest { sent_at, is_served });
                        std::thread::sleep(SOUND_PAUSE);
                    }
                    requests
                })
            })
            .collect();
        for number in 0.. {
            if start.elapsed() > LENGTH {
                break;
            }
            let host = &site.hosts[number % site.hosts.len()];
            let deadly_part = format!("{DEADLY_PART}{}", prompts.deadly_digits);
            let parts = prompts.parts(&deadly_part, start.elapsed());
            scope.spawn(move || stream(host, &parts));
            std::thread::sleep(DEADLY_INTERVAL);
        }
        is_finished.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// Returns the number of sends of requests with the deadly part later than [`CONTACT_WINDOW`] after the fifth end.
fn late_sends(site: &Site, fifth_end: Instant) -> usize {
    let servers = site.fleet.all_servers();
    let handled = servers.iter().flat_map(|server| server.handled());
    let is_deadly = |parts: Option<&str>| parts.is_some_and(|parts| parts.contains(DEADLY_PART));
    let deadly = handled.filter(|handled| is_deadly(handled.request.header(PROMPT_PARTS_HEADER)));
    deadly.filter(|handled| handled.received_at > fifth_end + CONTACT_WINDOW).count()
}

fn check_deadly_part(plan: &FleetPlan, prompts: Prompts) {
    let site = Site::start_with_third_host(plan);
    let sound = send_requests(&site, prompts);
    let ends = site.fleet.end_times();
    assert!(ends.len() >= MAX_ENDED_SERVERS, "the part ended only {} servers", ends.len());
    let fifth_end = ends[MAX_ENDED_SERVERS - 1];
    let late_sends = late_sends(&site, fifth_end);
    let later = sound.iter().filter(|request| request.sent_at > fifth_end + 2 * CONTACT_WINDOW);
    let (served, refused): (Vec<_>, Vec<_>) = later.partition(|request| request.is_served);
    let (ended, served, refused) = (ends.len(), served.len(), refused.len());
    println!("{ended} servers ended, {late_sends} late sends, {served} served, {refused} refused");
    assert!(late_sends <= MAX_LATE_SENDS, "sent {late_sends} times after the fifth end");
    assert!(served > refused, "{served} sound requests served, {refused} refused");
}

#[test]
fn requests_with_a_part_that_ends_five_servers_are_not_sent_on() {
    check_deadly_part(&model_fleet(), Prompts::default());
}

/// The servers of a small service end together, again and again.
#[test]
fn requests_with_a_part_that_ends_a_whole_service_are_not_sent_on() {
    let plan = FleetPlan { layers: vec![Some((0, 16)); 5], ..model_fleet() };
    check_deadly_part(&plan, Prompts::default());
}

/// The events that servers wrote before they ended were taken as proof that the part is sound.
#[test]
fn requests_with_a_part_that_ends_servers_after_some_events_are_not_sent_on() {
    for deadly_digits in ["6", "19", "20"] {
        check_deadly_part(&model_fleet(), Prompts { deadly_digits, ..Prompts::default() });
    }
}

/// Some servers wrote more events than others had at their ends.
#[test]
fn requests_with_a_part_that_ends_servers_after_any_number_of_events_are_not_sent_on() {
    let prompts = Prompts { deadly_digits: DEADLY_AT_RANDOM, ..Prompts::default() };
    check_deadly_part(&model_fleet(), prompts);
}

/// Only the first parts of a prompt were told apart.
#[test]
fn requests_with_a_deadly_part_behind_many_others_are_not_sent_on() {
    check_deadly_part(&model_fleet(), Prompts { shared_parts: 300, ..Prompts::default() });
}

/// Parts that come once leave room for the one that comes again.
#[test]
fn requests_with_a_deadly_part_behind_many_of_their_own_are_not_sent_on() {
    check_deadly_part(&model_fleet(), Prompts { own_parts: 60, ..Prompts::default() });
}

/// The deadly part and another one that no sound request had so far excused each other.
#[test]
fn requests_with_a_deadly_part_and_a_companion_are_not_sent_on() {
    check_deadly_part(&model_fleet(), Prompts { has_companion: true, ..Prompts::default() });
}
