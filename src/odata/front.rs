//! The OData front: what every connection needs, how a client is refused, and what a request is answered with.

use super::reply::{self, Asked, Fault};
use super::request::{self, Call, Facts, Form, Repeatable};
use super::session::{last_refusal, Conn, Session};
use crate::class_table::ClassTable;
use crate::clock::Clock;
use crate::core::bookings::{BookingOutcome, BookingTry, Bookings};
use crate::core::counters::{count, Count};
use crate::core::repeat_ledger::ClaimRequest;
use crate::core::{Answer, ClientConnection, Handle, Operation, Request, Work};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer};
use crate::interface::*;
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::{Budget, ByteBudget, ErrorPacer};
use crate::net::client_close::{self, ConnectionClosed};
use crate::net::frames::{read_next, INITIAL_BUFFER_SIZE};
use crate::net::listen::{PhaseReceiver, Refusal};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// A value in base64url with room for the rest of its JSON.
pub(super) const MAX_BODY_LEN: usize = 128 * 1024;
/// The module's last word comes no earlier than this before a deadline, in us.
const LEAD: Time = 25_000;
/// How long the bytes of a value that flows may take to come.
const GATHER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the request of a client that is refused is waited for.
const REFUSED_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// What every connection needs.
pub struct Front {
    core: Handle,
    bookings: Bookings,
    class_table: watch::Receiver<Arc<ClassTable>>,
    pub(super) clock: Clock,
    pub(super) budget: Budget,
    pub(super) pace: ErrorPacer,
    answer_limit: AnswerLimit,
    /// For the ids of statements.
    random: RandomState,
    sent: AtomicU64,
}

impl ClientFront for Front {
    type Error = HttpError;

    async fn serve(
        self: Arc<Self>,
        waits_since: Option<std::time::Instant>,
        stream: Socket,
        closing: PhaseReceiver,
    ) -> Result<ConnectionClosed, HttpError> {
        Session::new(self, waits_since, stream).run(closing).await
    }

    async fn refuse(
        stream: Socket,
        bytes: ByteBudget,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send,
    ) -> Result<ConnectionClosed, HttpError> {
        why.count();
        let conn = Framed::with_capacity(stream, HttpServer::new(MAX_BODY_LEN, bytes), INITIAL_BUFFER_SIZE);
        Ok(client_close::refuse(conn, first_request, REFUSED_REQUEST_TIMEOUT, last_refusal(why), hurried)
            .await)
    }
}

/// Reads up to the first request, which a refusal answers.
async fn first_request(conn: &mut Conn) {
    let _ = read_next(conn, true).await;
}

impl Front {
    /// A front on the core.
    pub fn new(
        core: Handle,
        bookings: Bookings,
        class_table: watch::Receiver<Arc<ClassTable>>,
        clock: Clock,
        (budget, pace): (Budget, ErrorPacer),
        answer_limit: AnswerLimit,
    ) -> Self {
        let (random, sent) = (RandomState::new(), AtomicU64::new(0));
        Front { core, bookings, class_table, clock, budget, pace, answer_limit, random, sent }
    }

