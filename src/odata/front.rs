//! The OData front: state shared by its connections, refusals, and the execution of calls.

use super::reply::{self, CallKind, ODataError, Response};
use super::request::{self, Call, CallParams, CreateCall, Repeatable, ResponseFormat};
use super::session::{last_refusal, Conn, Session};
use crate::class_table::ClassTable;
use crate::clock::Clock;
use crate::core::bookings::{BookingOutcome, BookingTry, Bookings};
use crate::core::counters::{count, Count};
use crate::core::flow::ANSWER_MARGIN;
use crate::core::repeat_ledger::ClaimRequest;
use crate::core::{ClientConnection, Handle, IdempotencyKey, Operation, Request, RequestClient, Work};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer};
use crate::interface::*;
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::{Budget, ByteBudget, ErrorPacer};
use crate::net::client_close::{self, ConnectionClosed};
use crate::net::frames::{read_next, INITIAL_BUFFER_SIZE};
use crate::net::listen::{PhaseReceiver, Refusal};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use crate::policy::repeat_proof::{RetryMark, RunPermission, UnknownBooking};
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Maximum length of a request body: the longest value in base64url and the rest of its JSON.
pub(super) const MAX_BODY_LEN: usize = 128 * 1024;
/// The router gives up on a request at most this long before its deadline, in us.
const LATE_MARGIN: Time = 25_000;
/// How long a client that is to be refused may take to send its request.
const REFUSED_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// State shared by all connections of the OData front.
pub struct Front {
    core: Handle,
    bookings: Bookings,
    class_table: watch::Receiver<Arc<ClassTable>>,
    pub(super) clock: Clock,
    pub(super) budget: Budget,
    pub(super) pace: ErrorPacer,
    answer_limit: AnswerLimit,
    /// Hashes `next_id` into the ids of statements.
    random: RandomState,
    next_id: AtomicU64,
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
        Ok(client_close::refuse(
            conn,
            read_first_request,
            REFUSED_REQUEST_TIMEOUT,
            last_refusal(why),
            hurried,
        )
        .await)
    }
}

/// Reads the first request, to which a refusal is the response.
async fn read_first_request(conn: &mut Conn) {
    let _ = read_next(conn, true).await;
}

impl Front {
    /// Creates a front that submits its requests to `core`.
    pub fn new(
        core: Handle,
        bookings: Bookings,
        class_table: watch::Receiver<Arc<ClassTable>>,
        clock: Clock,
        (budget, pace): (Budget, ErrorPacer),
        answer_limit: AnswerLimit,
    ) -> Self {
        let (random, next_id) = (RandomState::new(), AtomicU64::new(0));
        Front { core, bookings, class_table, clock, budget, pace, answer_limit, random, next_id }
    }

    /// Returns the response to a request. `waited` is the time, in us, that the request waited before it was read.
    pub(super) async fn answer(
        &self,
        http: &HttpRequest,
        client: Weak<dyn ClientConnection>,
        waited: Time,
    ) -> Response {
        let client = RequestClient { connection: client, seen_at: self.clock.now().saturating_sub(waited) };
        let format = match request::response_format(http) {
            Ok(format) => format,
            Err(error) => return error_response(error, ResponseFormat::default()).into(),
        };
        let class_table = self.class_table.borrow().clone();
        let mut call = request::parse(http, &class_table);
        if let Ok(Call::Read(params, _) | Call::Create(CreateCall { params, .. })) = &mut call {
            params.wait = params.wait.saturating_sub(waited);
        }
        match call {
            Ok(Call::Service) => reply::service(format).into(),
            Ok(Call::Metadata) => reply::metadata(format).into(),
            Ok(Call::Read(params, key)) => {
                let idempotency_key = self.random_idempotency_key(&class_table.classes[params.class]);
                let mut request = self.build_request(&class_table, params, &key, None, idempotency_key);
                request.client = Some(client);
                let deadline = request.deadline;
                let answer = self.core.submit(request).await.await;
                reply::read_answer(format, &key, answer, self.is_late(deadline))
            }
            Ok(Call::Create(create)) => self.create(format, &class_table, create, client).await.into(),
            Err(error) => error_response(error, format).into(),
        }
    }

    /// How long the client of a request waits for its response; `None` if the request does not tell.
    pub(super) fn wait_of(&self, http: &HttpRequest) -> Option<Duration> {
        let class_table = self.class_table.borrow().clone();
        match request::parse(http, &class_table) {
            Ok(Call::Read(params, _) | Call::Create(CreateCall { params, .. })) => {
                Some(Duration::from_micros(params.wait))
            }
            _ => None,
        }
    }

    /// The time at which an answer that is `due` then has to be given: earlier if the process ends soon.
    pub(super) fn cap_due(&self, due: Option<Instant>) -> Instant {
        let limit = self.clock.instant(self.answer_limit.cap(Time::MAX));
        due.map_or(limit, |due| due.min(limit))
    }

    /// Whether the process ends so soon that no more of a value should be waited for.
    pub(super) fn is_ending_soon(&self) -> bool {
        self.cap_due(None) <= Instant::now() + ANSWER_MARGIN
    }

