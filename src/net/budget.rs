//! Resource budgets: sockets of each kind, bytes held in messages, and the rate of replies to invalid messages.

use crate::interface::Time;
use crate::meter::{self, Cost};
use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Descriptors kept for the runtime, listeners, standard streams, discovery and those that libraries open
/// themselves.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory that message buffers may not use: the program itself, idle connections and allocator overhead.
const RESERVED_MEMORY: usize = 16 * 1024 * 1024;
/// Each message is counted once, but up to this many copies of it are in memory: as read, as rendered and as
/// written.
const COPIES_PER_MESSAGE: usize = 3;
const MIN_BYTE_BUDGET: usize = 2 * 1024 * 1024;
/// Half of the byte budget is lent to another process in this many chunks. When a chunk is not free, the next
/// attempt follows after the interval.
const LENT_CHUNKS: usize = 16;
const CHUNK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between replies to invalid messages, in us. No reply is delayed by more than `MAX_ERROR_DELAY`.
const MIN_ERROR_INTERVAL: Time = 10_000;
const MAX_ERROR_DELAY: Time = 800_000;

/// One in this many of all descriptors may belong to clients that were served and have no open request; above that,
/// the connection that has been idle longest is closed. Clients that send one request and then keep the connection
/// open, or are slow to close it, would otherwise leave none for the others.
const IDLE_DIVISOR: usize = 6;

/// A connection without any request so far is evicted only after no byte has arrived on it for this long, as its
/// first request may be under way.
pub const MIN_QUIET_TIME: Duration = Duration::from_millis(200);
/// One in this many of the clients' permits is reserved for refusing connections, up to a maximum.
const REFUSAL_DIVISOR: usize = 16;
const MAX_REFUSAL_PERMITS: usize = 16;

/// Connections that can be evicted, longest waiting first.
struct EvictionQueue {
    count: AtomicUsize,
    requested: Notify,
    max_waiting: usize,
}

impl EvictionQueue {
    fn new(max_waiting: usize) -> Self {
        EvictionQueue { count: AtomicUsize::new(0), requested: Notify::new(), max_waiting }
    }

    async fn requested(&self) {
        struct LeaveOnDrop<'a>(&'a AtomicUsize);
        impl Drop for LeaveOnDrop<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        if self.count.fetch_add(1, Ordering::Relaxed) >= self.max_waiting {
            self.requested.notify_one();
        }
        let _leave = LeaveOnDrop(&self.count);
        self.requested.notified().await;
    }
}

/// Permits for one kind of socket. A caller that finds none requests an eviction: connections without a valid
/// request so far are closed first, then the connection that has been idle longest.
#[derive(Clone)]
pub struct DescriptorBudget(Arc<DescriptorState>);

struct DescriptorState {
    permits: Arc<Semaphore>,
    unused: EvictionQueue,
    idle: EvictionQueue,
    /// Permits for connections that are being refused, and the connections that hold them.
    refusal_permits: Arc<Semaphore>,
    refusals: EvictionQueue,
    size: usize,
    refusals_size: usize,
    /// Permits lent to another process of this proxy.
    lent: AtomicUsize,
}

impl DescriptorBudget {
    /// Permits for `size` sockets, at most `max_idle` of which may be idle. With `refuses`, a few are reserved for
    /// refusals.
    fn new(size: usize, max_idle: usize, refuses: bool) -> Self {
        // With few permits, the one for refusals comes from the reserved descriptors.
        let refusals = if refuses { (size / REFUSAL_DIVISOR).min(MAX_REFUSAL_PERMITS) } else { 0 };
        let (size, refusals_size) = (size - refusals, refusals.max(1));
        DescriptorBudget(Arc::new(DescriptorState {
            permits: Arc::new(Semaphore::new(size)),
            unused: EvictionQueue::new(usize::MAX),
            idle: EvictionQueue::new(max_idle),
            refusal_permits: Arc::new(Semaphore::new(refusals_size)),
            refusals: EvictionQueue::new(usize::MAX),
            size,
            refusals_size,
            lent: AtomicUsize::new(0),
        }))
    }

