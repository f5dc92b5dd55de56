//! A pool that grows as needed and shrinks when idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};

const STACK_BYTES: usize = 256 * 1024;
/// An idle thread ends after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Threads that are used again; there are as many as jobs at a time, and idle ones end after 10 s or when this is
/// dropped.
///
/// ```
/// use godwit_workers::Workers;
/// let workers = Workers::new("greeter");
/// let (sender, receiver) = flume::bounded(1);
/// workers.run(move || sender.send("hello").unwrap_or_default())?;
/// assert_eq!(receiver.recv(), Ok("hello"));
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct Workers {
    name: &'static str,
    jobs: Sender<Job>,
    waiting_jobs: Receiver<Job>,
    idle: Arc<AtomicUsize>,
}

impl Workers {
    /// No threads yet; `name` is given to each.
    pub fn new(name: &'static str) -> Workers {
        let (jobs, waiting_jobs) = flume::unbounded();
        Workers { name, jobs, waiting_jobs, idle: Arc::default() }
    }

    /// Runs a job on an idle thread, or on a new one.
    ///
    /// # Errors
    /// When no thread can be started; the job does not run then.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let job: Job = Box::new(job);
        if reserve(&self.idle) {
            // The reserved thread receives; the channel is open as long as this lives.
            let _ = self.jobs.send(job);
            return Ok(());
        }
        let (jobs, idle) = (self.waiting_jobs.clone(), self.idle.clone());
        let builder = thread::Builder::new().name(self.name.to_string());
        builder.stack_size(STACK_BYTES).spawn(move || work(job, &jobs, &idle))?;
        Ok(())
    }
}

fn reserve(idle: &AtomicUsize) -> bool {
    let less_one = |count: usize| count.checked_sub(1);
    idle.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less_one).is_ok()
}

fn work(first: Job, jobs: &Receiver<Job>, idle: &AtomicUsize) {
    first();
    while let Some(job) = next_job(jobs, idle) {
        job();
    }
}

fn next_job(jobs: &Receiver<Job>, idle: &AtomicUsize) -> Option<Job> {
    idle.fetch_add(1, Ordering::SeqCst);
    match jobs.recv_timeout(IDLE_TIMEOUT) {
        Ok(job) => Some(job),
        Err(flume::RecvTimeoutError::Disconnected) => None,
        // Someone who reserved this thread is about to send.
        Err(flume::RecvTimeoutError::Timeout) if !reserve(idle) => jobs.recv().ok(),
        Err(flume::RecvTimeoutError::Timeout) => None,
    }
}