    /// Returns the response to the creation of a record.
    async fn create(
        &self,
        format: ResponseFormat,
        class_table: &Arc<ClassTable>,
        create: CreateCall,
        client: RequestClient,
    ) -> HttpResponse {
        let CreateCall { params, key, value, repeatable, minimal } = create;
        let mark = params.mark;
        let call_kind = CallKind::Create { key: &key, minimal, repeatable: repeatable.is_some() };
        let fingerprint = fingerprint(class_table, &params, &key, &value);
        let answer_bytes = value.len() + 512;
        let class = &class_table.classes[params.class];
        let idempotency_key = match &repeatable {
            Some(Repeatable { id, .. }) => idempotency_key(class, id, fingerprint),
            None => self.random_idempotency_key(class),
        };
        let mut request = self.build_request(class_table, params, &key, Some(value), idempotency_key);
        let deadline = request.deadline;
        let Some(Repeatable { id, first_sent }) = repeatable else {
            request.client = Some(client);
            let answer = self.core.submit(request).await.await;
            return reply::answer(format, call_kind, answer, self.is_late(deadline));
        };
        let unknown = UnknownBooking { effect: class.effect, mark, first_sent, arrived: client.seen_at };
        let (may_run_unknown, run_until) = match unknown.permission(class_table.retry_habits) {
            RunPermission::Unlimited => (true, None),
            RunPermission::Until(until) => (true, Some(until)),
            RunPermission::Denied => (false, None),
        };
        let candidate = ClaimRequest { fingerprint, answer_bytes, first_sent, may_run_unknown };
        match self.bookings.book(BookingTry { id, candidate, run_until }, request).await {
            BookingOutcome::Answer(answer) => {
                reply::answer(format, call_kind, answer, self.is_late(deadline))
            }
            BookingOutcome::IdConflict => {
                count(Count::odata_conflicts);
                let text = "this Repeatability-Request-ID stands for another request";
                error_response(ODataError::new(412, "RepeatabilityConflict", text).rejected(), format)
            }
            BookingOutcome::Unprovable => {
                count(Count::odata_unprovable);
                let text = "it cannot be proved that it has not run: first sent too long ago, or its id cannot be looked up";
                error_response(ODataError::new(412, "RepeatabilityExpired", text).rejected(), format)
            }
            BookingOutcome::UnknownRetry => {
                count(Count::odata_unknown_retries);
                let text = "an earlier try of this booking may have run through another proxy: its id is not known here";
                error_response(ODataError::new(412, "RepeatabilityExpired", text).rejected(), format)
            }
            BookingOutcome::ClaimedByPeer => {
                count(Count::odata_elsewhere);
                let text = "another process of this proxy has taken this id: it may have run there";
                error_response(ODataError::new(412, "RepeatabilityExpired", text).rejected(), format)
            }
            BookingOutcome::NoRoom => {
                let text = "no room to remember one more booking; nothing has run";
                error_response(ODataError::retry_later(None, text).rejected(), format)
            }
        }
    }

    /// Whether an answer given now is due to the deadline: the router gives up slightly before it.
    fn is_late(&self, deadline: Time) -> bool {
        self.clock.now() + LATE_MARGIN >= deadline
    }

    /// A number that neither this process nor another one uses twice.
    fn random_number(&self) -> u64 {
        self.random.hash_one(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// The key of a request without a repeat id. The client's retry is another request.
    fn random_idempotency_key(&self, class: &Class) -> Option<IdempotencyKey> {
        is_keyed(class).then(|| IdempotencyKey(self.random_number()))
    }

    fn build_request(
        &self,
        class_table: &Arc<ClassTable>,
        params: CallParams,
        key: &str,
        value: Option<Bytes>,
        idempotency_key: Option<IdempotencyKey>,
    ) -> Request {
        let CallParams { class, tenant, group, session, after, wait, mark } = params;
        let id = self.random_number();
        let repeat = mark == RetryMark::Retry;
        let key_text = key.to_string();
        let operation = Operation {
            class_table: class_table.clone(),
            id,
            class,
            tenant,
            group,
            after,
            repeat,
            idempotency_key,
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

/// Whether members discard duplicates of the class's requests by a key.
fn is_keyed(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed { .. })
}

/// The key of a booking with this repeat id. It is the same for the client's retries, through any process or proxy, and
/// another for a booking with other content, whose client has chosen the same id.
fn idempotency_key(class: &Class, repeat_id: &str, fingerprint: u64) -> Option<IdempotencyKey> {
    let content = fingerprint.to_be_bytes();
    let key = || IdempotencyKey(hash_fields(&[b"idempotency key", repeat_id.as_bytes(), &content]));
    is_keyed(class).then(key)
}

/// Fingerprint of a booking's content; the waiting time is not part of it. Uses the names of class and tenant, since a
/// reload can change their indexes.
fn fingerprint(class_table: &ClassTable, params: &CallParams, key: &str, value: &[u8]) -> u64 {
    let group = params.group.to_be_bytes();
    let session = params.session.as_deref().unwrap_or_default();
    let class = class_table.class_name(params.class);
    let tenant = class_table.names.tenants.get(params.tenant).map_or("", |name| name);
    hash_fields(&[class.as_bytes(), tenant.as_bytes(), &group, session.as_bytes(), key.as_bytes(), value])
}

/// Hash of fields, each with its length, that is the same in every version of the program.
fn hash_fields(fields: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().first_chunk().map_or(0, |first| u64::from_be_bytes(*first))
}

/// Counts a rejected request and builds the response.
pub(super) fn error_response(error: ODataError, format: ResponseFormat) -> HttpResponse {
    count(Count::odata_bad);
    error.response(format)
}
