//! The OData front's connections: requests in, one response each, in their order.

use super::reply::{self, Asked, Fault};
use super::request::{self, Call, Facts, Form, Repeatable};
use crate::clock::Clock;
use crate::core::bookings::{Booked, Bookings, Try};
use crate::core::counters::{count, Count};
use crate::core::{Answer, Handle, Operation, Presence, Request, Work};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer, Incoming};
use crate::interface::*;
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::QUIET_MIN;
use crate::net::budget::{Budget, ByteBudget, Pace};
use crate::net::client_end::{self, EndReason, Ended};
use crate::net::frames::{next, next_or_end, shrink, Next, ROOM};
use crate::net::held_up;
use crate::net::listen::{closed, Closing, Phase, Refusal};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use crate::terms::Terms;
use bytes::Bytes;
use futures_util::SinkExt;
use std::collections::VecDeque;
use std::future::Future;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// A value in base64url with room for the rest of its JSON.
const LONGEST_BODY: usize = 128 * 1024;
/// Requests read ahead on one connection while one is carried out.
const AHEAD: usize = 8;
/// How long a client may hold its connection between requests, and how long a request that was begun may take to end.
const IDLE: Duration = Duration::from_secs(4);
const UNFINISHED: Duration = Duration::from_secs(2);
/// The module's last word comes no earlier than this before a deadline, in us.
const LEAD: Time = 25_000;
/// How long a client may take to take in a response.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long the request of a client that is refused is waited for.
const REFUSED_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// What every connection needs.
pub struct Front {
    core: Handle,
    bookings: Bookings,
    terms: watch::Receiver<Arc<Terms>>,
    clock: Clock,
    budget: Budget,
    pace: Pace,
    answer_limit: AnswerLimit,
    /// For the ids of statements.
    random: RandomState,
    sent: AtomicU64,
}

type Conn = Framed<Socket, HttpServer>;

impl ClientFront for Front {
    type Error = HttpError;

    async fn serve(
        self: Arc<Self>,
        waits_since: Option<std::time::Instant>,
        stream: Socket,
        closing: Closing,
    ) -> Result<Ended, HttpError> {
        self.serve_client(waits_since, stream, closing).await
    }

    async fn refuse(
        stream: Socket,
        bytes: ByteBudget,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send,
    ) -> Result<Ended, HttpError> {
        why.count();
        let mut conn = Framed::with_capacity(stream, HttpServer::new(LONGEST_BODY, bytes), ROOM);
        let mut hurried = pin!(hurried);
        let request = tokio::time::timeout(REFUSED_REQUEST_TIMEOUT, next(&mut conn, true));
        let hurry = tokio::select! {
            biased;
            _ = request => false,
            () = &mut hurried => true,
        };
        client_end::say_last(&mut conn, last_refusal(why.text())).await;
        if hurry {
            return Ok(client_end::at_once_after_last_word(conn, EndReason::Refused));
        }
        Ok(tokio::select! {
            ended = client_end::after_last_word(conn, EndReason::Refused) => ended,
            () = hurried => client_end::cut_short(EndReason::Refused),
        })
    }
}

impl Front {
    /// A front on the core.
    pub fn new(
        core: Handle,
        bookings: Bookings,
        terms: watch::Receiver<Arc<Terms>>,
        clock: Clock,
        (budget, pace): (Budget, Pace),
        answer_limit: AnswerLimit,
    ) -> Self {
        let (random, sent) = (RandomState::new(), AtomicU64::new(0));
        Front { core, bookings, terms, clock, budget, pace, answer_limit, random, sent }
    }

