//! The platform's front, kept thin: statements in, answers out in the order of their queries.

use super::codec::{row_head, row_tail, After, Frontend, Reply, ServerCodec, WireError};
use super::statement::{self, Fault};
use crate::clock::Clock;
use crate::core::counters::{add, count, Count};
use crate::core::flow::Chunk;
use crate::core::{Answer, Handle, Pending, Value};
use crate::interface::*;
use crate::net::budget::{ByteBudget, DescriptorBudget, Pace};
use crate::net::frames::{finish, finish_resting, next, next_or_end, shrink, Next, ROOM};
use crate::net::listen::{reached, Closing, Phase, CONNECTION};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use crate::terms::Terms;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io::ErrorKind;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};
use tokio_util::codec::Framed;

/// Queries taken from one connection before their answers have gone out, and while memory is short.
const PIPELINE: usize = 16;
const PIPELINE_TIGHT: usize = 1;
/// From a connection's start to the end of its first message after the startup: a client that says nothing, or
/// begins and does not end, is owed a close within 3 s.
const FIRST: Duration = Duration::from_millis(2_500);
/// How long a message that was begun may take to end.
const UNFINISHED: Duration = Duration::from_millis(2_400);
/// How long a client may hold its connection without asking anything more: its seat costs memory and a descriptor,
/// and some never come back.
const IDLE: Duration = Duration::from_millis(4_000);
/// How long a client may take to take in an answer, and a last error.
const PATIENCE: Duration = Duration::from_secs(5);
const LAST_WORD: Duration = Duration::from_millis(500);
/// Kept off a client's deadline, in us: the way there and back takes time.
const MARGIN: Time = 4_000;

/// What every connection needs.
pub struct Front {
    /// Way into the core.
    pub core: Handle,
    /// The terms under which requests are read.
    pub terms: watch::Receiver<Arc<Terms>>,
    /// The clock.
    pub clock: Clock,
    /// Permits for clients' connections.
    pub clients: DescriptorBudget,
    /// Bytes of messages.
    pub bytes: ByteBudget,
    /// When bad messages are answered.
    pub pace: Pace,
}

/// A reply that is owed on a connection.
enum PendingReply {
    Ready(Reply),
    Paced(Pin<Box<Sleep>>, Reply),
    Waiting(Pending, bool),
}

impl PendingReply {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Reply> {
        match self {
            PendingReply::Ready(reply) => Poll::Ready(reply.clone()),
            PendingReply::Paced(wait, reply) => wait.as_mut().poll(cx).map(|()| reply.clone()),
            PendingReply::Waiting(pending, write) => {
                let write = *write;
                Pin::new(pending).poll(cx).map(|answer| reply(answer, write))
            }
        }
    }
}

/// The replies that are owed on a connection, in the order of their queries. A request whose answer has not come when this
/// ends goes without one, and is counted.
#[derive(Default)]
struct OwedReplies(VecDeque<PendingReply>);

impl Drop for OwedReplies {
    fn drop(&mut self) {
        let waiting = self.0.iter().filter(|reply| matches!(reply, PendingReply::Waiting(..))).count();
        if waiting > 0 {
            add(Count::pg_unanswered, waiting as u64);
            log::debug!(target: CONNECTION, requests = waiting; "ended before their answers");
        }
    }
}

/// The reply that is due first, once there is one. Replies go out in the order of their queries, so that only the
/// first is asked for; nothing is lost where this is dropped.
async fn due(owed: &mut VecDeque<PendingReply>) -> Reply {
    let reply = poll_fn(|cx| owed.front_mut().map_or(Poll::Pending, |first| first.poll(cx))).await;
    owed.pop_front();
    reply
}

/// What a client has said so far.
#[derive(Default)]
struct SessionState {
    /// Anything at all after its startup.
    asked: bool,
    /// Something that could be understood.
    sound: bool,
    /// What has come until the first answer may have been sent since then.
    waits_since: Option<std::time::Instant>,
    /// A round of the extended protocol was turned away; the rest of it is passed over.
    skipping: bool,
}

type Conn = Framed<Socket, ServerCodec>;

impl ClientFront for Front {
    type Error = WireError;

    async fn serve(
        self: Arc<Self>,
        waits_since: Option<std::time::Instant>,
        stream: Socket,
        closing: Closing,
    ) -> Result<(), WireError> {
        self.serve_client(waits_since, stream, closing).await
    }

