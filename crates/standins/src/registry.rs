//! Discovery by the platform's protocol: the whole list, and watches that wait for a change.

use crate::{listener, runtime};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Version, whole list, latest change.
type List = (u64, Value, Value);

/// Discovery and what it lists. Copies share it.
#[derive(Clone)]
pub struct Registry {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<u64>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry { list: Arc::new(Mutex::new((1, json!([]), json!([])))), changed: watch::channel(1).0 }
    }
}

/// An entry of the list.
pub fn entry(index: usize, address: SocketAddr) -> Value {
    json!({"instanceId": format!("s-{index:08x}"), "hostPort": address.to_string(), "zone": "a", "cell": 1,
        "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
}

impl Registry {
    /// Starts it with a whole list; where it listens.
    pub fn start(&self, whole: Value) -> SocketAddr {
        let (listener, address) = listener();
        self.with(|list| list.1 = whole);
        let this = self.clone();
        runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while this.serve(&mut stream).await.is_some() {}
                });
            }
        });
        address
    }

    fn with<R>(&self, f: impl FnOnce(&mut List) -> R) -> R {
        f(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The whole list as it stands.
    pub fn whole(&self) -> Value {
        self.with(|list| list.1.clone())
    }

    async fn serve(&self, stream: &mut BufReader<TcpStream>) -> Option<()> {
        let (mut first, mut line) = (String::new(), String::new());
        stream.read_line(&mut first).await.ok().filter(|n| *n > 0)?;
        while line != "\r\n" {
            line.clear();
            stream.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
        }
        let field = |name: &str| first.split(name).nth(1)?.split(['&', ' ']).next()?.parse::<u64>().ok();
        let (after, wait) = (field("after="), field("wait_ms=").unwrap_or(20_000).min(60_000));
        if let Some(after) = after {
            let mut changes = self.changed.subscribe();
            let newer = changes.wait_for(|version| *version > after);
            let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
        }
        let (version, whole, change) = self.with(|list| list.clone());
        let entries = match after {
            None => whole,
            Some(after) if version > after => change,
            Some(_) => json!([]),
        };
        let body = json!({"generation": version, "reset": after.is_none(), "instances": entries}).to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await.ok()
    }

    /// One entry's lifecycle changes; watches are told.
    pub fn change(&self, index: usize, lifecycle: &str) {
        let version = self.with(|list| {
            let mut entry = list.1[index].clone();
            entry["lifecycle"] = lifecycle.into();
            (list.0, list.2) = (list.0 + 1, json!([entry]));
            list.0
        });
        self.changed.send_replace(version);
    }
}
