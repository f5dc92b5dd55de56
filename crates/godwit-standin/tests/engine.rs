//! Engine stand-in: complete answers, refusals, queue, resume, cancel, orders, cache and KV transfer.

mod common;

use common::{call, engine_settings, generate, get, positions, request, start_engine};
use godwit_schema::engine::{
    CacheAction, CacheEventsReply, CancelRequest, EngineFaults, EngineOrder, EngineRefusal,
    FinishReason, GenerateEventKind, JournalAction, KvExportReply, LoadReport, OrderAction,
    RefusalReason,
};
use godwit_standin::{EngineStandin, expected_tokens};

#[test]
fn generate_whole_answer() {
    let engine = start_engine("engine-1", 0, 8);
    let stream = generate(engine.address(), &request("r1", "When is my slot?", 12));
    assert!(stream.is_complete());
    assert_eq!(stream.tokens(), expected_tokens("barley", "When is my slot?", 12));
    let last = stream.events.last().expect("stream has events");
    assert_eq!(last.kind, GenerateEventKind::Done);
    assert_eq!((last.position, last.finish_reason), (12, Some(FinishReason::Length)));
    let journal = engine.journal();
    assert_eq!(positions(&journal, JournalAction::Token), (0..12).collect::<Vec<_>>());
    assert!(journal.iter().all(|entry| entry.request_id.as_deref() == Some("r1")));
    assert_eq!(journal.last().map(|entry| entry.action), Some(JournalAction::Done));
}

#[test]
fn generate_finishes_before_max_tokens() {
    let engine = start_engine("engine-1", 0, 8);
    let stream = generate(engine.address(), &request("r1", "short", 10_000));
    let tokens = expected_tokens("barley", "short", 10_000);
    assert!(tokens.len() < 10_000);
    assert_eq!(stream.tokens(), tokens);
    let last = stream.events.last().expect("stream has events");
    assert_eq!(last.finish_reason, Some(FinishReason::Stop));
}

#[test]
fn generate_resumes_at_first_position() {
    let engine = start_engine("engine-1", 0, 8);
    let tokens = expected_tokens("barley", "resume", 10);
    let mut resumed = request("r1", "resume", 10);
    resumed.attempt = 2;
    resumed.first_position = 6;
    resumed.accepted_tokens = tokens[..6].to_vec();
    let stream = generate(engine.address(), &resumed);
    assert_eq!(stream.tokens(), tokens[6..]);
    assert_eq!(positions(&engine.journal(), JournalAction::Token), [6, 7, 8, 9]);
}

#[test]
fn generate_refuses_before_running() {
    let engine = start_engine("engine-1", 0, 4);
    let whole_model_request = request("r1", "hello", 4);
    let response = call("POST", engine.address(), "/v1/generate", &whole_model_request).unwrap();
    assert_eq!(response.status, 404);
    assert_eq!(response.json::<EngineRefusal>().reason, RefusalReason::UnknownModel);
    let response = call("POST", engine.address(), "/v1/generate", &"nonsense").unwrap();
    assert_eq!(response.status, 400);
    assert_eq!(positions(&engine.journal(), JournalAction::Token), [0_u32; 0]);
}

#[test]
fn generate_refuses_stale_and_repeated_attempts() {
    let engine = start_engine("engine-1", 0, 8);
    let mut newer = request("r1", "hello", 3);
    newer.attempt = 2;
    generate(engine.address(), &newer);
    let repeated = call("POST", engine.address(), "/v1/generate", &newer).unwrap();
    assert_eq!(repeated.status, 409);
    assert_eq!(repeated.json::<EngineRefusal>().reason, RefusalReason::PositionDone);
    let older = call("POST", engine.address(), "/v1/generate", &request("r1", "hello", 3)).unwrap();
    assert_eq!(older.json::<EngineRefusal>().reason, RefusalReason::StaleAttempt);
}

#[test]
fn generate_queue_full() {
    let mut settings = engine_settings("engine-1", 0, 8);
    settings.slots = 1;
    settings.queue_limit = 0;
    let engine = EngineStandin::start(settings).unwrap();
    engine.set_faults(EngineFaults { hang_at_position: Some(1), ..Default::default() }).unwrap();
    let address = engine.address();
    std::thread::scope(|scope| {
        let first = scope.spawn(move || generate(address, &request("r1", "one", 4)));
        while positions(&engine.journal(), JournalAction::Token).is_empty() {
            std::thread::yield_now();
        }
        engine.set_faults(EngineFaults { slow_factor: 1e6, ..Default::default() }).unwrap();
        let response = call("POST", address, "/v1/generate", &request("r2", "two", 4)).unwrap();
        assert_eq!(response.status, 503);
        engine.set_faults(EngineFaults { dead: true, ..Default::default() }).unwrap();
        assert!(!first.join().unwrap().is_complete());
    });
    let refused: Vec<_> =
        engine.journal().into_iter().filter(|e| e.action == JournalAction::Refused).collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].request_id.as_deref(), Some("r2"));
}

