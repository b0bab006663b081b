//! Limits each proxy to a share of a processor, as on a machine that other programs use, too: a process that has used
//! more than its share is stopped until its share has caught up.

use super::background::BackgroundThread;
use super::world::World;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Interval between two looks at the processes.
const INTERVAL: Duration = Duration::from_millis(1);
/// Longest pause. The platform holds a proxy up for 150 ms at most; whoever owes more is paused again right after.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Processor time, in ns, that an idle process saves up at most.
const MAX_CREDIT_NS: f64 = 500_000.0;

/// Limits the running proxies of a world, and those that start later, to this share of a processor each.
/// Dropping the result resumes them.
pub fn limit(world: &World, share: f64) -> BackgroundThread {
    let world = world.clone();
    BackgroundThread::start(move |stopped| {
        let mut processes: HashMap<u32, Process> = HashMap::new();
        while !stopped.load(Ordering::Relaxed) {
            let running = world.process_ids();
            processes.retain(|id, _| running.iter().any(|(_, running)| running == id));
            for (_, id) in running {
                if let Entry::Vacant(vacant) = processes.entry(id) {
                    Process::new(id).map(|process| vacant.insert(process));
                }
            }
            let held = world.stopped().clone();
            for process in
                processes.iter_mut().filter(|(id, _)| !held.contains(id)).map(|(_, process)| process)
            {
                process.adjust(share);
            }
            std::thread::sleep(INTERVAL);
        }
    })
}

/// A process and the processor time that it may still use.
struct Process {
    id: Pid,
    schedstat: File,
    used_ns: f64,
    credit_ns: f64,
    seen_at: Instant,
    paused_at: Option<Instant>,
}

impl Process {
    fn new(id: u32) -> Option<Self> {
        let schedstat = File::open(format!("/proc/{id}/schedstat")).ok()?;
        let used_ns = processor_time(&schedstat)?;
        let id = Pid::from_raw(i32::try_from(id).ok()?)?;
        Some(Process { id, schedstat, used_ns, credit_ns: 0.0, seen_at: Instant::now(), paused_at: None })
    }

    /// Pauses the process if it has used more than its share, and resumes it once its share has caught up.
    fn adjust(&mut self, share: f64) {
        let Some(used_ns) = processor_time(&self.schedstat) else { return };
        let now = Instant::now();
        let earned_ns = (now - self.seen_at).as_nanos() as f64 * share;
        self.credit_ns = (self.credit_ns + earned_ns).min(MAX_CREDIT_NS) - (used_ns - self.used_ns);
        (self.used_ns, self.seen_at) = (used_ns, now);
        let paused_long = self.paused_at.is_some_and(|at| now - at >= MAX_PAUSE);
        if self.credit_ns >= 0.0 || paused_long {
            self.resume();
        } else if self.paused_at.is_none() && kill_process(self.id, Signal::STOP).is_ok() {
            self.paused_at = Some(now);
        }
    }

    fn resume(&mut self) {
        if self.paused_at.take().is_some() {
            // Fails only if the process has ended.
            let _ = kill_process(self.id, Signal::CONT);
        }
    }
}

/// A process that is no longer limited, as a step is about to end it, must not stay paused.
impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
    }
}

/// The first number in `schedstat`: ns spent on a processor.
fn processor_time(schedstat: &File) -> Option<f64> {
    let mut buffer = [0; 64];
    let length = schedstat.read_at(&mut buffer, 0).ok()?;
    std::str::from_utf8(&buffer[..length]).ok()?.split_whitespace().next()?.parse().ok()
}
