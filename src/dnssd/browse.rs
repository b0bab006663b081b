//! The actor that browses for members: unicast DNS over TCP to one server (RFC 6763, RFC 7766).
//!
//! It stands in discovery's place and sends the core the same typed lists. It asks for the service's PTR records, then
//! for each instance's others, and hands on what comes of them as a whole list. It asks again before a record's time to live is over, and at least every
//! ten seconds; what expires unrenewed, or is no longer named, is gone from the next list.

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

/// Patience with one question.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Least and most time between two rounds, in us.
const ROUND_INTERVAL_MIN: Time = 500_000;
const ROUND_INTERVAL_MAX: Time = 10_000_000;
/// Records are asked for again this long before they expire, in us.
const RENEW_AHEAD: Time = 1_500_000;
/// Most instances followed, so that no answer can make the proxy ask without end; one message names no more of them.
const INSTANCES_MAX: usize = 4_096;

/// The actor's state.
pub struct Browser {
    server: SocketAddr,
    service: Name,
    zones: Vec<String>,
    core: mpsc::Sender<Input>,
    clock: Clock,
    cache: RecordCache,
    numbers: MemberNumbers,
    told: Option<Vec<ListedMember>>,
    link: Option<Framed<Socket, LengthDelimitedCodec>>,
    asked: u16,
}

impl Browser {
    /// One that has not asked yet.
    ///
    /// # Errors
    /// When the service's name is not such as DNS can hold.
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
            told: None,
            link: None,
            asked: 0,
        })
    }

    /// Runs until the core is gone. The module's asking brings a round, and an answer, at once.
    pub async fn run(mut self, mut asked: mpsc::Receiver<ListRequest>) {
        let mut owed = false;
        loop {
            let fine = self.round().await.is_some();
            if !fine {
                count(Count::list_failures);
                self.link = None;
            }
            let now = self.clock.now();
            self.cache.expire(now);
            if self.tell(fine, owed).await.is_none() {
                return;
            }
            // A record that is not renewed in time must be gone from the list in time too.
            let until = self.cache.next_expiry().map_or(ROUND_INTERVAL_MAX, |t| t.saturating_sub(now));
            let pause = if until > RENEW_AHEAD + ROUND_INTERVAL_MIN { until - RENEW_AHEAD } else { until };
            let pause = pause.clamp(ROUND_INTERVAL_MIN, if fine { ROUND_INTERVAL_MAX } else { RENEW_AHEAD });
            tokio::select! {
                asks = asked.recv() => match asks {
                    Some(ListRequest) => owed = true,
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_micros(pause)) => owed = false,
            }
        }
    }

    /// Hands on the list if it has changed or an answer is owed.
    async fn tell(&mut self, fine: bool, owed: bool) -> Option<()> {
        let members = self.cache.members(&self.service, &self.zones, &mut self.numbers);
        self.numbers
            .release_departed(|id| members.iter().all(|m| m.member.id != id), tokio::time::Instant::now());
        let known = self.told.as_ref() == Some(&members);
        let list = match (fine, known) {
            (true, false) => Input::List(ListKind::Full, members.clone()),
            // An empty list that comes of a failure before the first answer says nothing.
            (false, false) if self.told.is_some() => Input::List(ListKind::Full, members.clone()),
            _ if !owed => return Some(()),
            (true, true) => Input::List(ListKind::Changes, Vec::new()),
            (false, _) => return self.core.send(Input::List(ListKind::Failed, Vec::new())).await.ok(),
        };
        count(Count::list_answers);
        self.told = Some(members);
        self.core.send(list).await.ok()
    }

    /// Asks for everything once.
    async fn round(&mut self) -> Option<()> {
        self.ask(self.service.clone(), RecordType::PTR).await?;
        for instance in self.cache.instances(&self.service).into_iter().take(INSTANCES_MAX) {
            self.ask(instance.clone(), RecordType::SRV).await?;
            self.ask(instance.clone(), RecordType::TXT).await?;
            for host in self.cache.targets(&instance) {
                self.ask(host, RecordType::A).await?;
            }
        }
        Some(())
    }

    /// One question; none if it was not answered.
    async fn ask(&mut self, name: Name, kind: RecordType) -> Option<()> {
        self.asked = self.asked.wrapping_add(1);
        let mut question = Message::new(self.asked, MessageType::Query, OpCode::Query);
        question.add_query(Query::query(name.clone(), kind));
        let question = Bytes::from(question.to_vec().ok()?);
        let answer = tokio::time::timeout(QUERY_TIMEOUT, self.exchange(question)).await.ok()??;
        match answer.metadata.response_code {
            ResponseCode::NoError => {
                let now = self.clock.now();
                let (own, more) = (&answer.answers, &answer.additionals);
                if own.iter().any(|r| r.name == name && r.record_type() == kind) {
                    let all: Vec<_> = own.iter().chain(more).cloned().collect();
                    self.cache.store_answer(&name, kind, &all, now);
                } else {
                    self.cache.remove(&name, kind);
                }
            }
            ResponseCode::NXDomain => self.cache.remove_name(&name),
            // Refused or out of order: what is held stays until it expires.
            code => {
                log::warn!("the DNS server answers {code} for {name}");
                return None;
            }
        }
        Some(())
    }

    async fn exchange(&mut self, question: Bytes) -> Option<Message> {
        let mut link = match self.link.take() {
            Some(link) => link,
            None => {
                let stream = transient::connect(self.server).await.ok()?;
                // Each message follows its length in two bytes.
                LengthDelimitedCodec::builder().length_field_type::<u16>().new_framed(Socket::new(stream))
            }
        };
        link.send(question).await.ok()?;
        loop {
            let bytes: BytesMut = link.next().await?.ok()?;
            let answer = match Message::from_vec(&bytes) {
                Ok(answer) => answer,
                Err(e) => {
                    count(Count::dnssd_skipped);
                    log::warn!("a DNS answer cannot be read: {e}");
                    return None;
                }
            };
            let ours =
                answer.metadata.id == self.asked && answer.metadata.message_type == MessageType::Response;
            if ours {
                self.link = Some(link);
                return Some(answer);
            }
        }
    }
}