#[test]
fn cancel_running_attempt() {
    let engine = start_engine("engine-1", 0, 8);
    engine.set_faults(EngineFaults { hang_at_position: Some(2), ..Default::default() }).unwrap();
    let address = engine.address();
    std::thread::scope(|scope| {
        let stream = scope.spawn(move || generate(address, &request("r1", "cancel me", 9)));
        while positions(&engine.journal(), JournalAction::Token).len() < 2 {
            std::thread::yield_now();
        }
        engine.set_faults(EngineFaults { slow_factor: 1e6, ..Default::default() }).unwrap();
        let cancel = CancelRequest { request_id: "r1".to_string(), attempt: 1 };
        assert_eq!(call("POST", address, "/v1/cancel", &cancel).unwrap().status, 200);
        let stream = stream.join().unwrap();
        assert_eq!(stream.events.last().unwrap().kind, GenerateEventKind::Error);
    });
    let journal = engine.journal();
    assert_eq!(journal.last().unwrap().action, JournalAction::Cancelled);
    assert!(positions(&journal, JournalAction::Token).len() < 9);
}

#[test]
fn orders_are_fenced_and_idempotent() {
    let engine = start_engine("engine-1", 0, 8);
    let order = |id: &str, fencing_number| EngineOrder {
        order_id: id.to_string(),
        fencing_number,
        action: OrderAction::LoadAdapter,
        target: "farmgate-tone".to_string(),
    };
    let send = |order| call("POST", engine.address(), "/v1/orders", &order).unwrap();
    assert_eq!(send(order("o1", 7)).status, 200);
    assert_eq!(send(order("o1", 7)).status, 200);
    let old = send(order("o2", 6));
    assert_eq!(old.status, 409);
    assert_eq!(old.json::<EngineRefusal>().reason, RefusalReason::StaleFencingNumber);
    let actions: Vec<_> = engine.journal().iter().map(|entry| entry.action).collect();
    assert_eq!(actions, [JournalAction::Order, JournalAction::Refused]);
    loop {
        let load: LoadReport = get(engine.address(), "/v1/load").unwrap().json();
        assert_eq!(load.highest_fencing_number, 7);
        if load.models == ["barley", "farmgate-tone"] {
            break;
        }
        std::thread::yield_now();
    }
}

#[test]
fn orders_without_fencing_check() {
    let mut settings = engine_settings("engine-1", 0, 8);
    settings.checks_fencing = false;
    let engine = EngineStandin::start(settings).unwrap();
    for (id, fencing_number) in [("o1", 7), ("o2", 6)] {
        let order = EngineOrder {
            order_id: id.to_string(),
            fencing_number,
            action: OrderAction::SetRole,
            target: "spare".to_string(),
        };
        assert_eq!(call("POST", engine.address(), "/v1/orders", &order).unwrap().status, 200);
    }
    assert_eq!(engine.journal().len(), 2);
}

#[test]
fn cache_events_report_eviction() {
    let mut settings = engine_settings("engine-1", 0, 8);
    settings.cache_blocks = 2;
    let engine = EngineStandin::start(settings).unwrap();
    let prompts = [("r1", "a".repeat(128)), ("r2", "b".repeat(64))];
    for (id, prompt) in &prompts {
        generate(engine.address(), &request(id, prompt, 1));
    }
    let reply: CacheEventsReply = get(engine.address(), "/v1/cache-events?after=1").unwrap().json();
    let seen: Vec<_> = reply.events.iter().map(|e| (e.sequence, e.action)).collect();
    let expected = [(2, CacheAction::Stored), (3, CacheAction::Stored), (4, CacheAction::Removed)];
    assert_eq!(seen, expected);
    assert_eq!(reply.newest_sequence, 4);
}

#[test]
fn kv_export_and_import() {
    let from = start_engine("engine-1", 0, 8);
    let to = start_engine("engine-2", 0, 8);
    let partial = start_engine("engine-3", 0, 4);
    generate(from.address(), &request("r1", "hello", 3));
    let kv: KvExportReply = get(from.address(), "/v1/kv?request_id=r1").unwrap().json();
    assert_eq!((kv.position, kv.layer_from, kv.layer_to), (3, 0, 8));
    assert_eq!(call("PUT", to.address(), "/v1/kv", &kv).unwrap().status, 200);
    let imported: KvExportReply = get(to.address(), "/v1/kv?request_id=r1").unwrap().json();
    assert_eq!(imported, kv);
    assert_eq!(call("PUT", partial.address(), "/v1/kv", &kv).unwrap().status, 400);
    assert_eq!(get(to.address(), "/v1/kv?request_id=r2").unwrap().status, 404);
}