    async fn refuse_starting(stream: Socket, bytes: ByteBudget) -> Result<(), WireError> {
        count(Count::refused_starting);
        log::debug!(target: CONNECTION, client = stream.port(); "refused, as the start takes long");
        let mut conn = Framed::with_capacity(stream, ServerCodec::new(bytes), ROOM);
        conn.send(error("57P03", "the proxy is starting", After::End)).await?;
        Ok(finish(conn).await?)
    }
}

impl Front {
    async fn serve_client(
        self: Arc<Self>,
        waits_since: Option<std::time::Instant>,
        stream: Socket,
        mut closing: Closing,
    ) -> Result<(), WireError> {
        let first = Instant::now() + FIRST;
        let mut conn = Framed::with_capacity(stream, ServerCodec::new(self.bytes.clone()), ROOM);
        let welcome = tokio::select! {
            welcome = tokio::time::timeout_at(first, self.welcome(&mut conn)) => welcome,
            () = self.clients.wanted(true) => return Ok(()),
        };
        match welcome {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => return Ok(()),
            Err(_) => {
                count(Count::pg_silent);
                return Ok(());
            }
            Ok(Err(e)) => return self.bad(conn, e).await,
        }
        let mut replies = OwedReplies::default();
        let owed = &mut replies.0;
        let (mut phase, mut ended) = (*closing.borrow(), false);
        // Set anew with each step of the end: first connections end with their next answer, then between requests.
        let mut leaving = phase >= Phase::Closing;
        let mut begun = closing.clone();
        let mut begun = pin!(reached(&mut begun, Phase::Leaving));
        let mut closed = pin!(reached(&mut closing, Phase::Closing));
        // Set anew only when it rings too early: nearly every wait ends long before its limit.
        let mut timer = pin!(tokio::time::sleep_until(first));
        let (mut session, mut part, mut rests) =
            (SessionState { waits_since, ..SessionState::default() }, None::<Instant>, Instant::now());
        let fault = loop {
            if leaving && owed.is_empty() {
                // What has come already is still taken, or the client would find its request unread.
                let come = if ended { None } else { next(&mut conn, true).now_or_never() };
                match come {
                    Some(Next::Message(Some(Ok(message)))) if message != Frontend::Terminate => {
                        (session.asked, part) = (true, None);
                        owed.extend(self.take(message, &mut session, conn.get_ref()).await);
                        continue;
                    }
                    None if !ended && !conn.read_buffer().is_empty() => {}
                    _ => return Ok(finish(conn).await?),
                }
            }
            let depth = if self.bytes.tight() { PIPELINE_TIGHT } else { PIPELINE };
            let reads = owed.len() < depth && !ended;
            // Only what is being read can be late.
            part = part.filter(|_| reads);
            let until = match part {
                // The first message has no longer than a client that says nothing.
                Some(since) if session.asked => Some(since + UNFINISHED),
                Some(_) => Some(first),
                None if !owed.is_empty() => None,
                None => Some(if session.asked { rests + IDLE } else { first }),
            };
            if until.is_some_and(|until| until < timer.deadline()) {
                timer.as_mut().reset(until.unwrap_or(first));
            }
            tokio::select! {
                biased;
                reply = due(owed), if !owed.is_empty() => {
                    // A client that takes in nothing must not hold its seat for ever.
                    put(&mut conn, reply, owed).await?;
                    session.waits_since = None;
                    shrink(&mut conn);
                    rests = Instant::now();
                    leaving |= phase >= Phase::Leaving;
                }
                read = next_or_end(&mut conn, reads, part.is_some()), if reads || !owed.is_empty() => match read {
                    Next::Part => part = Some(Instant::now()),
                    Next::Message(None) => return Ok(()),
                    // What was asked before the goodbye is still answered.
                    Next::Message(Some(Ok(Frontend::Terminate))) => (leaving, ended) = (true, true),
                    Next::Message(Some(Ok(message))) => {
                        (part, session.asked, rests) = (None, true, Instant::now());
                        owed.extend(self.take(message, &mut session, conn.get_ref()).await);
                    }
                    Next::Message(Some(Err(e))) => break e,
                },
                () = begun.as_mut(), if phase < Phase::Leaving => phase = Phase::Leaving,
                () = closed.as_mut(), if phase == Phase::Leaving => {
                    (phase, leaving) = (Phase::Closing, true);
                }
                // Others wait for a seat, or too many rest: this one is between requests and has been for longest. A message
                // of which a part has been read is a request that was taken.
                () = self.clients.wanted(!session.sound), if owed.is_empty() && part.is_none() => {
                    count(Count::pg_made_room);
                    log::debug!(target: CONNECTION, "closed at rest, to make room for others");
                    return Ok(finish_resting(conn).await?);
                }
                () = timer.as_mut() => match part {
                    _ if until.is_none_or(|until| Instant::now() < until) => {
                        timer.as_mut().reset(until.unwrap_or_else(|| Instant::now() + IDLE));
                    }
                    Some(_) => break WireError::Unfinished,
                    None => {
                        count(if session.asked { Count::pg_idle_closed } else { Count::pg_silent });
                        log::debug!(target: CONNECTION, "closed at rest, as nothing was asked for long");
                        return Ok(finish_resting(conn).await?);
                    }
                },
            }
        };
        // What was asked before is still answered first, to a client that is still there.
        while !owed.is_empty() {
            let reply = tokio::select! {
                biased;
                reply = due(owed) => reply,
                () = conn.get_mut().ended() => return Ok(()),
            };
            put(&mut conn, reply, owed).await?;
        }
        self.bad(conn, fault).await
    }

