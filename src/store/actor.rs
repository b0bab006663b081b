//! Runs the store on a thread of its own, so that no request waits for the disk. Suspensions by the operators are
//! written at once, everything else at a bounded rate. The thread's queue is bounded; a job that finds it full is
//! refused.

use super::disk::DiskFolder;
use super::state::Store;
use crate::core::counters::{count, Count};
use crate::effective_list::Suspension;
use crate::interface::Time;
use crate::knowledge::Knowledge;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of jobs that wait for the disk.
const QUEUE_LEN: usize = 32;

enum Job {
    Suspend(Arc<str>, Suspension, oneshot::Sender<Result<(), String>>),
    Snapshot(Box<Knowledge>, Time, oneshot::Sender<Result<(), String>>),
    PutRecord(String, Vec<u8>, oneshot::Sender<Result<(), String>>),
}

/// Handle of the store's thread. Clones use the same thread.
#[derive(Clone)]
pub struct StoreHandle(mpsc::Sender<Job>);

impl StoreHandle {
    /// Moves a store to a new thread, which ends once the last clone of this handle is dropped.
    ///
    /// # Errors
    /// When the thread cannot be created.
    pub fn start(mut store: Store<DiskFolder>) -> std::io::Result<Self> {
        let (jobs, mut queue) = mpsc::channel(QUEUE_LEN);
        std::thread::Builder::new().name("store".into()).spawn(move || {
            let report = |done: &std::io::Result<()>| {
                if let Err(e) = done {
                    count(Count::store_failures);
                    log::warn!("store: write failed: {e}");
                }
            };
            report(&store.begin());
            while let Some(job) = queue.blocking_recv() {
                let (done, reply) = match job {
                    Job::Suspend(name, suspension, reply) => {
                        (store.append_suspension(&name, &suspension), reply)
                    }
                    Job::Snapshot(knowledge, at, reply) => (store.snapshot(&knowledge, at), reply),
                    Job::PutRecord(name, bytes, reply) => (store.put_record(&name, &bytes), reply),
                };
                report(&done);
                let _ = reply.send(done.map_err(|e| e.to_string()));
            }
        })?;
        Ok(StoreHandle(jobs))
    }

    async fn submit(
        &self,
        job: impl FnOnce(oneshot::Sender<Result<(), String>>) -> Job,
    ) -> Result<(), String> {
        let (reply, done) = oneshot::channel();
        self.0.try_send(job(reply)).map_err(|_| "the disk does not keep up".to_string())?;
        done.await.unwrap_or_else(|_| Err("the store has ended".to_string()))
    }

    /// Writes a snapshot of what the proxy knows.
    ///
    /// # Errors
    /// Why it could not be written.
    pub async fn snapshot(&self, knowledge: Box<Knowledge>, at: Time) -> Result<(), String> {
        self.submit(|reply| Job::Snapshot(knowledge, at, reply)).await
    }

    /// Writes a record under a name, next to the snapshot; an empty record removes it.
    ///
    /// # Errors
    /// Why the write could not be confirmed; the record may have been written.
    pub async fn put_record(&self, name: String, bytes: Vec<u8>) -> Result<(), String> {
        self.submit(|reply| Job::PutRecord(name, bytes, reply)).await
    }

    /// Writes the suspension or restore of a member. The operators' call may be confirmed only after this succeeds.
    ///
    /// # Errors
    /// Why the write could not be confirmed; it may have been written.
    pub async fn record_suspension(&self, name: Arc<str>, suspension: Suspension) -> Result<(), String> {
        self.submit(|reply| Job::Suspend(name, suspension, reply)).await
    }
}
