//! The budgets: how many sockets of each sort the process may hold, how many bytes of messages, and how often those
//! that cannot be understood are answered.

use crate::interface::Time;
use crate::meter::{self, Cost};
use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Descriptors for the runtime, listeners, standard streams, discovery and what a library opens by itself.
const RESERVE: usize = 32;
/// Memory that is not for messages: the program itself, connections at rest, the allocator's slack.
const MEMORY_RESERVE: usize = 16 * 1024 * 1024;
/// A message counts once here, and stands in memory up to so many times: read, rendered, and written.
const COPIES: usize = 3;
const BYTES_LEAST: usize = 2 * 1024 * 1024;
/// In so many pieces half of the budget is lent to another process, and so long after a piece was not free.
const PIECES: usize = 16;
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Bad messages are answered no closer together than this, in us, though none waits longer than `PACE_MOST`.
const PACE: Time = 10_000;
const PACE_MOST: Time = 800_000;

/// Of all descriptors, one in so many may be a client's that was served and asks nothing more; beyond that the longest
/// idle is closed. Clients may themselves hold only a third of the descriptors: those that ask once and then keep, or
/// take long to give back, a connection would else leave the others none to ask on.
const IDLE_PART: usize = 6;

/// A connection on which nothing was ever asked is evicted only when nothing has come on it for so long: its first request
/// may be on its way.
pub const MIN_QUIET_TIME: Duration = Duration::from_millis(200);
/// Of the clients' permits one in so many is kept for refusing, up to a most.
const REFUSAL_PART: usize = 16;
const REFUSALS_MAX: usize = 16;

/// Those that could give way, the longest waiting first.
struct Waiting {
    count: AtomicUsize,
    wanted: Notify,
    most: usize,
}

impl Waiting {
    fn new(most: usize) -> Self {
        Waiting { count: AtomicUsize::new(0), wanted: Notify::new(), most }
    }

    async fn wanted(&self) {
        struct Out<'a>(&'a AtomicUsize);
        impl Drop for Out<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        if self.count.fetch_add(1, Ordering::Relaxed) >= self.most {
            self.wanted.notify_one();
        }
        let _out = Out(&self.count);
        self.wanted.notified().await;
    }
}

/// Permits for one sort of socket. Whoever finds none asks for room: a connection on which nothing sound was ever asked
/// gives up its own first, then the one that has waited longest for something to do.
#[derive(Clone)]
pub struct DescriptorBudget(Arc<DescriptorState>);

struct DescriptorState {
    permits: Arc<Semaphore>,
    strangers: Waiting,
    idle: Waiting,
    /// Permits for connections that are refused, and those who hold them.
    refusal_permits: Arc<Semaphore>,
    refusals: Waiting,
    size: usize,
    refusals_size: usize,
    /// Permits that another process of this proxy has.
    lent: AtomicUsize,
}

impl DescriptorBudget {
    /// Permits for `size` sockets, of which so many may be idle; of those of clients a few are for refusing.
    fn new(size: usize, idle: usize, refuses: bool) -> Self {
        // Where there are few permits, the one for refusing comes from the reserve.
        let refusals = if refuses { (size / REFUSAL_PART).min(REFUSALS_MAX) } else { 0 };
        let (size, refusals_size) = (size - refusals, refusals.max(1));
        DescriptorBudget(Arc::new(DescriptorState {
            permits: Arc::new(Semaphore::new(size)),
            strangers: Waiting::new(usize::MAX),
            idle: Waiting::new(idle),
            refusal_permits: Arc::new(Semaphore::new(refusals_size)),
            refusals: Waiting::new(usize::MAX),
            size,
            refusals_size,
            lent: AtomicUsize::new(0),
        }))
    }

    /// A permit, if one is free now.
    pub fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.0.permits.clone().try_acquire_owned().ok()
    }

    /// A permit, once there is one.
    pub async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.try_permit() {
            return Some(permit);
        }
        self.request_eviction();
        self.0.permits.clone().acquire_owned().await.ok()
    }

    /// Tells the next connection that could give way. Whoever was told and cannot do so passes it on by this.
    pub fn request_eviction(&self) {
        // With none of either sort there, the next to have nothing to do is told.
        let strangers = self.0.strangers.count.load(Ordering::Relaxed) > 0;
        if strangers { &self.0.strangers } else { &self.0.idle }.wanted.notify_one();
    }

    /// Waits until someone lacks a permit, or too many wait; they are told in turn, the longest waiting first.
    pub async fn eviction_requested(&self) {
        self.0.idle.wanted().await;
    }

    /// The same for a client's connection. `stranger`: nothing sound was ever asked on it, and nothing has come since
    /// `quiet_since`.
    pub async fn client_eviction_requested(&self, stranger: bool, quiet_since: Instant) {
        if !stranger {
            return self.eviction_requested().await;
        }
        tokio::time::sleep_until(quiet_since + MIN_QUIET_TIME).await;
        self.0.strangers.wanted().await;
    }

    /// A permit for refusing. With none free, whoever has had one for longest is told to hurry.
    pub async fn refusal_permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.0.refusal_permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.0.refusals.wanted.notify_one();
        self.0.refusal_permits.clone().acquire_owned().await.ok()
    }

    /// Waits until someone lacks a permit for refusing.
    pub async fn refusal_eviction_requested(&self) {
        self.0.refusals.wanted().await;
    }

    /// All permits are back.
    pub fn all_permits_free(&self) -> bool {
        self.0.permits.available_permits() + self.0.lent.load(Ordering::Relaxed) == self.0.size
            && self.0.refusal_permits.available_permits() == self.0.refusals_size
    }

    /// Half of the permits, as they come free, for as long as what is returned lives.
    async fn lend(&self) -> Lent {
        let mut lent = Lent { permits: Vec::new(), of: self.clone() };
        for _ in 0..self.0.size / 2 {
            if let Some(permit) = self.permit().await {
                lent.permits.push(permit);
                self.0.lent.fetch_add(1, Ordering::Relaxed);
            }
        }
        lent
    }
}

