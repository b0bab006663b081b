//! The actor that browses for members: unicast DNS over TCP to one server (RFC 6763, RFC 7766).
//!
//! It replaces discovery and sends the core the same typed lists. It queries the service's PTR records, then the SRV,
//! TXT and A records of each instance, and sends the resulting members as a full list. It queries again before a
//! record's time to live ends, and at least every ten seconds. A record that expires without renewal, or that the
//! server no longer returns, is missing from the next list.

use super::records::RecordCache;
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{Input, ListedMember};
use crate::interface::*;
use crate::net::discovery::{ListReader, ListRequest, MemberNumbers};
use crate::net::socket::Socket;
use crate::net::transient;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest time between two rounds of queries, in us.
const ROUND_INTERVAL_MIN: Time = 500_000;
const ROUND_INTERVAL_MAX: Time = 10_000_000;
/// Records are queried again this long before they expire, in us.
const RENEW_AHEAD: Time = 1_500_000;
/// Maximum number of instances that are queried, so that no answer can cause unbounded queries. A single DNS message
/// cannot name more instances than this.
const INSTANCES_MAX: usize = 4_096;

/// The browsing actor.
pub struct Browser {
    server: SocketAddr,
    service: Name,
    zones: Vec<String>,
    core: mpsc::Sender<Input>,
    clock: Clock,
    cache: RecordCache,
    numbers: MemberNumbers,
    last_sent: Option<Vec<ListedMember>>,
    connection: Option<Framed<Socket, LengthDelimitedCodec>>,
    query_id: u16,
}

impl Browser {
    /// Creates a browser that has sent no query yet.
    ///
    /// # Errors
    /// If `service` is not a valid DNS name.
    pub fn new(
        server: SocketAddr,
        service: &str,
        lists: ListReader,
        core: mpsc::Sender<Input>,
        clock: Clock,
    ) -> Result<Self, String> {
        let mut name = Name::from_ascii(service).map_err(|e| format!("{service}: {e}"))?;
        name.set_fqdn(true);
        let ListReader { zones, numbers, .. } = lists;
        Ok(Browser {
            server,
            service: name.to_lowercase(),
            zones,
            core,
            clock,
            cache: RecordCache::default(),
            numbers,
            last_sent: None,
            connection: None,
            query_id: 0,
        })
    }

    /// Runs until the core has ended. A request on `requests` starts a round at once, and is always answered.
    pub async fn run(mut self, mut requests: mpsc::Receiver<ListRequest>) {
        let mut answer_due = false;
        loop {
            let succeeded = self.query_all().await.is_some();
            if !succeeded {
                count(Count::list_failures);
                self.connection = None;
            }
            let now = self.clock.now();
            self.cache.expire(now);
            if self.send_list(succeeded, answer_due).await.is_none() {
                return;
            }
            // A record that is not renewed must also leave the list when it expires.
            let until_expiry = self.cache.next_expiry().map_or(ROUND_INTERVAL_MAX, |t| t.saturating_sub(now));
            let pause = if until_expiry > RENEW_AHEAD + ROUND_INTERVAL_MIN {
                until_expiry - RENEW_AHEAD
            } else {
                until_expiry
            };
            let pause =
                pause.clamp(ROUND_INTERVAL_MIN, if succeeded { ROUND_INTERVAL_MAX } else { RENEW_AHEAD });
            tokio::select! {
                request = requests.recv() => match request {
                    Some(ListRequest) => answer_due = true,
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_micros(pause)) => answer_due = false,
            }
        }
    }

    /// Sends the list to the core if it has changed or a request is to be answered.
    async fn send_list(&mut self, succeeded: bool, answer_due: bool) -> Option<()> {
        let members = self.cache.members(&self.service, &self.zones, &mut self.numbers);
        self.numbers
            .release_departed(|id| members.iter().all(|m| m.member.id != id), tokio::time::Instant::now());
        let unchanged = self.last_sent.as_ref() == Some(&members);
        let list = match (succeeded, unchanged) {
            (true, false) => Input::List(ListKind::Full, members.clone()),
            // After a failure before the first list the cache is incomplete and must not be sent.
            (false, false) if self.last_sent.is_some() => Input::List(ListKind::Full, members.clone()),
            _ if !answer_due => return Some(()),
            (true, true) => Input::List(ListKind::Changes, Vec::new()),
            (false, _) => return self.core.send(Input::List(ListKind::Failed, Vec::new())).await.ok(),
        };
        count(Count::list_answers);
        self.last_sent = Some(members);
        self.core.send(list).await.ok()
    }

    /// Runs one round: queries all records once.
    async fn query_all(&mut self) -> Option<()> {
        self.query(self.service.clone(), RecordType::PTR).await?;
        for instance in self.cache.instances(&self.service).into_iter().take(INSTANCES_MAX) {
            self.query(instance.clone(), RecordType::SRV).await?;
            self.query(instance.clone(), RecordType::TXT).await?;
            for host in self.cache.targets(&instance) {
                self.query(host, RecordType::A).await?;
            }
        }
        Some(())
    }

    /// Sends one query and caches the answer. `None` if it was not answered.
    async fn query(&mut self, name: Name, kind: RecordType) -> Option<()> {
        self.query_id = self.query_id.wrapping_add(1);
        let mut query = Message::new(self.query_id, MessageType::Query, OpCode::Query);
        query.add_query(Query::query(name.clone(), kind));
        let query = Bytes::from(query.to_vec().ok()?);
        let answer = tokio::time::timeout(QUERY_TIMEOUT, self.exchange(query)).await.ok()??;
        match answer.metadata.response_code {
            ResponseCode::NoError => {
                let now = self.clock.now();
                let (answers, additionals) = (&answer.answers, &answer.additionals);
                if answers.iter().any(|r| r.name == name && r.record_type() == kind) {
                    let records: Vec<_> = answers.iter().chain(additionals).cloned().collect();
                    self.cache.store_answer(&name, kind, &records, now);
                } else {
                    self.cache.remove(&name, kind);
                }
            }
            ResponseCode::NXDomain => self.cache.remove_name(&name),
            // The server refuses the query or has failed: cached records stay until they expire.
            code => {
                log::warn!("the DNS server answered {code} to the query for {name}");
                return None;
            }
        }
        Some(())
    }

    async fn exchange(&mut self, query: Bytes) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = transient::connect(self.server).await.ok()?;
                // Each message is preceded by its length in two bytes.
                LengthDelimitedCodec::builder().length_field_type::<u16>().new_framed(Socket::new(stream))
            }
        };
        connection.send(query).await.ok()?;
        loop {
            let bytes: BytesMut = connection.next().await?.ok()?;
            let answer = match Message::from_vec(&bytes) {
                Ok(answer) => answer,
                Err(e) => {
                    count(Count::dnssd_skipped);
                    log::warn!("a DNS answer cannot be decoded: {e}");
                    return None;
                }
            };
            let matches_query =
                answer.metadata.id == self.query_id && answer.metadata.message_type == MessageType::Response;
            if matches_query {
                self.connection = Some(connection);
                return Some(answer);
            }
        }
    }
}
