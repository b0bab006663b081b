//! The platform's front, kept thin: statements in, answers out in the order of their queries.

use super::codec::{Backend, Column, Frontend, ServerCodec, WireError};
use super::statement::{self, Fault};
use crate::core::counters::{count, Count};
use crate::core::{Answer, Handle, Pending};
use crate::interface::*;
use crate::meter::Socket;
use crate::net::budget::{Pace, Pot, Ration};
use crate::net::clock::Clock;
use crate::net::frames::{finish, next, shrink, Next, ROOM};
use crate::net::listen::{closed, Closing};
use crate::settings::Names;
use bytes::Bytes;
use futures_util::stream::FuturesOrdered;
use futures_util::{SinkExt, StreamExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Queries taken from one connection before their answers have gone out, and while memory is short.
const PIPELINE: usize = 16;
const PIPELINE_TIGHT: usize = 1;
/// From a connection's start to the end of its first message after the startup: a client that says nothing, or
/// begins and does not end, is owed a close within 3 s.
const FIRST: Duration = Duration::from_millis(2_200);
/// How long a message that was begun may take to end.
const UNFINISHED: Duration = Duration::from_millis(2_000);
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
    /// Names of classes and tenants.
    pub names: Names,
    /// The classes.
    pub classes: Vec<Class>,
    /// The clock.
    pub clock: Clock,
    /// Permits for clients' connections.
    pub clients: Pot,
    /// Bytes of messages.
    pub bytes: Ration,
    /// When bad messages are answered.
    pub pace: Pace,
}

/// A reply that is owed on a connection.
enum Owed {
    Ready(Vec<Backend>),
    Paced(Duration, Vec<Backend>),
    Waiting(Pending, bool),
}

impl Owed {
    async fn reply(self) -> Vec<Backend> {
        match self {
            Owed::Ready(reply) => reply,
            Owed::Paced(wait, reply) => {
                tokio::time::sleep(wait).await;
                reply
            }
            Owed::Waiting(pending, write) => reply(pending.await, write),
        }
    }
}

/// What a client has said so far.
#[derive(Default)]
struct Talk {
    /// Anything at all after its startup.
    asked: bool,
    /// Something that could be understood.
    sound: bool,
    /// A round of the extended protocol was turned away; the rest of it is passed over.
    skipping: bool,
}

type Conn = Framed<Socket, ServerCodec>;

