//! Measures how long processes were ready to run but not scheduled, as counted by the kernel (`/proc/PID/schedstat`).

use super::background::BackgroundThread;
use super::events::{EventKind, EventLog, Micros};
use super::world::World;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval between two reads of the kernel's counters.
const INTERVAL: Duration = Duration::from_millis(50);
/// Shorter delays are not recorded.
const RECORDED_MIN: Micros = 10_000;

/// Starts recording the delays of the rig's own threads and of the proxies in the world's log.
pub fn watch(world: &World) -> BackgroundThread {
    let world = world.clone();
    BackgroundThread::start(move |stopped| {
        let mut delays = RunDelays::default();
        while !stopped.load(Ordering::Relaxed) {
            let rig = delays.of_rig();
            record(world.log(), None, rig);
            for (proxy, id) in world.process_ids() {
                let delayed = delays.increase(&format!("/proc/{id}/schedstat"));
                record(world.log(), Some(proxy), delayed);
            }
            std::thread::sleep(INTERVAL);
        }
    })
}

fn record(log: &EventLog, proxy: Option<u32>, us: Micros) {
    if us >= RECORDED_MIN {
        log.record(EventKind::Delayed { proxy, us });
    }
}

/// The counters at the last read, by file.
#[derive(Default)]
struct RunDelays(HashMap<String, Micros>);

impl RunDelays {
    /// The increase of a counter since the last read; 0 at the first read.
    fn increase(&mut self, file: &str) -> Micros {
        let Some(now) = std::fs::read_to_string(file).ok().and_then(|text| run_delay(&text)) else {
            return 0;
        };
        let before = self.0.insert(file.to_string(), now);
        before.map_or(0, |before| now.saturating_sub(before))
    }

    /// The largest increase among the threads of this process.
    fn of_rig(&mut self) -> Micros {
        let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
        let files = threads.map(|thread| thread.path().join("schedstat").display().to_string());
        files.map(|file| self.increase(&file)).max().unwrap_or(0)
    }
}

/// The second of three numbers in `schedstat`: ns spent waiting for a processor.
fn run_delay(schedstat: &str) -> Option<Micros> {
    schedstat.split_whitespace().nth(1)?.parse::<Micros>().ok().map(|ns| ns / 1_000)
}
