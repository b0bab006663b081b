//! A DNS server over TCP that announces members as DNS-SD service instances (RFC 6763).

use crate::{listener, runtime};
use hickory_proto::op::{Message, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The service whose instances the members are.
pub const SERVICE: &str = "_postgresql._tcp.members.test.";

struct Instance {
    label: String,
    port: u16,
    ttl: u32,
    with_txt: bool,
}

struct State {
    service: String,
    instances: Vec<Instance>,
    garbage: bool,
}

/// The server and its instances. Clones share them.
#[derive(Clone)]
pub struct DnsServer(Arc<Mutex<State>>);

impl Default for DnsServer {
    fn default() -> Self {
        DnsServer::for_service(SERVICE)
    }
}

impl DnsServer {
    /// A server for instances of this service.
    pub fn for_service(service: &str) -> Self {
        let state = State { service: service.to_string(), instances: Vec::new(), garbage: false };
        DnsServer(Arc::new(Mutex::new(state)))
    }

    /// Starts the server and returns its address.
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

    /// Announces an instance with a time to live in seconds. Unless `with_txt`, its TXT record is missing.
    pub fn add_instance(&self, label: &str, port: u16, ttl: u32, with_txt: bool) {
        self.remove_instance(label);
        self.state().instances.push(Instance { label: label.to_string(), port, ttl, with_txt });
    }

    /// Removes an instance.
    pub fn remove_instance(&self, label: &str) {
        self.state().instances.retain(|n| n.label != label);
    }

    /// From now on answers with bytes that are no DNS message.
    pub fn send_garbage(&self) {
        self.state().garbage = true;
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut message = vec![0; usize::from(stream.read_u16().await.ok()?)];
            stream.read_exact(&mut message).await.ok()?;
            let reply = self.answer(&Message::from_vec(&message).ok()?)?;
            let framed = [&(reply.len() as u16).to_be_bytes()[..], &reply].concat();
            stream.write_all(&framed).await.ok()?;
        }
    }

    fn answer(&self, message: &Message) -> Option<Vec<u8>> {
        let state = self.state();
        if state.garbage {
            return Some(vec![7; 5]);
        }
        let service = Name::from_ascii(&state.service).ok()?;
        let mut records = Vec::new();
        let query = message.queries.first()?;
        // With thousands of instances, build records only for those whose label matches the question.
        let query_name = query.name.to_ascii();
        let is_service_query = query.name == service;
        for Instance { label, port, ttl, with_txt } in &state.instances {
            if !is_service_query && !query_name.starts_with(label.as_str()) {
                continue;
            }
            let instance = service.prepend_label(label.as_str()).ok()?;
            let host = Name::from_ascii(format!("{label}.test.")).ok()?;
            let mut add = |name: &Name, data| records.push(Record::from_rdata(name.clone(), *ttl, data));
            add(&service, RData::PTR(PTR(instance.clone())));
            add(&instance, RData::SRV(SRV::new(0, 0, *port, host.clone())));
            add(&host, RData::A(A::new(127, 0, 0, 1)));
            if *with_txt {
                add(&instance, RData::TXT(TXT::new(["cell=1", "zone=a"].map(str::to_string).to_vec())));
            }
        }
        let mut reply = Message::response(message.metadata.id, OpCode::Query);
        reply.add_query(query.clone());
        if records.iter().all(|r| r.name != query.name) {
            reply.metadata.response_code = ResponseCode::NXDomain;
        }
        let fits = |r: &Record| r.name == query.name && r.record_type() == query.query_type;
        reply.add_answers(records.into_iter().filter(fits));
        reply.to_vec().ok()
    }
}