async fn at(instant: Option<Instant>) {
    match instant {
        Some(instant) => tokio::time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

impl Front {
    /// Serves one client.
    ///
    /// # Errors
    /// When the connection breaks.
    pub async fn serve(self: Arc<Self>, stream: Socket, mut closing: Closing) -> Result<(), WireError> {
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
        let mut owed = FuturesOrdered::new();
        let (mut leaving, mut ended) = (*closing.borrow(), false);
        let (mut talk, mut part, mut rests) = (Talk::default(), None::<Instant>, Instant::now());
        let fault = loop {
            if leaving && owed.is_empty() {
                return Ok(());
            }
            let depth = if self.bytes.tight() { PIPELINE_TIGHT } else { PIPELINE };
            let reads = owed.len() < depth && !ended;
            // Only what is being read can be late.
            part = part.filter(|_| reads);
            let until = match part {
                // The first message has no longer than a client that says nothing.
                Some(since) if talk.asked => Some(since + UNFINISHED),
                Some(_) => Some(first),
                None if !owed.is_empty() => None,
                None => Some(if talk.asked { rests + IDLE } else { first }),
            };
            tokio::select! {
                biased;
                Some(reply) = owed.next(), if !owed.is_empty() => {
                    // A client that takes in nothing must not hold its seat for ever.
                    match tokio::time::timeout(PATIENCE, put(&mut conn, reply)).await {
                        Ok(put) => put?,
                        Err(_) => return Ok(()),
                    }
                    shrink(&mut conn);
                    rests = Instant::now();
                }
                read = next(&mut conn, part.is_some()), if reads => match read {
                    Next::Part => part = Some(Instant::now()),
                    Next::Message(None) => return Ok(()),
                    // What was asked before the goodbye is still answered.
                    Next::Message(Some(Ok(Frontend::Terminate))) => (leaving, ended) = (true, true),
                    Next::Message(Some(Ok(message))) => {
                        (part, talk.asked, rests) = (None, true, Instant::now());
                        owed.extend(self.take(message, &mut talk).await.map(Owed::reply));
                    }
                    Next::Message(Some(Err(e))) => break e,
                },
                () = closed(&mut closing), if !leaving => leaving = true,
                // Others wait for a seat, or too many rest: this one is between requests and has been for longest.
                () = self.clients.wanted(!talk.sound), if owed.is_empty() => {
                    count(Count::pg_made_room);
                    return Ok(());
                }
                () = at(until) => match part {
                    Some(_) => break WireError::Unfinished,
                    None => {
                        count(if talk.asked { Count::pg_idle_closed } else { Count::pg_silent });
                        return Ok(());
                    }
                },
            }
        };
        // What was asked before is still answered first.
        while let Some(reply) = owed.next().await {
            match tokio::time::timeout(PATIENCE, put(&mut conn, reply)).await {
                Ok(put) => put?,
                Err(_) => return Ok(()),
            }
        }
        self.bad(conn, fault).await
    }

    /// Startup, up to the first ReadyForQuery; false if there is nothing to serve.
    async fn welcome(&self, conn: &mut Conn) -> Result<bool, WireError> {
        loop {
            match conn.next().await.transpose()? {
                Some(Frontend::Encrypt) => conn.send(Backend::NoEncryption).await?,
                Some(Frontend::Startup { user }) => {
                    log::trace!("client {user}");
                    break;
                }
                _ => return Ok(false),
            }
        }
        conn.feed(Backend::AuthenticationOk).await?;
        for (name, value) in [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ] {
            conn.feed(Backend::ParameterStatus(name.into(), value.into())).await?;
        }
        conn.feed(Backend::KeyData).await?;
        conn.send(Backend::Ready).await?;
        Ok(true)
    }

    async fn take(&self, message: Frontend, talk: &mut Talk) -> Option<Owed> {
        let no = || error("0A000", "only simple queries are spoken here", None);
        let text = match message {
            Frontend::Query(text) if !talk.skipping => text,
            Frontend::Sync => {
                talk.skipping = false;
                return Some(Owed::Ready(vec![Backend::Ready]));
            }
            Frontend::Other(b'F') if !talk.skipping => return Some(self.paced(vec![no(), Backend::Ready])),
            // Once for a round of the extended protocol; the rest of it, up to its Sync, gets no answer of its own.
            Frontend::Other(b'P' | b'B' | b'D' | b'E' | b'C') if !talk.skipping => {
                talk.skipping = true;
                return Some(self.paced(vec![no()]));
            }
            _ => return None,
        };
        if text.trim_ascii().is_empty() {
            talk.sound = true;
            return Some(Owed::Ready(vec![Backend::EmptyQuery, Backend::Ready]));
        }
        count(Count::pg_requests);
        match statement::read(text, &self.names, &self.classes, self.clock.now()) {
            Ok(mut request) => {
                talk.sound = true;
                request.deadline = request.deadline.saturating_sub(MARGIN);
                let write = self.classes[request.class].need == Need::Write;
                Some(Owed::Waiting(self.core.submit(request).await, write))
            }
            Err(Fault { code, message }) => {
                Some(self.paced(vec![error(code, &message, None), Backend::Ready]))
            }
        }
    }

    /// The answer to what cannot be understood, in its turn.
    fn paced(&self, reply: Vec<Backend>) -> Owed {
        count(Count::pg_malformed);
        Owed::Paced(self.pace.turn(self.clock.now()), reply)
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
        let message = Bytes::from(e.to_string());
        let error = Backend::Error { fatal: true, code: code.into(), message, detail: None };
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

async fn put(conn: &mut Conn, reply: Vec<Backend>) -> Result<(), WireError> {
    for message in reply {
        conn.feed(message).await?;
    }
    SinkExt::<Backend>::flush(conn).await
}

fn error(code: &'static str, message: &str, detail: Option<String>) -> Backend {
    let message = Bytes::copy_from_slice(message.as_bytes());
    Backend::Error { fatal: false, code: code.into(), message, detail: detail.map(Bytes::from) }
}

fn reply(answer: Answer, write: bool) -> Vec<Backend> {
    match answer {
        Answer::Served(value, _) => {
            let tag = format!("{} {}", if write { "INSERT 0" } else { "SELECT" }, value.rows);
            let mut reply =
                vec![Backend::RowDescription(Column { type_id: value.type_id, binary: value.binary })];
            reply.extend((value.rows > 0).then_some(Backend::DataRow(value.bytes)));
            reply.extend([Backend::CommandComplete(tag.into()), Backend::Ready]);
            reply
        }
        Answer::Refused(after) => {
            // The number in the detail says when to come back, in milliseconds.
            let detail = after.map(|t| t.div_ceil(1000).to_string());
            vec![error("53300", "refused; trying again is harmless", detail), Backend::Ready]
        }
        Answer::Taken => {
            let text = "the id belongs to a request that is still open";
            vec![error("42710", text, None), Backend::Ready]
        }
        Answer::Failed => vec![error("XX000", "failed; it may have had its effect", None), Backend::Ready],
        Answer::Late => {
            vec![error("57014", "no answer in time; it may have had its effect", None), Backend::Ready]
        }
    }
}
