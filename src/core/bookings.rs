//! Bookings that carry a charge and may be tried again by their clients: at most one run for each id.
//!
//! The id is entered before the request is handed to the module, and the request then runs in a task of its own: a
//! client that resets its connection ends nothing that may have begun. Whoever comes with the same id waits for the same
//! answer. Where all have left before anything was sent, the booking is dropped and its id free again.

use super::counters::{count, Count};
use super::repeat_ledger::{Claim, RepeatLedger};
use super::{Answer, Handle, Request};
use crate::clock::Clock;
use crate::interface::Time;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{watch, Notify};

/// A try of a booking.
#[derive(Debug)]
pub struct Try {
    /// The id that all tries of the booking share.
    pub id: String,
    /// Fingerprint of what it asks for.
    pub print: u64,
    /// Bytes that its answer may take.
    pub weight: usize,
    /// When the client first sent it, by its own word.
    pub first_sent: Time,
}

/// What a try comes to.
#[derive(Debug, PartialEq)]
pub enum Booked {
    /// The booking's one answer.
    Answer(Answer),
    /// The id stands for another booking.
    Differs,
    /// It cannot be proved that it has not run already.
    Unprovable,
    /// No room for new ids.
    Full,
}

/// What tries of one booking share.
#[derive(Clone)]
struct Ticket {
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
    ledger: Arc<Mutex<RepeatLedger<Ticket>>>,
    core: Handle,
    clock: Clock,
    span: Time,
}

impl Bookings {
    /// No bookings yet; remembers `most` ids with answers of `room` bytes, each for `span`.
    pub fn new(core: Handle, clock: Clock, most: usize, room: usize, span: Time) -> Self {
        let ledger = Arc::new(Mutex::new(RepeatLedger::new(most, room, span, clock.now())));
        Bookings { ledger, core, clock, span }
    }

    /// How long ids are remembered.
    pub fn span(&self) -> Time {
        self.span
    }

    fn with<R>(&self, f: impl FnOnce(&mut RepeatLedger<Ticket>) -> R) -> R {
        f(&mut self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs a booking, or joins the run of its id.
    pub async fn book(&self, attempt: Try, request: Request) -> Booked {
        let deadline = self.clock.instant(request.deadline);
        let (tell, answer) = watch::channel(None);
        let ticket = Ticket { answer, waiters: Arc::default() };
        let Try { id, print, weight, first_sent } = attempt;
        let now = self.clock.now();
        let claim = self.with(|l| l.claim(&id, (print, weight), first_sent, now, ticket.clone()));
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
            Claim::Differs => return Booked::Differs,
            Claim::Unprovable => return Booked::Unprovable,
            Claim::Full => return Booked::Full,
        };
        let _waits = ticket.waiters.come();
        let told = async { ticket.answer.wait_for(Option::is_some).await.ok().and_then(|a| a.clone()) };
        match tokio::time::timeout_at(deadline, told).await {
            Ok(answer) => Booked::Answer(answer.unwrap_or(Answer::Failed)),
            // This try's time is up; the run goes on and a later try may still learn of it.
            Err(_) => Booked::Answer(Answer::Late),
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
            this.with(|l| match answer {
                // Refused means that nothing ran: the next try may run it.
                Answer::Refused(_) => l.forget(&id),
                _ => l.ended(&id),
            });
            let _ = tell.send(Some(answer));
        });
    }
}
