//! The OData front's connections: requests in, one response each, in their order.

use super::reply::{self, Asked, Fault};
use super::request::{self, Call, Facts, Form, Repeatable};
use crate::clock::Clock;
use crate::core::bookings::{Booked, Bookings, Try};
use crate::core::counters::{count, Count};
use crate::core::{Answer, Handle, Operation, Presence, Request, Work};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer, Incoming};
use crate::interface::*;
use crate::net::budget::{Budget, ByteBudget, Pace};
use crate::net::frames::{finish, finish_resting, next, next_or_end, shrink, Next, ROOM};
use crate::net::listen::{closed, Closing, Phase};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use crate::terms::Terms;
use bytes::Bytes;
use futures_util::SinkExt;
use std::collections::VecDeque;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
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
/// How long a client may take to take in a response, and a last one.
const PATIENCE: Duration = Duration::from_secs(5);
const LAST_WORD: Duration = Duration::from_millis(500);

/// What every connection needs.
pub struct Front {
    core: Handle,
    bookings: Bookings,
    terms: watch::Receiver<Arc<Terms>>,
    clock: Clock,
    budget: Budget,
    pace: Pace,
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
    ) -> Result<(), HttpError> {
        self.serve_client(waits_since, stream, closing).await
    }

    async fn refuse_starting(stream: Socket, bytes: ByteBudget) -> Result<(), HttpError> {
        count(Count::refused_starting);
        let mut conn = Framed::with_capacity(stream, HttpServer::new(LONGEST_BODY, bytes), ROOM);
        let mut response = Fault::come_back(None, "the proxy is starting").response(Form::default());
        response.closes = true;
        conn.send(response).await?;
        Ok(finish(conn).await?)
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
    ) -> Self {
        let (random, sent) = (RandomState::new(), AtomicU64::new(0));
        Front { core, bookings, terms, clock, budget, pace, random, sent }
    }

    async fn serve_client(
        self: Arc<Self>,
        mut waits_since: Option<std::time::Instant>,
        stream: Socket,
        mut closing: Closing,
    ) -> Result<(), HttpError> {
        let codec = HttpServer::new(LONGEST_BODY, self.budget.bytes.clone());
        let mut conn = Framed::with_capacity(stream, codec, ROOM);
        let (mut ahead, mut known, mut part) = (VecDeque::new(), false, false);
        let mut until = Instant::now() + IDLE;
        loop {
            let request = match ahead.pop_front() {
                Some(request) => request,
                None => tokio::select! {
                    biased;
                    read = next(&mut conn, part) => match read {
                        Next::Message(Some(Ok(request))) => request,
                        Next::Message(Some(Err(e))) => return self.bad(conn, e).await,
                        Next::Message(None) => return Ok(()),
                        Next::Part => {
                            (part, until) = (true, Instant::now() + UNFINISHED);
                            continue;
                        }
                    },
                    // One of which a part has been read is the proxy's to answer.
                    () = closed(&mut closing), if !part => return Ok(finish(conn).await?),
                    () = self.budget.clients.wanted(!known), if !part => return Ok(finish_resting(conn).await?),
                    () = tokio::time::sleep_until(until) => match part {
                        true => return self.bad(conn, HttpError::Unfinished).await,
                        false => return Ok(finish_resting(conn).await?),
                    },
                },
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
                let waited = waits_since.take().map_or(0, |since| since.elapsed().as_micros() as Time);
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
                            Next::Message(None) => return Ok(()),
                            Next::Part => {}
                        },
                    }
                }
            };
            response.closes =
                request.closes || ahead.is_empty() && broken.is_none() && *closing.borrow() >= Phase::Leaving;
            let closes = response.closes;
            match tokio::time::timeout(PATIENCE, conn.send(response)).await {
                Ok(sent) => sent?,
                Err(_) => return Ok(()),
            }
            if closes {
                return Ok(finish(conn).await?);
            }
            if let Some(e) = broken {
                return self.bad(conn, e).await;
            }
            shrink(&mut conn);
            until = Instant::now() + IDLE;
        }
    }

    /// Answers what could not be read, in its turn, and ends the connection: where the next request starts is not
    /// known.
    async fn bad(&self, mut conn: Conn, e: HttpError) -> Result<(), HttpError> {
        let fault = match e {
            HttpError::Io(_) => return Err(e),
            HttpError::TooLong => Fault::new(413, "TooLarge", "the request is too long"),
            HttpError::Malformed(_) => Fault::new(400, "BadRequest", e.to_string()),
            HttpError::Unfinished => Fault::new(408, "Unfinished", e.to_string()),
            HttpError::NoRoom => Fault::come_back(None, &e.to_string()),
        };
        let mut response = refused(fault, Form::default());
        response.closes = true;
        let last_word = async {
            tokio::time::sleep(self.pace.turn(self.clock.now())).await;
            tokio::time::timeout(LAST_WORD, conn.send(response)).await.unwrap_or(Ok(()))?;
            Ok(finish(conn).await?)
        };
        tokio::select! {
            done = last_word => done,
            () = self.budget.clients.wanted(true) => Ok(()),
        }
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
        let deadline = self.clock.now().saturating_add(wait);
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