    async fn serve_client(
        self: Arc<Self>,
        mut waits_since: Option<std::time::Instant>,
        stream: Socket,
        mut closing: Closing,
    ) -> Result<Ended, HttpError> {
        let codec = HttpServer::new(LONGEST_BODY, self.budget.bytes.clone());
        let mut conn = Framed::with_capacity(stream, codec, ROOM);
        let (mut ahead, mut known, mut part) = (VecDeque::new(), false, false);
        let mut rests = Instant::now();
        let mut until = rests + IDLE;
        loop {
            let request = match ahead.pop_front() {
                Some(request) => request,
                None => {
                    let ends = tokio::select! {
                        biased;
                        read = next(&mut conn, part) => match read {
                            Next::Message(Some(Ok(request))) => Err(request),
                            Next::Message(Some(Err(e))) => return self.bad(conn, e).await,
                            Next::Message(None) => return Ok(client_end::by_client(conn)),
                            Next::Part => {
                                (part, until) = (true, Instant::now() + UNFINISHED);
                                continue;
                            }
                        },
                        // One of which a part has been read is the proxy's to answer.
                        () = closed_and_quiet(&mut closing, known, rests), if !part => Ok(EndReason::Shutdown),
                        () = self.budget.clients.client_wanted(!known, rests), if !part => Ok(EndReason::MadeRoom),
                        () = tokio::time::sleep_until(until) => match part {
                            true => return self.bad(conn, HttpError::Unfinished).await,
                            false => Ok(if known { EndReason::Idle } else { EndReason::Silent }),
                        },
                    };
                    match ends {
                        Err(request) => request,
                        Ok(reason) => {
                            if let Some(ended) = end_at_rest(&mut conn, reason, known).await {
                                return Ok(ended);
                            }
                            if reason == EndReason::MadeRoom {
                                self.budget.clients.ask_for_room();
                            }
                            continue;
                        }
                    }
                }
            };
            part = false;
            let request = match request {
                Incoming::Request(request) => request,
                Incoming::Expects => {
                    conn.send(HttpResponse::go_on()).await?;
                    (part, until) = (true, Instant::now() + UNFINISHED);
                    continue;
                }
            };
            count(Count::odata_requests);
            known = true;
            let mut broken = None;
            let mut response = {
                // What was sent before the front was there has waited since then.
                let since = waits_since.take().into_iter().chain(held_up::look()).min();
                let waited = since.map_or(0, |since| since.elapsed().as_micros() as Time);
                let answer = self.answer(&request, conn.get_ref().presence(), waited);
                tokio::pin!(answer);
                loop {
                    tokio::select! {
                        biased;
                        response = &mut answer => break response,
                        // Read on meanwhile: this is how a client that leaves is noticed, and by a look where no more is read.
                        read = next_or_end(&mut conn, ahead.len() < AHEAD && broken.is_none(), true) => match read {
                            Next::Message(Some(Ok(next))) => ahead.push_back(next),
                            Next::Message(Some(Err(e @ HttpError::Io(_)))) => return Err(e),
                            Next::Message(Some(Err(e))) => broken = Some(e),
                            Next::Message(None) => return Ok(client_end::by_client(conn)),
                            Next::Part => {}
                        },
                    }
                }
            };
            let ends = *closing.borrow() >= Phase::Leaving
                && ahead.is_empty()
                && broken.is_none()
                && !client_end::holds_unanswered(&mut conn);
            response.closes = request.closes || ends;
            let closes = response.closes;
            match tokio::time::timeout(PATIENCE, conn.send(response)).await {
                Ok(sent) => sent?,
                Err(_) => return Err(HttpError::Io(ErrorKind::TimedOut.into())),
            }
            if closes {
                let reason = if ends { EndReason::Shutdown } else { EndReason::ClientLeft };
                return Ok(client_end::announced(conn, reason).await);
            }
            if let Some(e) = broken {
                return self.bad(conn, e).await;
            }
            shrink(&mut conn);
            rests = Instant::now();
            until = rests + IDLE;
        }
    }

    /// Answers what could not be read, in its turn, and ends the connection: where the next request starts is not
    /// known.
    async fn bad(&self, mut conn: Conn, e: HttpError) -> Result<Ended, HttpError> {
        let no_room = matches!(e, HttpError::NoRoom);
        let fault = match e {
            HttpError::Io(_) => return Err(e),
            HttpError::TooLong => Fault::new(413, "TooLarge", "the request is too long"),
            HttpError::Malformed(_) => Fault::new(400, "BadRequest", e.to_string()),
            HttpError::Unfinished => Fault::new(408, "Unfinished", e.to_string()),
            HttpError::NoRoom => Fault::come_back(None, &e.to_string()),
        };
        let mut response = refused(fault, Form::default());
        response.closes = true;
        let now = Instant::now();
        // A sound request that finds no room is refused at once; what is none waits for its turn, unless others lack the permit.
        if !no_room {
            tokio::select! {
                () = tokio::time::sleep(self.pace.turn(self.clock.now())) => {}
                () = self.budget.clients.client_wanted(true, now) => {}
            }
        }
        client_end::say_last(&mut conn, response).await;
        Ok(tokio::select! {
            ended = client_end::after_last_word(conn, EndReason::Fault) => ended,
            () = self.budget.clients.client_wanted(true, now) => client_end::cut_short(EndReason::Fault),
        })
    }

