//! Exact counts of what requests cost: allocations, socket calls, wake-ups and bytes copied.
//!
//! Costs are counted only if the feature `meter` is enabled, for `linentrail-lab cost`; otherwise this module does
//! nothing. Allocations are counted by `stats_alloc`, which is then the program's allocator; wake-ups are the number
//! of times that the runtime polled the kernel for events.

use std::sync::atomic::{AtomicU64, Ordering};

/// Whether costs are counted.
pub const ENABLED: bool = cfg!(feature = "meter");

/// A cost that is counted here.
#[derive(Debug, Clone, Copy)]
pub enum Cost {
    /// Calls that read from a socket.
    Reads,
    /// Read calls that found nothing to read.
    EmptyReads,
    /// Calls that wrote to a socket.
    Writes,
    /// Calls that peek at a socket without consuming data.
    Peeks,
    /// Those of the peeks that check a connection which was idle for a while before it is used again.
    IdleChecks,
    /// Bytes copied in user space while a request or an answer is forwarded.
    Copied,
}

static COSTS: [AtomicU64; 6] = [const { AtomicU64::new(0) }; 6];

/// Adds to a cost; does nothing without the feature.
pub fn add(cost: Cost, n: usize) {
    if ENABLED {
        COSTS[cost as usize].fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// All costs so far as `name=number` pairs, each preceded by a space; empty without the feature.
pub fn counter_fields() -> String {
    if !ENABLED {
        return String::new();
    }
    let of = |c: Cost| COSTS[c as usize].load(Ordering::Relaxed);
    let parks = tokio::runtime::Handle::try_current().map_or(0, |h| h.metrics().worker_park_count(0));
    let (allocations, bytes) = allocations();
    format!(
        " cost_allocations={allocations} cost_allocated={bytes} cost_reads={} cost_empty_reads={} cost_writes={} \
         cost_peeks={} cost_idle_checks={} cost_copied={} cost_wakeups={parks}",
        of(Cost::Reads),
        of(Cost::EmptyReads),
        of(Cost::Writes),
        of(Cost::Peeks),
        of(Cost::IdleChecks),
        of(Cost::Copied),
    )
}

/// Number of allocations and reallocations, and the bytes allocated.
#[cfg(feature = "meter")]
fn allocations() -> (usize, usize) {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    (stats.allocations + stats.reallocations, stats.bytes_allocated)
}

#[cfg(not(feature = "meter"))]
fn allocations() -> (usize, usize) {
    (0, 0)
}
