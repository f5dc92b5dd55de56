//! Engine stand-in: faults, and models split into stages.

mod common;

use common::{call, generate, get, positions, request, start_engine};
use godwit_schema::engine::{
    CancelRequest, EngineFaults, EngineRefusal, GenerateEventKind, JournalAction, JournalEntry,
    LoadReport, RefusalReason, Stage, StepRequest,
};
use godwit_standin::{EngineStandin, expected_tokens};

fn stage(engine: &EngineStandin, server: &str, layer_from: u32, layer_to: u32) -> Stage {
    let address = engine.address().to_string();
    Stage { server: server.to_string(), address, layer_from, layer_to }
}

fn two_stages() -> (EngineStandin, EngineStandin, Vec<Stage>) {
    let first = start_engine("stage-1", 0, 5);
    let second = start_engine("stage-2", 4, 8);
    let stages = vec![stage(&first, "stage-1", 0, 5), stage(&second, "stage-2", 5, 8)];
    (first, second, stages)
}

#[test]
fn split_model_whole_answer() {
    let (first, second, stages) = two_stages();
    let mut split = request("r1", "split", 6);
    split.stages = stages;
    let stream = generate(first.address(), &split);
    assert_eq!(stream.tokens(), expected_tokens("barley", "split", 6));
    let expected: Vec<u32> = (0..6).collect();
    for (engine, layers) in [(&first, [0, 5]), (&second, [5, 8])] {
        let journal = engine.journal();
        assert_eq!(positions(&journal, JournalAction::Step), expected);
        let steps: Vec<&JournalEntry> =
            journal.iter().filter(|e| e.action == JournalAction::Step).collect();
        assert!(steps.iter().all(|entry| entry.layers == layers));
    }
}

#[test]
fn split_model_stage_crashes() {
    let (first, second, stages) = two_stages();
    let dies = EngineFaults { die_at_position: Some(2), ..Default::default() };
    second.set_faults(dies).unwrap();
    let mut split = request("r1", "split", 6);
    split.stages = stages;
    let stream = generate(first.address(), &split);
    let last = stream.events.last().unwrap();
    assert_eq!((last.kind, last.position), (GenerateEventKind::Error, 2));
    assert_eq!(last.failed_server.as_deref(), Some("stage-2"));
    assert_eq!(positions(&second.journal(), JournalAction::Step), [0, 1]);
    assert!(get(second.address(), "/v1/load").is_none());
}

#[test]
fn split_model_hanging_stage_and_cancel() {
    let (first, second, stages) = two_stages();
    let hangs = EngineFaults { hang_at_position: Some(1), ..Default::default() };
    second.set_faults(hangs).unwrap();
    let mut split = request("r1", "split", 6);
    split.stages = stages;
    let address = first.address();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| generate(address, &split));
        while positions(&first.journal(), JournalAction::Step).len() < 2 {
            std::thread::yield_now();
        }
        let cancel = CancelRequest { request_id: "r1".to_string(), attempt: 1 };
        assert_eq!(call("POST", address, "/v1/cancel", &cancel).unwrap().status, 200);
        let stream = stream.join().unwrap();
        let last = stream.events.last().unwrap();
        assert_eq!((last.kind, last.position), (GenerateEventKind::Error, 1));
    });
    let load: LoadReport = get(address, "/v1/load").unwrap().json();
    assert_eq!((load.running, load.pending_tokens), (0, 0));
    assert_eq!(positions(&second.journal(), JournalAction::Step), [0]);
}

#[test]
fn load_report_lags() {
    let engine = start_engine("engine-1", 0, 8);
    let faults = EngineFaults {
        hang_at_position: Some(1),
        stale_load_report_ms: 3_600_000,
        ..Default::default()
    };
    engine.set_faults(faults.clone()).unwrap();
    let address = engine.address();
    std::thread::scope(|scope| {
        let stream = scope.spawn(move || generate(address, &request("r1", "lag", 6)));
        while positions(&engine.journal(), JournalAction::Token).is_empty() {
            std::thread::yield_now();
        }
        let slow = EngineFaults { slow_factor: 1e6, hang_at_position: None, ..faults };
        engine.set_faults(slow).unwrap();
        let load: LoadReport = get(address, "/v1/load").unwrap().json();
        assert_eq!((load.running, load.pending_tokens), (0, 0));
        engine.set_faults(EngineFaults { slow_factor: 1e6, ..Default::default() }).unwrap();
        let load: LoadReport = get(address, "/v1/load").unwrap().json();
        assert_eq!(load.running, 1);
        assert!((1..=5).contains(&load.pending_tokens));
        engine.set_faults(EngineFaults { dead: true, ..Default::default() }).unwrap();
        assert!(!stream.join().unwrap().is_complete());
    });
}