    /// Returns a permit if one is free now.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.0.permits.clone().try_acquire_owned().ok()
    }

    /// Waits for a permit.
    pub async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.try_permit() {
            return Some(permit);
        }
        self.request_eviction();
        self.0.permits.clone().acquire_owned().await.ok()
    }

    /// Notifies the next connection that can be evicted. A connection that was notified but has to stay open calls
    /// this to pass the notification on.
    pub fn request_eviction(&self) {
        // If no connection can be evicted now, the notification is kept for the next one that becomes idle.
        let unused = self.0.unused.count.load(Ordering::Relaxed) > 0;
        if unused { &self.0.unused } else { &self.0.idle }.requested.notify_one();
    }

    /// Waits until a permit is needed elsewhere or too many connections are idle. Connections are notified in
    /// order, the longest waiting first.
    pub async fn eviction_requested(&self) {
        self.0.idle.requested().await;
    }

    /// Like [`Self::eviction_requested`], for a client's connection. `unused`: no valid request has arrived on it
    /// so far, and no byte since `quiet_since`.
    pub async fn client_eviction_requested(&self, unused: bool, quiet_since: Instant) {
        if !unused {
            return self.eviction_requested().await;
        }
        tokio::time::sleep_until(quiet_since + MIN_QUIET_TIME).await;
        self.0.unused.requested().await;
    }

    /// Waits for a permit for refusing a connection. If none is free, the longest holder is asked to finish at
    /// once.
    pub async fn refusal_permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.0.refusal_permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.0.refusals.requested.notify_one();
        self.0.refusal_permits.clone().acquire_owned().await.ok()
    }

    /// Waits until a permit for refusing is needed elsewhere.
    pub async fn refusal_eviction_requested(&self) {
        self.0.refusals.requested().await;
    }

    /// Whether all permits have been returned.
    pub fn all_permits_free(&self) -> bool {
        self.0.permits.available_permits() + self.0.lent.load(Ordering::Relaxed) == self.0.size
            && self.0.refusal_permits.available_permits() == self.0.refusals_size
    }

    /// Takes half of the permits as they become free. They are returned when the result is dropped.
    async fn lend(&self) -> LentPermits {
        let mut lent = LentPermits { permits: Vec::new(), owner: self.clone() };
        for _ in 0..self.0.size / 2 {
            if let Some(permit) = self.permit().await {
                lent.permits.push(permit);
                self.0.lent.fetch_add(1, Ordering::Relaxed);
            }
        }
        lent
    }
}

/// Permits lent to another process.
struct LentPermits {
    permits: Vec<OwnedSemaphorePermit>,
    owner: DescriptorBudget,
}

impl Drop for LentPermits {
    fn drop(&mut self) {
        self.owner.0.lent.fetch_sub(self.permits.len(), Ordering::Relaxed);
    }
}

/// Half of a budget, lent to another process of this proxy until dropped.
pub struct LentBudget {
    _clients: LentPermits,
    _members: LentPermits,
    _bytes: Vec<ByteReservation>,
}

/// Limit on the bytes of messages that all connections together hold. Bytes are reserved when a message's length is
/// known, before the message has arrived, and released when the last reference to the message is dropped.
#[derive(Clone)]
pub struct ByteBudget(Arc<ByteBudgetState>);

struct ByteBudgetState {
    left: AtomicUsize,
    size: usize,
}

/// Bytes reserved from a budget, released on drop.
pub struct ByteReservation {
    owner: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// A budget of `size` bytes.
    pub fn new(size: usize) -> Self {
        ByteBudget(Arc::new(ByteBudgetState { left: AtomicUsize::new(size), size }))
    }

