//! A thread of the rig that works beside a run, until the run is over.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Handle of the thread. Dropping it stops and joins the thread, so that the thread does not keep the world and its
/// processes alive any longer.
pub struct BackgroundThread {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundThread {
    /// Starts a thread that runs `work` until the flag that it gets is set.
    pub fn start(work: impl FnOnce(&AtomicBool) + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        BackgroundThread { stop, thread: Some(std::thread::spawn(move || work(&stopped))) }
    }
}

impl Drop for BackgroundThread {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