#[test]
fn step_refuses_stale_attempt_and_completed_position() {
    let (_, second, stages) = two_stages();
    let step = |attempt, position| StepRequest {
        request_id: "r1".to_string(),
        model: "barley".to_string(),
        prompt: "split".to_string(),
        attempt,
        position,
        stage_index: 1,
        stages: stages.clone(),
    };
    let send = |step| call("POST", second.address(), "/v1/step", &step).unwrap();
    assert_eq!(send(step(2, 0)).status, 200);
    assert_eq!(send(step(2, 0)).json::<EngineRefusal>().reason, RefusalReason::PositionDone);
    assert_eq!(send(step(1, 1)).json::<EngineRefusal>().reason, RefusalReason::StaleAttempt);
    assert_eq!(send(step(3, 0)).status, 200);
    assert_eq!(positions(&second.journal(), JournalAction::Step), [0, 0]);
}

#[test]
fn engine_crashes_at_position() {
    let engine = start_engine("engine-1", 0, 8);
    let dies = EngineFaults { die_at_position: Some(3), ..Default::default() };
    engine.set_faults(dies).unwrap();
    let stream = generate(engine.address(), &request("r1", "dies", 9));
    assert!(!stream.is_complete());
    assert_eq!(stream.tokens(), expected_tokens("barley", "dies", 3));
    assert!(get(engine.address(), "/v1/load").is_none());
    let faults = call("PUT", engine.control_address(), "/faults", &EngineFaults::default());
    assert_eq!(faults.unwrap().status, 200);
    assert!(generate(engine.address(), &request("r1", "dies", 9)).is_complete());
}

#[test]
fn engine_crash_marker_and_restart() {
    let engine = start_engine("engine-1", 0, 8);
    let before: LoadReport = get(engine.address(), "/v1/load").unwrap().json();
    let faults = EngineFaults {
        crash_marker: Some("poison".to_string()),
        restart_after_ms: Some(1),
        ..Default::default()
    };
    engine.set_faults(faults).unwrap();
    for attempt in 1..3 {
        let mut crashing = request("r1", "a poison pill", 4);
        crashing.attempt = attempt;
        while get(engine.address(), "/v1/load").is_none() {
            std::thread::yield_now();
        }
        assert!(!generate(engine.address(), &crashing).is_complete());
    }
    while get(engine.address(), "/v1/load").is_none() {
        std::thread::yield_now();
    }
    let after: LoadReport = get(engine.address(), "/v1/load").unwrap().json();
    assert!(after.started_at_unix_ms > before.started_at_unix_ms);
    assert!(generate(engine.address(), &request("r2", "harmless", 4)).is_complete());
}

#[test]
fn engine_refuses_connections_and_reopens() {
    let engine = start_engine("engine-1", 0, 8);
    let refusing = EngineFaults { refuse_connections: true, ..Default::default() };
    engine.set_faults(refusing).unwrap();
    assert!(std::net::TcpStream::connect(engine.address()).is_err());
    engine.set_faults(EngineFaults::default()).unwrap();
    assert!(generate(engine.address(), &request("r1", "again", 4)).is_complete());
}

#[test]
fn engine_duplicates_tokens() {
    let engine = start_engine("engine-1", 0, 8);
    let twice = EngineFaults { duplicate_tokens: true, ..Default::default() };
    engine.set_faults(twice).unwrap();
    let stream = generate(engine.address(), &request("r1", "twice", 2));
    let seen: Vec<u32> = stream.events.iter().map(|event| event.position).collect();
    assert_eq!(seen, [0, 0, 1, 1, 2]);
    assert_eq!(positions(&engine.journal(), JournalAction::Token), [0, 1]);
}

#[test]
fn engine_cancels_when_client_disconnects() {
    let engine = start_engine("engine-1", 0, 8);
    let slow = EngineFaults { slow_factor: 20.0, ..Default::default() };
    engine.set_faults(slow).unwrap();
    let response = minreq::post(format!("http://{}/v1/generate", engine.address()))
        .with_body(serde_json::to_vec(&request("r1", "goodbye", 200)).unwrap())
        .send_lazy()
        .unwrap();
    drop(response);
    while engine.journal().last().map(|entry| entry.action) != Some(JournalAction::Cancelled) {
        std::thread::yield_now();
    }
}
