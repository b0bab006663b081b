//! What the ordinary path costs, counted exactly: allocations, socket calls, wake-ups, bytes copied.
//!
//! Counted only where the feature `meter` is on, for `linentrail-lab cost`; without it nothing here does anything.
//! Allocations are counted by `stats_alloc`, which the program sets as its allocator then; wake-ups are the times that
//! the runtime asked the kernel for events.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether anything is counted.
pub const ON: bool = cfg!(feature = "meter");

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
    if ON {
        COSTS[cost as usize].fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// All costs so far as `name=number` pairs, each behind a space; empty without the feature.
pub fn line() -> String {
    if !ON {
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

/// A stream whose calls to the kernel are counted. The runtime calls the kernel only where it takes the socket for
/// ready, so that a look at this beforehand tells whether a call follows.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Counts the calls on this stream.
    pub fn new(stream: TcpStream) -> Self {
        Socket(stream)
    }

    /// The stream itself.
    pub fn get_ref(&self) -> &TcpStream {
        &self.0
    }
}

impl AsyncRead for Socket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let calls = ON && self.0.poll_read_ready(cx).is_ready();
        let read = Pin::new(&mut self.0).poll_read(cx, buf);
        if calls {
            add(Cost::Reads, 1);
            add(Cost::EmptyReads, usize::from(read.is_pending()));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        add(Cost::Writes, 1);
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        add(Cost::Writes, 1);
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