    /// Reserves bytes if enough are left.
    pub fn try_reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let subtract = |left: usize| left.checked_sub(bytes);
        self.0.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).ok()?;
        Some(ByteReservation { owner: self.clone(), bytes })
    }

    /// Reserves half of the budget, chunk by chunk as it becomes free.
    async fn lend(&self) -> Vec<ByteReservation> {
        let chunk = self.0.size / (2 * LENT_CHUNKS);
        let mut lent = Vec::new();
        while lent.len() < LENT_CHUNKS {
            match self.try_reserve(chunk) {
                Some(share) => lent.push(share),
                None => tokio::time::sleep(CHUNK_RETRY_INTERVAL).await,
            }
        }
        lent
    }

    /// Whether less than half is left, so that callers which can reduce their use should do so.
    pub fn is_scarce(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) < self.0.size / 2
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.owner.0.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

impl ByteReservation {
    /// Copies `bytes`; the copy keeps this reservation until its last reference is dropped. A slice instead of a
    /// copy would keep the whole read buffer alive, which no reservation accounts for.
    pub fn attach_to_copy(self, bytes: &[u8]) -> Bytes {
        /// Most statements and values fit into this size and are stored in the same allocation as the reservation.
        const INLINE_SIZE: usize = 192;
        meter::add(Cost::Copied, bytes.len());
        match bytes.len() <= INLINE_SIZE {
            true => self.own(SmallVec::<[u8; INLINE_SIZE]>::from_slice(bytes)),
            false => self.own(Box::<[u8]>::from(bytes)),
        }
    }

    /// Like [`Self::attach_to_copy`], but takes over a buffer that holds nothing else, without a copy.
    pub fn attach_to_buffer(self, buffer: BytesMut) -> Bytes {
        self.own(buffer)
    }

    fn own(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        struct Reserved<B>(B, #[allow(dead_code)] ByteReservation);
        impl<B: AsRef<[u8]>> AsRef<[u8]> for Reserved<B> {
            fn as_ref(&self) -> &[u8] {
                self.0.as_ref()
            }
        }
        Bytes::from_owner(Reserved(bytes, self))
    }
}

/// Spaces out the replies to invalid messages, so that a client that resends one as soon as it is rejected does not
/// take processor time from the others.
#[derive(Clone, Default)]
pub struct ErrorPacer(Arc<AtomicU64>);

impl ErrorPacer {
    /// The delay before the reply to an invalid message that was read at `now`.
    pub fn next_delay(&self, now: Time) -> Duration {
        let next = self.0.load(Ordering::Relaxed).clamp(now, now + MAX_ERROR_DELAY);
        self.0.store(next + MIN_ERROR_INTERVAL, Ordering::Relaxed);
        Duration::from_micros(next - now)
    }
}

/// Clients and members have separate descriptor budgets, so that neither can starve the other.
#[derive(Clone)]
pub struct Budget {
    /// For clients' connections on all fronts.
    pub clients: DescriptorBudget,
    /// For connections to members.
    pub members: DescriptorBudget,
    /// For messages of clients and members.
    pub bytes: ByteBudget,
}

impl Budget {
    /// Splits the limit on descriptors and the limit on memory, in bytes.
    pub fn new(limit: usize, memory: usize) -> Self {
        let free = limit.saturating_sub(RESERVED_DESCRIPTORS).max(8);
        let clients = free * 5 / 9;
        let bytes = (memory.saturating_sub(RESERVED_MEMORY) / COPIES_PER_MESSAGE).max(MIN_BYTE_BUDGET);
        let max_idle = (limit / IDLE_DIVISOR).max(2);
        Budget {
            clients: DescriptorBudget::new(clients, max_idle, true),
            members: DescriptorBudget::new(free - clients, usize::MAX, false),
            bytes: ByteBudget::new(bytes),
        }
    }

    /// Lends half of the budget until the result is dropped.
    pub async fn lend(&self) -> LentBudget {
        let (clients, members, bytes) =
            tokio::join!(self.clients.lend(), self.members.lend(), self.bytes.lend());
        LentBudget { _clients: clients, _members: members, _bytes: bytes }
    }
}