    /// The response to a request that has waited so long, in us, before it could be read.
    pub(super) async fn answer(
        &self,
        http: &HttpRequest,
        client: Weak<dyn ClientConnection>,
        waited: Time,
    ) -> HttpResponse {
        let form = match request::form(http) {
            Ok(form) => form,
            Err(fault) => return refused(fault, Form::default()),
        };
        let class_table = self.class_table.borrow().clone();
        let mut call = request::read(http, &class_table);
        if let Ok(Call::Read(facts, _) | Call::Create { facts, .. }) = &mut call {
            facts.wait = facts.wait.saturating_sub(waited);
        }
        match call {
            Ok(Call::Service) => reply::service(form),
            Ok(Call::Metadata) => reply::metadata(form),
            Ok(Call::Read(facts, key)) => {
                let mut request = self.request(&class_table, facts, &key, None);
                request.client = Some(client);
                let deadline = request.deadline;
                let safe = class_table.classes[request.class].effect == Effect::Safe;
                let answer = self.gathered(self.core.submit(request).await.await, safe).await;
                reply::answer(form, Asked::Read(&key), answer, self.late(deadline))
            }
            Ok(Call::Create { facts, key, value, repeatable, minimal }) => {
                let asked = Asked::Create { key: &key, minimal, repeatable: repeatable.is_some() };
                let fingerprint = fingerprint(&class_table, &facts, &key, &value);
                let answer_bytes = value.len() + 512;
                let mut request = self.request(&class_table, facts, &key, Some(value));
                let deadline = request.deadline;
                let Some(Repeatable { id, first_sent }) = repeatable else {
                    request.client = Some(client);
                    let answer = self.core.submit(request).await.await;
                    return reply::answer(form, asked, answer, self.late(deadline));
                };
                let candidate = ClaimRequest { fingerprint, answer_bytes, first_sent };
                match self.bookings.book(BookingTry { id, candidate }, request).await {
                    BookingOutcome::Answer(answer) => reply::answer(form, asked, answer, self.late(deadline)),
                    BookingOutcome::IdConflict => {
                        count(Count::odata_conflicts);
                        let text = "this Repeatability-Request-ID stands for another request";
                        refused(Fault::new(412, "RepeatabilityConflict", text).rejected(), form)
                    }
                    BookingOutcome::Unprovable => {
                        count(Count::odata_unprovable);
                        let text = "it cannot be proved that it has not run: first sent too long ago, or its id cannot be looked up";
                        refused(Fault::new(412, "RepeatabilityExpired", text).rejected(), form)
                    }
                    BookingOutcome::ClaimedByPeer => {
                        count(Count::odata_elsewhere);
                        let text = "another process of this proxy has taken this id: it may have run there";
                        refused(Fault::new(412, "RepeatabilityExpired", text).rejected(), form)
                    }
                    BookingOutcome::NoRoom => {
                        let text = "no room to remember one more booking; nothing has run";
                        refused(Fault::come_back(None, text).rejected(), form)
                    }
                }
            }
            Err(fault) => refused(fault, form),
        }
    }

    /// An answer whose value is whole: this wire's form of it cannot be begun before it ends. The request has run; without
    /// memory for its value it is refused only if it may safely run again.
    async fn gathered(&self, answer: Answer, safe: bool) -> Answer {
        let Answer::Served(mut value, position) = answer else { return answer };
        let Some(flow) = value.stream.take() else { return Answer::Served(value, position) };
        // As it is, and in base64 in its response.
        let Some(_share) = self.budget.bytes.try_reserve(flow.length().saturating_mul(3)) else {
            return if safe { Answer::Refused(None) } else { Answer::Failed };
        };
        match tokio::time::timeout(GATHER_TIMEOUT, flow.collect()).await {
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

    fn request(
        &self,
        class_table: &Arc<ClassTable>,
        facts: Facts,
        key: &str,
        value: Option<Bytes>,
    ) -> Request {
        let Facts { class, tenant, group, session, after, wait, repeat } = facts;
        let id = self.random.hash_one(self.sent.fetch_add(1, Ordering::Relaxed));
        let key_text = key.to_string();
        let operation = Operation {
            class_table: class_table.clone(),
            id,
            class,
            tenant,
            group,
            after,
            repeat,
            key: key_text,
            value,
        };
        let work = Work::Operation(Arc::new(operation));
        let deadline = self.answer_limit.cap(self.clock.now().saturating_add(wait));
        let session: Option<Arc<str>> = session.map(Arc::from);
        let key_session = session.as_ref().filter(|s| &***s != key).map(|_| Arc::from(key));
        Request {
            class_table: class_table.clone(),
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

/// Fingerprint of what a booking asks for; how long a try waits is not part of it. By names, as a reload may give a class
/// another number, and by a hash that every version of the program works out alike.
fn fingerprint(class_table: &ClassTable, facts: &Facts, key: &str, value: &[u8]) -> u64 {
    let group = facts.group.to_be_bytes();
    let session = facts.session.as_deref().unwrap_or_default();
    let class = class_table.class_name(facts.class);
    let tenant = class_table.names.tenants.get(facts.tenant).map_or("", |name| name);
    let mut hash = Sha256::new();
    for field in [class.as_bytes(), tenant.as_bytes(), &group, session.as_bytes(), key.as_bytes(), value] {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().first_chunk().map_or(0, |first| u64::from_be_bytes(*first))
}

pub(super) fn refused(fault: Fault, form: Form) -> HttpResponse {
    count(Count::odata_bad);
    fault.response(form)
}
