//! Discovery over HTTP/1.1: the whole list, and watches for changes.

use crate::http;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub group: u64,
    pub zone: String,
    pub lifecycle: &'static str,
    /// `read-write` or `read-only`, where the list shows roles.
    pub mode: Option<&'static str>,
}

impl Entry {
    fn json(&self) -> String {
        let mode = self.mode.map_or(String::new(), |mode| format!(",\"mode\":\"{mode}\""));
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m2\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0{mode}}}",
            self.id, self.address, self.zone, self.group, self.lifecycle
        )
    }
}

/// A list in discovery's form.
pub fn list_json(generation: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[{}]}}", entries.join(","))
}

/// The version that the list of a start has.
const FIRST: u64 = 41;

struct State {
    entries: Vec<Entry>,
    /// Each change, with the version that it made.
    changes: Vec<(u64, Entry)>,
    generation: u64,
}

/// The service.
#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Starts the service with this list.
pub fn start(entries: Vec<Entry>) -> Service {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let state = State { entries, changes: Vec::new(), generation: FIRST };
    let service = Service { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
    let this = service.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let this = this.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Ok((head, _)) = http::read_message(&mut stream) {
                    let body = this.answer(head.split(' ').nth(1).unwrap_or(""));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    service
}

impl Service {
    /// Changes an entry.
    pub fn change(&self, entry: Entry) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        state.entries.retain(|e| e.id != entry.id);
        if entry.lifecycle != "left" {
            state.entries.push(entry.clone());
        }
        state.changes.push((generation, entry));
        changed.notify_all();
    }

    fn answer(&self, target: &str) -> String {
        let field = |name: &str| {
            let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
            found.and_then(|value| value.parse::<u64>().ok())
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(after) = field("after=") else {
            return list_json(state.generation, true, &state.entries);
        };
        let until = Instant::now() + Duration::from_millis(field("wait_ms=").unwrap_or(0));
        while state.generation <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let changes: Vec<Entry> =
            state.changes.iter().filter(|(made, _)| *made > after).map(|(_, entry)| entry.clone()).collect();
        list_json(state.generation, false, &changes)
    }
}
