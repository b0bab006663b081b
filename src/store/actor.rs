//! Writes down what is known: the operators' word when it is said, all else at a bounded rate. A thread of its own waits
//! for the disk, so that no request ever does; its mailbox is bounded, and a word that finds no room is refused.

use super::disk::DiskFolder;
use super::state::Store;
use crate::core::counters::{count, Count};
use crate::effective_list::Suspension;
use crate::interface::Time;
use crate::knowledge::Knowledge;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Jobs that may wait for the disk.
const JOBS: usize = 32;

enum Job {
    Suspend(Arc<str>, Suspension, oneshot::Sender<Result<(), String>>),
    Snapshot(Box<Knowledge>, Time, oneshot::Sender<Result<(), String>>),
    PutRecord(String, Vec<u8>, oneshot::Sender<Result<(), String>>),
}

/// The way to the store. Copies lead to the same one.
#[derive(Clone)]
pub struct StoreHandle(mpsc::Sender<Job>);

impl StoreHandle {
    /// Hands a store to a thread of its own, which ends with the last copy of this.
    ///
    /// # Errors
    /// When there is no thread to be had.
    pub fn start(mut store: Store<DiskFolder>) -> std::io::Result<Self> {
        let (jobs, mut mailbox) = mpsc::channel(JOBS);
        std::thread::Builder::new().name("store".into()).spawn(move || {
            let told = |done: &std::io::Result<()>| {
                if let Err(e) = done {
                    count(Count::store_failures);
                    log::warn!("store: it cannot be written: {e}");
                }
            };
            told(&store.begin());
            while let Some(job) = mailbox.blocking_recv() {
                let (done, reply) = match job {
                    Job::Suspend(name, hand, reply) => (store.append_suspension(&name, &hand), reply),
                    Job::Snapshot(all, at, reply) => (store.snapshot(&all, at), reply),
                    Job::PutRecord(name, bytes, reply) => (store.put_record(&name, &bytes), reply),
                };
                told(&done);
                let _ = reply.send(done.map_err(|e| e.to_string()));
            }
        })?;
        Ok(StoreHandle(jobs))
    }

    async fn ask(&self, job: impl FnOnce(oneshot::Sender<Result<(), String>>) -> Job) -> Result<(), String> {
        let (reply, done) = oneshot::channel();
        self.0.try_send(job(reply)).map_err(|_| "the disk does not keep up".to_string())?;
        done.await.unwrap_or_else(|_| Err("the store has ended".to_string()))
    }

    /// Writes down all that is known.
    ///
    /// # Errors
    /// Why it could not be.
    pub async fn snapshot(&self, all: Box<Knowledge>, at: Time) -> Result<(), String> {
        self.ask(|reply| Job::Snapshot(all, at, reply)).await
    }

    /// Writes down something else by its name; an empty one takes it away.
    ///
    /// # Errors
    /// Why it cannot be proved to be written.
    pub async fn put_record(&self, name: String, bytes: Vec<u8>) -> Result<(), String> {
        self.ask(|reply| Job::PutRecord(name, bytes, reply)).await
    }

    /// Writes down what the operators said of a member; only then it may have its yes.
    ///
    /// # Errors
    /// Why it cannot be proved to be written.
    pub async fn record_suspension(&self, name: Arc<str>, hand: Suspension) -> Result<(), String> {
        self.ask(|reply| Job::Suspend(name, hand, reply)).await
    }
}
