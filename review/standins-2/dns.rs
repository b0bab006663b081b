//! A DNS server over TCP that announces members as DNS-SD instances, each answer with the same delay.

use crate::record::{now_ms, Record};
use std::io::{Read, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const SERVICE: &str = "_postgresql._tcp.members.luzon-skip-hub.internal.";
const A: u16 = 1;
const PTR: u16 = 12;
const TXT: u16 = 16;
const SRV: u16 = 33;

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddrV4,
    pub group: u64,
}

struct State {
    instances: Vec<Instance>,
    /// Instances whose records were withdrawn, and when the first answer without them was written, in Unix ms.
    withdrawn: Vec<(String, Option<u64>)>,
}

pub struct Server {
    state: Mutex<State>,
    delay: Duration,
    ttl: u32,
    record: Record,
}

fn name(labels: &str) -> Vec<u8> {
    let mut all = Vec::new();
    for label in labels.split('.').filter(|label| !label.is_empty()) {
        all.push(label.len() as u8);
        all.extend_from_slice(label.as_bytes());
    }
    all.push(0);
    all
}

impl Server {
    pub fn start(
        instances: Vec<Instance>,
        delay: Duration,
        ttl: u32,
        record: &Record,
    ) -> (Arc<Server>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Mutex::new(State { instances, withdrawn: Vec::new() });
        let server = Arc::new(Server { state, delay, ttl, record: record.clone() });
        let this = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        (server, address)
    }

    /// Withdraws the records of an instance.
    pub fn withdraw(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.instances.retain(|instance| instance.id != id);
        state.withdrawn.push((id.to_string(), None));
    }

    /// When the first list of instances without this one was written, in Unix ms.
    pub fn told_at(&self, id: &str) -> Option<u64> {
        self.state.lock().unwrap().withdrawn.iter().find(|(name, _)| name == id)?.1
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let mut length = [0; 2];
            stream.read_exact(&mut length)?;
            let mut query = vec![0; usize::from(u16::from_be_bytes(length))];
            stream.read_exact(&mut query)?;
            std::thread::sleep(self.delay);
            let (answer, lists) = self.answer(&query);
            stream.write_all(&[&(answer.len() as u16).to_be_bytes()[..], &answer].concat())?;
            if lists {
                let mut state = self.state.lock().unwrap();
                for (id, told) in state.withdrawn.iter_mut().filter(|(_, told)| told.is_none()) {
                    *told = Some(now_ms());
                    self.record.line(format!("dns: has answered without {id}"));
                }
            }
        }
    }

    /// The answer, and whether it is the list of instances.
    fn answer(&self, query: &[u8]) -> (Vec<u8>, bool) {
        let mut at = 12;
        let mut labels = Vec::new();
        while let Some(length) = query.get(at).map(|n| usize::from(*n)).filter(|n| *n > 0) {
            labels.push(String::from_utf8_lossy(&query[at + 1..at + 1 + length]).to_ascii_lowercase());
            at += 1 + length;
        }
        let question = &query[12..at + 5];
        let kind = u16::from_be_bytes([query[at + 1], query[at + 2]]);
        let asked = format!("{}.", labels.join("."));
        let state = self.state.lock().unwrap();
        let found = state.instances.iter().find(|instance| Some(&instance.id) == labels.first());
        let mut records = Vec::new();
        // Each record's name is that of the question.
        let mut add = |data: Vec<u8>| {
            records.push(
                [
                    &[0xc0, 12][..],
                    &kind.to_be_bytes(),
                    &[0, 1],
                    &self.ttl.to_be_bytes(),
                    &(data.len() as u16).to_be_bytes(),
                    &data,
                ]
                .concat(),
            );
        };
        let lists = asked == SERVICE && kind == PTR;
        match (kind, found) {
            // The rest of the instance's name is that of the question, too.
            (PTR, _) if lists => state.instances.iter().for_each(|instance| {
                add([&[instance.id.len() as u8][..], instance.id.as_bytes(), &[0xc0, 12]].concat());
            }),
            (SRV, Some(instance)) => {
                let host = name(&format!("{}.hosts.internal.", instance.id));
                add([&[0, 0, 0, 0][..], &instance.address.port().to_be_bytes(), &host].concat());
            }
            (TXT, Some(instance)) => {
                let texts = [
                    format!("id={}", instance.id),
                    format!("cell={}", instance.group),
                    "zone=makati-dc".to_string(),
                ];
                add(texts
                    .iter()
                    .flat_map(|text| [&[text.len() as u8][..], text.as_bytes()].concat())
                    .collect());
            }
            (A, Some(instance)) => add(instance.address.ip().octets().to_vec()),
            _ => {}
        }
        let exists = lists || found.is_some();
        let flags = if exists { [0x84, 0x00] } else { [0x84, 0x03] };
        let mut answer =
            [&query[..2], &flags, &[0, 1], &(records.len() as u16).to_be_bytes(), &[0; 4], question].concat();
        answer.extend(records.concat());
        (answer, lists)
    }
}

/// An address at which nobody listens.
pub fn unused(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 1, (n / 250) as u8, (n % 250 + 1) as u8), 6543)
}