    /// The response to a request that has waited so long, in us, before it could be read.
    async fn answer(&self, http: &HttpRequest, client: Weak<dyn Presence>, waited: Time) -> HttpResponse {
        let form = match request::form(http) {
            Ok(form) => form,
            Err(fault) => return refused(fault, Form::default()),
        };
        let terms = self.terms.borrow().clone();
        let mut call = request::read(http, &terms);
        if let Ok(Call::Read(facts, _) | Call::Create { facts, .. }) = &mut call {
            facts.wait = facts.wait.saturating_sub(waited);
        }
        match call {
            Ok(Call::Service) => reply::service(form),
            Ok(Call::Metadata) => reply::metadata(form),
            Ok(Call::Read(facts, key)) => {
                let mut request = self.request(&terms, facts, &key, None);
                request.client = Some(client);
                let deadline = request.deadline;
                let answer = self.gathered(self.core.submit(request).await.await).await;
                reply::answer(form, Asked::Read(&key), answer, self.late(deadline))
            }
            Ok(Call::Create { facts, key, value, repeatable, minimal }) => {
                let asked = Asked::Create { key: &key, minimal, repeatable: repeatable.is_some() };
                let print = print(&terms, &facts, &key, &value);
                let weight = value.len() + 512;
                let mut request = self.request(&terms, facts, &key, Some(value));
                let deadline = request.deadline;
                let Some(Repeatable { id, first_sent }) = repeatable else {
                    request.client = Some(client);
                    let answer = self.core.submit(request).await.await;
                    return reply::answer(form, asked, answer, self.late(deadline));
                };
                let attempt = Try { id, print, weight, first_sent };
                match self.bookings.book(attempt, request).await {
                    Booked::Answer(answer) => reply::answer(form, asked, answer, self.late(deadline)),
                    Booked::Differs => {
                        count(Count::odata_conflicts);
                        let text = "this Repeatability-Request-ID stands for another request";
                        refused(Fault::new(412, "RepeatabilityConflict", text).rejected(), form)
                    }
                    Booked::Unprovable => {
                        count(Count::odata_unprovable);
                        let text = "first sent too long ago: it cannot be proved that it has not run";
                        refused(Fault::new(412, "RepeatabilityExpired", text).rejected(), form)
                    }
                    Booked::Full => {
                        let text = "no room to remember one more booking; nothing has run";
                        refused(Fault::come_back(None, text).rejected(), form)
                    }
                }
            }
            Err(fault) => refused(fault, form),
        }
    }

    /// An answer whose value is whole: this wire's form of it cannot be begun before it ends.
    async fn gathered(&self, answer: Answer) -> Answer {
        let Answer::Served(mut value, position) = answer else { return answer };
        let Some(flow) = value.flow.take() else { return Answer::Served(value, position) };
        // As it is, and in base64 in its response.
        let Some(_share) = self.budget.bytes.take(flow.length().saturating_mul(3)) else {
            return Answer::Refused(None);
        };
        match tokio::time::timeout(PATIENCE, flow.gather()).await {
            Ok(Some(bytes)) => {
                value.bytes = Some(bytes);
                Answer::Served(value, position)
            }
            _ => Answer::Failed,
        }
    }

    /// Whether an answer given now comes of the deadline: the module gives up a little before it.
    fn late(&self, deadline: Time) -> bool {
        self.clock.now() + LEAD >= deadline
    }

    fn request(&self, terms: &Arc<Terms>, facts: Facts, key: &str, value: Option<Bytes>) -> Request {
        let Facts { class, tenant, group, session, after, wait, repeat } = facts;
        let id = self.random.hash_one(self.sent.fetch_add(1, Ordering::Relaxed));
        let key_text = key.to_string();
        let operation =
            Operation { terms: terms.clone(), id, class, tenant, group, after, repeat, key: key_text, value };
        let work = Work::Operation(Arc::new(operation));
        let deadline = self.answer_limit.cap(self.clock.now().saturating_add(wait));
        let session: Option<Arc<str>> = session.map(Arc::from);
        let key_session = session.as_ref().filter(|s| &***s != key).map(|_| Arc::from(key));
        Request {
            terms: terms.clone(),
            name: None,
            class,
            tenant,
            group,
            session,
            key_session,
            after,
            deadline,
            repeat,
            work,
            client: None,
        }
    }
}

/// Waits until connections are to end, and one on which nothing was asked has been quiet: its first request may be on its way.
async fn closed_and_quiet(closing: &mut Closing, known: bool, rests: Instant) {
    closed(closing).await;
    if !known {
        tokio::time::sleep_until(rests + QUIET_MIN).await;
    }
}

/// Ends a connection if nothing stands on it. A client that was never answered gets a refusal, for what may cross it.
async fn end_at_rest(conn: &mut Conn, reason: EndReason, known: bool) -> Option<Ended> {
    let text = match reason {
        EndReason::MadeRoom => Refusal::NoPermit.text(),
        EndReason::Shutdown => Refusal::Ending.text(),
        _ => "nothing was asked in time",
    };
    client_end::at_rest(conn, reason, (!known).then(|| last_refusal(text))).await
}

/// A refusal behind which the connection ends.
fn last_refusal(text: &str) -> HttpResponse {
    let mut response = Fault::come_back(None, text).response(Form::default());
    response.closes = true;
    response
}

/// Fingerprint of what a booking asks for; how long a try waits is not part of it.
fn print(terms: &Terms, facts: &Facts, key: &str, value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    // By its name, as a reload may give a class another number.
    (terms.class_name(facts.class), facts.tenant, facts.group, &facts.session, key, value).hash(&mut hasher);
    hasher.finish()
}

fn refused(fault: Fault, form: Form) -> HttpResponse {
    count(Count::odata_bad);
    fault.response(form)
}
