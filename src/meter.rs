//! What the ordinary path costs, counted exactly: allocations, socket calls, wake-ups, bytes copied.
//!
//! Counted only where the feature `meter` is on, for `linentrail-lab cost`; without it nothing here does anything.
//! Allocations are counted by `stats_alloc`, which the program sets as its allocator then; wake-ups are the times that
//! the runtime asked the kernel for events.

use std::sync::atomic::{AtomicU64, Ordering};

/// Whether anything is counted.
pub const ENABLED: bool = cfg!(feature = "meter");

/// What is counted here.
#[derive(Debug, Clone, Copy)]
pub enum Cost {
    /// Calls that read from a socket.
    Reads,
    /// Those of them that found nothing to read.
    EmptyReads,
    /// Calls that wrote to a socket.
    Writes,
    /// Looks at a socket that take nothing out.
    Peeks,
    /// Bytes copied in user space on the way of a request or an answer.
    Copied,
}

static COSTS: [AtomicU64; 5] = [const { AtomicU64::new(0) }; 5];

/// Adds to a cost; nothing without the feature.
pub fn add(cost: Cost, n: usize) {
    if ENABLED {
        COSTS[cost as usize].fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// All costs so far as `name=number` pairs, each behind a space; empty without the feature.
pub fn counter_fields() -> String {
    if !ENABLED {
        return String::new();
    }
    let of = |c: Cost| COSTS[c as usize].load(Ordering::Relaxed);
    let parks = tokio::runtime::Handle::try_current().map_or(0, |h| h.metrics().worker_park_count(0));
    let (allocations, bytes) = allocations();
    format!(
        " cost_allocations={allocations} cost_allocated={bytes} cost_reads={} cost_empty_reads={} cost_writes={} \
         cost_peeks={} cost_copied={} cost_wakeups={parks}",
        of(Cost::Reads),
        of(Cost::EmptyReads),
        of(Cost::Writes),
        of(Cost::Peeks),
        of(Cost::Copied),
    )
}

/// Calls for memory, those for more of it included, and the bytes that they asked for.
#[cfg(feature = "meter")]
fn allocations() -> (usize, usize) {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    (stats.allocations + stats.reallocations, stats.bytes_allocated)
}

#[cfg(not(feature = "meter"))]
fn allocations() -> (usize, usize) {
    (0, 0)
}
