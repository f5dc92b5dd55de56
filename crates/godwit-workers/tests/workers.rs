//! Jobs must run concurrently, and idle threads must be reused.

use std::collections::BTreeSet;
use std::thread;

use godwit_workers::Workers;

#[test]
fn run_jobs_concurrently() {
    let workers = Workers::new("test");
    let (to_first, first) = flume::bounded(0);
    let (to_second, second) = flume::bounded(0);
    workers.run(move || to_first.send(second.recv()).unwrap_or_default()).expect("thread starts");
    workers.run(move || to_second.send(7).unwrap_or_default()).expect("thread starts");
    assert_eq!(first.recv(), Ok(Ok(7)));
}

#[test]
fn run_reuses_idle_thread() {
    let workers = Workers::new("test");
    let (sender, receiver) = flume::unbounded();
    let mut threads = BTreeSet::new();
    for _ in 0..200 {
        let sender = sender.clone();
        workers
            .run(move || sender.send(format!("{:?}", thread::current().id())).unwrap_or_default())
            .expect("thread starts");
        threads.insert(receiver.recv().expect("job ran"));
    }
    assert!(threads.len() < 200);
}
