//! Charging bookings that clients may retry: each repeat id runs at most once.
//!
//! The id is claimed before the request is submitted, and the request runs in a task of its own, so a client that
//! resets its connection does not stop what may have begun. All tries with the same id wait for the same answer. If
//! all of them have left before anything was sent, the booking is dropped and its id becomes free again.

use super::counters::{count, Count};
use super::repeat_ids::RepeatIds;
use super::repeat_ledger::{Claim, ClaimRequest};
use super::{Answer, Handle, Request};
use crate::clock::Clock;
use crate::interface::Time;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{watch, Notify};

/// One client request for a booking. A client that retries sends several of them with the same id.
#[derive(Debug)]
pub struct BookingTry {
    /// The repeat id, shared by all tries of the booking.
    pub id: String,
    /// The data for claiming the id.
    pub candidate: ClaimRequest,
    /// If the id is new here, the booking's attempts must begin before this time.
    pub run_until: Option<Time>,
}

/// Result of one try.
#[derive(Debug, PartialEq)]
pub enum BookingOutcome {
    /// The booking's answer, the same for all tries.
    Answer(Answer),
    /// The id is in use for a different booking.
    IdConflict,
    /// It cannot be proved that the booking has not run already.
    Unprovable,
    /// The id is not known here, and an earlier try may have run at another proxy.
    UnknownRetry,
    /// Another process of this proxy has claimed the id, and its answer is not known here.
    ClaimedByPeer,
    /// No room for new ids.
    NoRoom,
}

/// What the tries of one booking share.
#[derive(Clone)]
pub(super) struct Ticket {
    answer: watch::Receiver<Option<Answer>>,
    waiters: Arc<Waiters>,
}

/// Counts the tries that wait for a booking's answer.
#[derive(Default)]
struct Waiters {
    count: AtomicUsize,
    /// Notified when the last waiter has left.
    all_left: Notify,
}

impl Waiters {
    /// Registers a waiter, until the returned guard is dropped.
    fn register(self: &Arc<Self>) -> Waiter {
        self.count.fetch_add(1, Ordering::Relaxed);
        Waiter(self.clone())
    }
}

struct Waiter(Arc<Waiters>);

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.all_left.notify_one();
        }
    }
}

/// All bookings, running or finished.
#[derive(Clone)]
pub struct Bookings {
    ids: RepeatIds,
    core: Handle,
    clock: Clock,
}

impl Bookings {
    /// Creates the bookings of a proxy, with their ids in this ledger.
    pub fn new(core: Handle, clock: Clock, ids: RepeatIds) -> Self {
        Bookings { ids, core, clock }
    }

    /// Runs a booking, or waits for the answer if another try runs it already.
    pub async fn book(&self, booking: BookingTry, mut request: Request) -> BookingOutcome {
        let deadline = self.clock.instant(request.deadline);
        let (answer_sender, answer) = watch::channel(None);
        let ticket = Ticket { answer, waiters: Arc::default() };
        let id = RepeatIds::digest(&booking.id);
        if !self.ids.wait_for_peer_ids(deadline).await {
            count(Count::repeat_ids_unshared);
            return BookingOutcome::Unprovable;
        }
        let claim = self.ids.claim(&id, booking.candidate, ticket.clone());
        let mut ticket = match claim {
            Claim::New => {
                request.deadline = request.deadline.min(booking.run_until.unwrap_or(Time::MAX));
                self.run(id, request, answer_sender, ticket.waiters.clone());
                ticket
            }
            Claim::Existing(existing) => {
                count(if existing.answer.borrow().is_some() {
                    Count::odata_replayed
                } else {
                    Count::odata_joined
                });
                existing
            }
            Claim::IdConflict => return BookingOutcome::IdConflict,
            Claim::Unprovable => return BookingOutcome::Unprovable,
            Claim::UnknownRetry => return BookingOutcome::UnknownRetry,
            Claim::ClaimedByPeer => return BookingOutcome::ClaimedByPeer,
            Claim::NoRoom => return BookingOutcome::NoRoom,
        };
        let _waiter = ticket.waiters.register();
        let received = async { ticket.answer.wait_for(Option::is_some).await.ok().and_then(|a| a.clone()) };
        match tokio::time::timeout_at(deadline, received).await {
            Ok(answer) => BookingOutcome::Answer(answer.unwrap_or(Answer::Failed)),
            // This try's deadline has passed; the booking continues, and a later try may still get its answer.
            Err(_) => BookingOutcome::Answer(Answer::Late),
        }
    }

    fn run(
        &self,
        id: String,
        request: Request,
        answer_sender: watch::Sender<Option<Answer>>,
        waiters: Arc<Waiters>,
    ) {
        let this = self.clone();
        tokio::spawn(async move {
            let mut pending = this.core.submit(request).await;
            let answer = loop {
                tokio::select! {
                    biased;
                    answer = &mut pending => break answer,
                    // If nobody waits any more, the request is abandoned: no other attempt begins.
                    () = waiters.all_left.notified() => if waiters.count.load(Ordering::Relaxed) == 0 {
                        pending.abandon();
                    },
                }
            };
            match answer {
                // Refused means that nothing ran, so the next try may run the booking.
                Answer::Refused(_) => this.ids.release(&id),
                _ => this.ids.mark_ended(&id),
            }
            let _ = answer_sender.send(Some(answer));
        });
    }
}
