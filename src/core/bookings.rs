//! Bookings that carry a charge and may be tried again by their clients: at most one run for each id.
//!
//! The id is entered before the request is handed to the module, and the request then runs in a task of its own: a
//! client that resets its connection ends nothing that may have begun. Whoever comes with the same id waits for the same
//! answer. Where all have left before anything was sent, the booking is dropped and its id free again.

use super::counters::{count, Count};
use super::repeat_ids::RepeatIds;
use super::repeat_ledger::{Claim, ClaimRequest};
use super::{Answer, Handle, Request};
use crate::clock::Clock;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{watch, Notify};

/// A try of a booking.
#[derive(Debug)]
pub struct BookingTry {
    /// The id that all tries of the booking share.
    pub id: String,
    /// What the ledger needs to know of it.
    pub candidate: ClaimRequest,
}

/// What a try comes to.
#[derive(Debug, PartialEq)]
pub enum BookingOutcome {
    /// The booking's one answer.
    Answer(Answer),
    /// The id stands for another booking.
    IdConflict,
    /// It cannot be proved that it has not run already.
    Unprovable,
    /// Another process of this proxy has taken the id, and its answer is not known here.
    ClaimedByPeer,
    /// No room for new ids.
    NoRoom,
}

/// What tries of one booking share.
#[derive(Clone)]
pub(super) struct Ticket {
    answer: watch::Receiver<Option<Answer>>,
    waiters: Arc<Waiters>,
}

/// Tries that wait for a booking's answer.
#[derive(Default)]
struct Waiters {
    count: AtomicUsize,
    /// The last of them has left.
    none: Notify,
}

impl Waiters {
    /// One more, for as long as what is returned lives.
    fn come(self: &Arc<Self>) -> Waiter {
        self.count.fetch_add(1, Ordering::Relaxed);
        Waiter(self.clone())
    }
}

struct Waiter(Arc<Waiters>);

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.none.notify_one();
        }
    }
}

/// All bookings under way and remembered.
#[derive(Clone)]
pub struct Bookings {
    ids: RepeatIds,
    core: Handle,
    clock: Clock,
}

impl Bookings {
    /// Bookings whose ids are entered there.
    pub fn new(core: Handle, clock: Clock, ids: RepeatIds) -> Self {
        Bookings { ids, core, clock }
    }

    /// Runs a booking, or joins the run of its id.
    pub async fn book(&self, attempt: BookingTry, request: Request) -> BookingOutcome {
        let deadline = self.clock.instant(request.deadline);
        let (tell, answer) = watch::channel(None);
        let ticket = Ticket { answer, waiters: Arc::default() };
        let id = RepeatIds::digest(&attempt.id);
        if !self.ids.heard(deadline).await {
            count(Count::repeat_ids_unshared);
            return BookingOutcome::Unprovable;
        }
        let claim = self.ids.claim(&id, attempt.candidate, ticket.clone());
        let mut ticket = match claim {
            Claim::New => {
                self.run(id, request, tell, ticket.waiters.clone());
                ticket
            }
            Claim::Known(known) => {
                count(if known.answer.borrow().is_some() {
                    Count::odata_replayed
                } else {
                    Count::odata_joined
                });
                known
            }
            Claim::Differs => return BookingOutcome::IdConflict,
            Claim::Unprovable => return BookingOutcome::Unprovable,
            Claim::Elsewhere => return BookingOutcome::ClaimedByPeer,
            Claim::Full => return BookingOutcome::NoRoom,
        };
        let _waits = ticket.waiters.come();
        let told = async { ticket.answer.wait_for(Option::is_some).await.ok().and_then(|a| a.clone()) };
        match tokio::time::timeout_at(deadline, told).await {
            Ok(answer) => BookingOutcome::Answer(answer.unwrap_or(Answer::Failed)),
            // This try's time is up; the run goes on and a later try may still learn of it.
            Err(_) => BookingOutcome::Answer(Answer::Late),
        }
    }

    fn run(&self, id: String, request: Request, tell: watch::Sender<Option<Answer>>, waiters: Arc<Waiters>) {
        let this = self.clone();
        tokio::spawn(async move {
            let mut pending = this.core.submit(request).await;
            let answer = loop {
                tokio::select! {
                    biased;
                    answer = &mut pending => break answer,
                    // With nobody left to tell, it is sent no more unless it may have run.
                    () = waiters.none.notified() => if waiters.count.load(Ordering::Relaxed) == 0 {
                        pending.abandon();
                    },
                }
            };
            match answer {
                // Refused means that nothing ran: the next try may run it.
                Answer::Refused(_) => this.ids.forget(&id),
                _ => this.ids.ended(&id),
            }
            let _ = tell.send(Some(answer));
        });
    }
}
