use godwit_core::SteadyMs;
use godwit_core::site::{Load, LoadSource, LoadTable, PeerLoadReport};

const ONE: Load = Load { requests: 1, kv_tokens: 100 };

fn told(sender: &str, sequence: u64, requests: u32) -> PeerLoadReport {
    let load = Load { requests, kv_tokens: 0 };
    PeerLoadReport {
        by_server: [("s-1".to_string(), load)].into(),
        sender: sender.to_string(),
        born_unix_ms: 1,
        sequence,
    }
}

#[test]
fn load_of_ended_work_is_gone() {
    let mut book = LoadTable::new(1_000);
    book.start("s-1", ONE);
    book.start("s-1", ONE);
    book.end("s-1", ONE);
    assert_eq!(book.total("s-1"), ONE);
    book.end("s-1", ONE);
    assert!(book.own().is_empty());
}

#[test]
fn load_adds_up_what_hosts_report() {
    let mut book = LoadTable::new(1_000);
    book.start("s-1", ONE);
    book.record_report(LoadSource::Host("h-2".to_string()), told("h-2", 1, 3), SteadyMs(0));
    book.record_report(LoadSource::Domain("b".to_string()), told("h-9", 1, 5), SteadyMs(0));
    assert_eq!(book.total("s-1").requests, 9);
    assert_eq!(book.domain_sum()["s-1"].requests, 4);
    assert_eq!(book.sum_excluding("h-2")["s-1"].requests, 6);
}

#[test]
fn load_by_the_collector_replaces_reports() {
    let mut book = LoadTable::new(1_000);
    book.record_report(LoadSource::Host("h-2".to_string()), told("h-2", 1, 3), SteadyMs(0));
    book.record_report(LoadSource::Collector, told("h-1", 1, 7), SteadyMs(0));
    assert_eq!(book.total("s-1").requests, 7);
}

#[test]
fn load_ignores_an_older_message() {
    let mut book = LoadTable::new(1_000);
    book.record_report(LoadSource::Collector, told("h-1", 2, 7), SteadyMs(0));
    book.record_report(LoadSource::Collector, told("h-1", 1, 1), SteadyMs(1));
    assert_eq!(book.total("s-1").requests, 7);
}

#[test]
fn load_takes_the_word_of_a_new_collector() {
    let mut book = LoadTable::new(1_000);
    book.record_report(LoadSource::Collector, told("h-1", 900, 7), SteadyMs(0));
    book.record_report(LoadSource::Collector, told("h-2", 1, 4), SteadyMs(1));
    assert_eq!(book.total("s-1").requests, 4);
}

#[test]
fn load_of_a_silent_host_expires() {
    let mut book = LoadTable::new(1_000);
    book.record_report(LoadSource::Host("h-2".to_string()), told("h-2", 1, 3), SteadyMs(0));
    book.expire(SteadyMs(999));
    assert_eq!(book.total("s-1").requests, 3);
    book.expire(SteadyMs(1_000));
    assert_eq!(book.total("s-1").requests, 0);
}
