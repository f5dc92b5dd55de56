//! A thread pool that grows on demand and shrinks when idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};

const STACK_BYTES: usize = 256 * 1024;
/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// A thread pool with as many threads as concurrent jobs. Idle threads end after 10 s, or when the pool is dropped.
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
    job_sender: Sender<Job>,
    job_receiver: Receiver<Job>,
    idle_count: Arc<AtomicUsize>,
}

impl Workers {
    /// Creates a pool without threads; `name` is the name of each thread.
    pub fn new(name: &'static str) -> Workers {
        let (job_sender, job_receiver) = flume::unbounded();
        Workers { name, job_sender, job_receiver, idle_count: Arc::default() }
    }

    /// Runs a job on an idle thread, or on a new one.
    ///
    /// # Errors
    /// When no thread can be started, in which case the job does not run.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let job: Job = Box::new(job);
        if reserve_idle(&self.idle_count) {
            // The reserved thread receives the job; the channel is open as long as the pool exists.
            let _ = self.job_sender.send(job);
            return Ok(());
        }
        let (jobs, idle_count) = (self.job_receiver.clone(), self.idle_count.clone());
        let builder = thread::Builder::new().name(self.name.to_string());
        builder.stack_size(STACK_BYTES).spawn(move || run_jobs(job, &jobs, &idle_count))?;
        Ok(())
    }
}

/// Reserves an idle thread; returns false if there is none.
fn reserve_idle(idle_count: &AtomicUsize) -> bool {
    let decrement = |count: usize| count.checked_sub(1);
    idle_count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
}

fn run_jobs(first_job: Job, jobs: &Receiver<Job>, idle_count: &AtomicUsize) {
    first_job();
    while let Some(job) = next_job(jobs, idle_count) {
        job();
    }
}

fn next_job(jobs: &Receiver<Job>, idle_count: &AtomicUsize) -> Option<Job> {
    idle_count.fetch_add(1, Ordering::SeqCst);
    match jobs.recv_timeout(IDLE_TIMEOUT) {
        Ok(job) => Some(job),
        Err(flume::RecvTimeoutError::Disconnected) => None,
        // A call of `run` reserved this thread and is about to send a job.
        Err(flume::RecvTimeoutError::Timeout) if !reserve_idle(idle_count) => jobs.recv().ok(),
        Err(flume::RecvTimeoutError::Timeout) => None,
    }
}