/// Permits that another process has.
struct Lent {
    permits: Vec<OwnedSemaphorePermit>,
    of: DescriptorBudget,
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.of.0.lent.fetch_sub(self.permits.len(), Ordering::Relaxed);
    }
}

/// Half of a budget, which another process of this proxy may use.
pub struct Half {
    _clients: Lent,
    _members: Lent,
    _bytes: Vec<ByteReservation>,
}

/// Bytes of messages that all connections together may hold. A message takes its share when its length is known,
/// before its bytes have come, and gives it back when the last of it is let go of, wherever that is.
#[derive(Clone)]
pub struct ByteBudget(Arc<ByteBudgetState>);

struct ByteBudgetState {
    left: AtomicUsize,
    size: usize,
}

/// So many bytes of a budget.
pub struct ByteReservation {
    of: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// One of so many bytes.
    pub fn new(size: usize) -> Self {
        ByteBudget(Arc::new(ByteBudgetState { left: AtomicUsize::new(size), size }))
    }

    /// A share, if there is enough left.
    pub fn try_reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let less = |left: usize| left.checked_sub(bytes);
        self.0.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).ok()?;
        Some(ByteReservation { of: self.clone(), bytes })
    }

    /// Half of it, piece by piece as it comes free.
    async fn lend(&self) -> Vec<ByteReservation> {
        let piece = self.0.size / (2 * PIECES);
        let mut lent = Vec::new();
        while lent.len() < PIECES {
            match self.try_reserve(piece) {
                Some(share) => lent.push(share),
                None => tokio::time::sleep(PIECE_PAUSE).await,
            }
        }
        lent
    }

    /// Less than half is left: whoever can hold back should.
    pub fn is_scarce(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) < self.0.size / 2
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.of.0.left.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

impl ByteReservation {
    /// A copy of `bytes` that holds this share for as long as any part of it lives. A copy, as a slice would keep the
    /// whole buffer that it was read into, which no share counts.
    pub fn attach_to_copy(self, bytes: &[u8]) -> Bytes {
        /// What most statements and values fit into: kept in the same piece of memory as the share.
        const SHORT: usize = 192;
        meter::add(Cost::Copied, bytes.len());
        match bytes.len() <= SHORT {
            true => self.own(SmallVec::<[u8; SHORT]>::from_slice(bytes)),
            false => self.own(Box::<[u8]>::from(bytes)),
        }
    }

    /// The same for a buffer that holds nothing else.
    pub fn attach_to_buffer(self, buffer: BytesMut) -> Bytes {
        self.own(buffer)
    }

    fn own(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        struct Held<B>(B, #[allow(dead_code)] ByteReservation);
        impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
            fn as_ref(&self) -> &[u8] {
                self.0.as_ref()
            }
        }
        Bytes::from_owner(Held(bytes, self))
    }
}

/// Spaces out the answers to messages that cannot be understood: a client that sends the same again as soon as it is
/// turned away must not take the processor from the others.
#[derive(Clone, Default)]
pub struct ErrorPacer(Arc<AtomicU64>);

impl ErrorPacer {
    /// How long the answer to a bad message has to wait.
    pub fn next_delay(&self, now: Time) -> Duration {
        let next = self.0.load(Ordering::Relaxed).clamp(now, now + PACE_MOST);
        self.0.store(next + PACE, Ordering::Relaxed);
        Duration::from_micros(next - now)
    }
}

/// Clients and members have a budget each, so that neither can starve the other.
#[derive(Clone)]
pub struct Budget {
    /// For clients' connections, of all fronts.
    pub clients: DescriptorBudget,
    /// For connections to members.
    pub members: DescriptorBudget,
    /// For messages of either side.
    pub bytes: ByteBudget,
}

impl Budget {
    /// Shares out the limits on descriptors and on memory, in bytes.
    pub fn new(limit: usize, memory: usize) -> Self {
        let free = limit.saturating_sub(RESERVE).max(8);
        let clients = free * 5 / 9;
        let bytes = (memory.saturating_sub(MEMORY_RESERVE) / COPIES).max(BYTES_LEAST);
        let idle = (limit / IDLE_PART).max(2);
        Budget {
            clients: DescriptorBudget::new(clients, idle, true),
            members: DescriptorBudget::new(free - clients, usize::MAX, false),
            bytes: ByteBudget::new(bytes),
        }
    }

    /// Half of it, for as long as what is returned lives.
    pub async fn lend(&self) -> Half {
        let (clients, members, bytes) =
            tokio::join!(self.clients.lend(), self.members.lend(), self.bytes.lend());
        Half { _clients: clients, _members: members, _bytes: bytes }
    }
}