    /// Startup, up to the first ReadyForQuery; false if there is nothing to serve.
    async fn welcome(&self, conn: &mut Conn) -> Result<bool, WireError> {
        loop {
            match conn.next().await.transpose()? {
                Some(Frontend::Encrypt) => conn.send(Reply::NoEncryption).await?,
                Some(Frontend::Startup { user }) => {
                    log::trace!("client {user}");
                    break;
                }
                _ => return Ok(false),
            }
        }
        conn.send(Reply::Welcome).await?;
        Ok(true)
    }

    async fn take(
        &self,
        message: Frontend,
        session: &mut SessionState,
        client: &Socket,
    ) -> Option<PendingReply> {
        let no = |after| error("0A000", "only simple queries are spoken here", after);
        let text = match message {
            Frontend::Query(text) if !session.skipping => text,
            Frontend::Sync => {
                session.skipping = false;
                return Some(PendingReply::Ready(Reply::Ready));
            }
            Frontend::Other(b'F') if !session.skipping => return Some(self.paced(no(After::Ready))),
            // Once for a round of the extended protocol; the rest of it, up to its Sync, gets no answer of its own.
            Frontend::Other(b'P' | b'B' | b'D' | b'E' | b'C') if !session.skipping => {
                session.skipping = true;
                return Some(self.paced(no(After::Sync)));
            }
            _ => return None,
        };
        if text.trim_ascii().is_empty() {
            log::debug!(target: CONNECTION, client = client.port(); "empty query");
            session.sound = true;
            return Some(PendingReply::Ready(Reply::Empty));
        }
        count(Count::pg_requests);
        let terms = self.terms.borrow().clone();
        let waited = session.waits_since.map_or(0, |since| since.elapsed().as_micros() as Time);
        match statement::read(text, &terms, self.clock.now().saturating_sub(waited)) {
            Ok(mut request) => {
                session.sound = true;
                request.deadline = request.deadline.saturating_sub(MARGIN);
                request.client = Some(client.presence());
                log::debug!(target: CONNECTION, client = client.port(), name:? = request.name; "request read");
                let write = request.terms.classes[request.class].need == Need::Write;
                Some(PendingReply::Waiting(self.core.submit(request).await, write))
            }
            Err(Fault { code, message }) => {
                let (after, message) = (After::Ready, Bytes::from(message));
                Some(self.paced(Reply::Error { after, code, message, detail: None }))
            }
        }
    }

    /// The answer to what cannot be understood, in its turn.
    fn paced(&self, reply: Reply) -> PendingReply {
        count(Count::pg_malformed);
        PendingReply::Paced(Box::pin(tokio::time::sleep(self.pace.turn(self.clock.now()))), reply)
    }

