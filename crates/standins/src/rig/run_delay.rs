//! How long processes were ready to run and the machine did not let them, as the kernel counts it (`/proc/PID/schedstat`).

use super::events::{EventKind, EventLog, Micros};
use super::world::World;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two looks at the kernel's counts.
const INTERVAL: Duration = Duration::from_millis(50);
/// Delays below this are not noted.
const NOTED_MIN: Micros = 10_000;

/// Watches until it is dropped, which waits for the watch to end: nothing may hold the world, and its processes, behind it.
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Notes in the world's log from now on when the rig's own threads, or a proxy, were delayed.
pub fn watch(world: &World) -> Watch {
    let stop = Arc::new(AtomicBool::new(false));
    let (world, ends) = (world.clone(), stop.clone());
    let thread = std::thread::spawn(move || {
        let mut delays = Delays::default();
        while !ends.load(Ordering::Relaxed) {
            let rig = delays.of_rig();
            note(world.log(), None, rig);
            for (proxy, id) in world.process_ids() {
                let delayed = delays.grown(&format!("/proc/{id}/schedstat"));
                note(world.log(), Some(proxy), delayed);
            }
            std::thread::sleep(INTERVAL);
        }
    });
    Watch { stop, thread: Some(thread) }
}

fn note(log: &EventLog, proxy: Option<u32>, us: Micros) {
    if us >= NOTED_MIN {
        log.record(EventKind::Delayed { proxy, us });
    }
}

/// The counts at the last look, by file.
#[derive(Default)]
struct Delays(HashMap<String, Micros>);

impl Delays {
    /// By how much a count has grown since the last look; 0 at the first one.
    fn grown(&mut self, file: &str) -> Micros {
        let Some(now) = std::fs::read_to_string(file).ok().and_then(|text| run_delay(&text)) else {
            return 0;
        };
        let before = self.0.insert(file.to_string(), now);
        before.map_or(0, |before| now.saturating_sub(before))
    }

    /// That of the thread of this process that was delayed most.
    fn of_rig(&mut self) -> Micros {
        let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
        let files = threads.map(|thread| thread.path().join("schedstat").display().to_string());
        files.map(|file| self.grown(&file)).max().unwrap_or(0)
    }
}

/// The second of three numbers: ns spent waiting for a processor.
fn run_delay(schedstat: &str) -> Option<Micros> {
    schedstat.split_whitespace().nth(1)?.parse::<Micros>().ok().map(|ns| ns / 1_000)
}
