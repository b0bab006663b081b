//! A DNS server over TCP that names members as instances of a service, as DNS-SD (RFC 6763) has them.

use crate::{listener, runtime};
use hickory_proto::op::{Message, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The service as which members are named.
pub const SERVICE: &str = "_postgresql._tcp.members.test.";

struct Named {
    label: String,
    port: u16,
    ttl: u32,
    whole: bool,
}

struct State {
    service: String,
    named: Vec<Named>,
    garbage: bool,
}

/// The server and what it names. Copies share it.
#[derive(Clone)]
pub struct DnsServer(Arc<Mutex<State>>);

impl Default for DnsServer {
    fn default() -> Self {
        DnsServer::for_service(SERVICE)
    }
}

impl DnsServer {
    /// One that names instances of this service.
    pub fn for_service(service: &str) -> Self {
        let state = State { service: service.to_string(), named: Vec::new(), garbage: false };
        DnsServer(Arc::new(Mutex::new(state)))
    }

    /// Starts it; where it listens.
    pub fn start(&self) -> SocketAddr {
        let (listener, address) = listener();
        let this = self.clone();
        runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                tokio::spawn(async move { this.serve(stream).await });
            }
        });
        address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names an instance with a time to live in seconds; not `whole`: without its TXT record.
    pub fn add_instance(&self, label: &str, port: u16, ttl: u32, whole: bool) {
        self.remove_instance(label);
        self.state().named.push(Named { label: label.to_string(), port, ttl, whole });
    }

    /// Names it no longer.
    pub fn remove_instance(&self, label: &str) {
        self.state().named.retain(|n| n.label != label);
    }

    /// From now on it answers with what is no DNS message.
    pub fn send_garbage(&self) {
        self.state().garbage = true;
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut question = vec![0; usize::from(stream.read_u16().await.ok()?)];
            stream.read_exact(&mut question).await.ok()?;
            let reply = self.answer(&Message::from_vec(&question).ok()?)?;
            let whole = [&(reply.len() as u16).to_be_bytes()[..], &reply].concat();
            stream.write_all(&whole).await.ok()?;
        }
    }

    fn answer(&self, question: &Message) -> Option<Vec<u8>> {
        let state = self.state();
        if state.garbage {
            return Some(vec![7; 5]);
        }
        let service = Name::from_ascii(&state.service).ok()?;
        let mut records = Vec::new();
        let asked = question.queries.first()?;
        // Of thousands, only those that the question can be about.
        let about = asked.name.to_ascii();
        let every = asked.name == service;
        for Named { label, port, ttl, whole } in &state.named {
            if !every && !about.starts_with(label.as_str()) {
                continue;
            }
            let instance = service.prepend_label(label.as_str()).ok()?;
            let host = Name::from_ascii(format!("{label}.test.")).ok()?;
            let mut add = |name: &Name, data| records.push(Record::from_rdata(name.clone(), *ttl, data));
            add(&service, RData::PTR(PTR(instance.clone())));
            add(&instance, RData::SRV(SRV::new(0, 0, *port, host.clone())));
            add(&host, RData::A(A::new(127, 0, 0, 1)));
            if *whole {
                add(&instance, RData::TXT(TXT::new(["cell=1", "zone=a"].map(str::to_string).to_vec())));
            }
        }
        let mut reply = Message::response(question.metadata.id, OpCode::Query);
        reply.add_query(asked.clone());
        if records.iter().all(|r| r.name != asked.name) {
            reply.metadata.response_code = ResponseCode::NXDomain;
        }
        let fits = |r: &Record| r.name == asked.name && r.record_type() == asked.query_type;
        reply.add_answers(records.into_iter().filter(fits));
        reply.to_vec().ok()
    }
}