    /// The last word on a connection on which the next message cannot be found any more: an error, then a close.
    async fn bad(&self, mut conn: Conn, e: WireError) -> Result<(), WireError> {
        let (code, counter) = match e {
            WireError::Io(_) => return Err(e),
            WireError::TooLong(_) => ("54000", Count::pg_oversized),
            WireError::Malformed(_) => ("08P01", Count::pg_malformed),
            WireError::Unfinished => ("08P01", Count::pg_unfinished),
            WireError::NoRoom => ("53300", Count::pg_no_room),
        };
        count(counter);
        log::debug!(target: CONNECTION, "closed with an error: {e}");
        let message = Bytes::from(e.to_string());
        let error = Reply::Error { after: After::End, code, message, detail: None };
        let last_word = async {
            tokio::time::sleep(self.pace.turn(self.clock.now())).await;
            tokio::time::timeout(LAST_WORD, conn.send(error)).await.unwrap_or(Ok(()))?;
            Ok(finish(conn).await?)
        };
        tokio::select! {
            done = last_word => done,
            () = self.clients.wanted(true) => Ok(()),
        }
    }
}

/// A value from this size on is written from where it lies, not copied into the connection's buffer first.
const LARGE: usize = 16 * 1024;

/// Writes a reply and those behind it that are due already, in one go.
async fn put(conn: &mut Conn, reply: Reply, owed: &mut VecDeque<PendingReply>) -> Result<(), WireError> {
    let mut next = Some(reply);
    while let Some(reply) = next {
        match reply {
            Reply::Row(value, write) if value.bytes.as_ref().is_some_and(|b| b.len() >= LARGE) => {
                let (mut head, mut tail) = (std::mem::take(conn.write_buffer_mut()), BytesMut::new());
                row_head(&value, &mut head);
                row_tail(&value, write, &mut tail);
                let bytes = value.bytes.unwrap_or_default();
                let mut all = (&head[..]).chain(bytes).chain(tail);
                in_time(conn.get_mut().write_all_buf(&mut all)).await?;
                head.clear();
                *conn.write_buffer_mut() = head;
            }
            Reply::Row(value, write) if value.flow.is_some() => flow(conn, value, write).await?,
            reply => in_time(conn.feed(reply)).await?,
        }
        next = if owed.is_empty() { None } else { due(owed).now_or_never() };
    }
    in_time(SinkExt::<Reply>::flush(conn)).await
}

/// A client that takes in nothing for so long must not hold its seat for ever.
async fn in_time<E: Into<WireError>>(write: impl Future<Output = Result<(), E>>) -> Result<(), WireError> {
    match tokio::time::timeout(PATIENCE, write).await {
        Ok(written) => written.map_err(Into::into),
        Err(_) => Err(WireError::Io(ErrorKind::TimedOut.into())),
    }
}

/// Passes on a large value as it comes. Its length stands before it, so that a client can tell when it breaks off:
/// all that is left then is to end the connection.
async fn flow(conn: &mut Conn, value: Value, write: bool) -> Result<(), WireError> {
    let Some(flow) = &value.flow else { return Ok(()) };
    let (mut head, mut left) = (std::mem::take(conn.write_buffer_mut()), flow.length());
    row_head(&value, &mut head);
    in_time(conn.get_mut().write_all(&head)).await?;
    head.clear();
    *conn.write_buffer_mut() = head;
    loop {
        match flow.next().await {
            Some(Chunk::Bytes(mut bytes)) if bytes.len() <= left => {
                left -= bytes.len();
                in_time(conn.get_mut().write_all_buf(&mut bytes)).await?;
            }
            Some(Chunk::Whole) if left == 0 => break,
            _ => return Err(WireError::Io(ErrorKind::UnexpectedEof.into())),
        }
    }
    row_tail(&value, write, conn.write_buffer_mut());
    Ok(())
}

fn error(code: &'static str, message: &'static str, after: After) -> Reply {
    Reply::Error { after, code, message: Bytes::from_static(message.as_bytes()), detail: None }
}

fn reply(answer: Answer, write: bool) -> Reply {
    let ready = After::Ready;
    match answer {
        Answer::Served(value, _) => Reply::Row(value, write),
        // The number in the detail says when to come back, in milliseconds.
        Answer::Refused(come_back) => Reply::Error {
            after: ready,
            code: "53300",
            message: Bytes::from_static(b"refused; trying again is harmless"),
            detail: come_back.map(|t| t.div_ceil(1000)),
        },
        Answer::Taken => error("42710", "the id belongs to a request that is still open", ready),
        Answer::Failed => error("XX000", "failed; it may have had its effect", ready),
        Answer::Late => error("57014", "no answer in time; it may have had its effect", ready),
    }
}
