//! Discovery by the platform's protocol: the whole list, and watches that wait for a change.

use crate::{listener, runtime};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Version, whole list, latest change.
type List = (u64, Value, Value);

/// What it does with calls.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum Ill {
    /// Answers.
    #[default]
    Well,
    /// 503.
    Overbooked,
    /// Closes at once.
    Reset,
    /// Says nothing.
    Silent,
    /// Half of the answer, then a close.
    Cut,
    /// What is no list.
    Noise,
    /// A whole list of an older version, which names nobody.
    Older,
    /// A list of 5,000 members.
    Many,
    /// Answers watches at once, with nothing.
    Hasty,
}

impl std::str::FromStr for Ill {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "well" => Ill::Well,
            "overbooked" => Ill::Overbooked,
            "reset" => Ill::Reset,
            "silent" => Ill::Silent,
            "cut" => Ill::Cut,
            "noise" => Ill::Noise,
            "older" => Ill::Older,
            "many" => Ill::Many,
            "hasty" => Ill::Hasty,
            _ => return Err(format!("discovery cannot do '{text}'")),
        })
    }
}

/// Calls so far.
#[derive(Clone, Copy, Default, Debug)]
pub struct Calls {
    /// For the whole list.
    pub whole: usize,
    /// For what comes after a version.
    pub watches: usize,
}

/// Discovery and what it lists. Copies share it.
#[derive(Clone)]
pub struct Registry {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<u64>,
    state: Arc<Mutex<(Ill, Calls)>>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            list: Arc::new(Mutex::new((1, json!([]), json!([])))),
            changed: watch::channel(1).0,
            state: Arc::default(),
        }
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

    fn state(&self) -> MutexGuard<'_, (Ill, Calls)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it does with calls from now on; those that wait are done with so when the list changes.
    pub fn does(&self, ill: Ill) {
        self.state().0 = ill;
    }

    /// Calls that have come so far.
    pub fn calls(&self) -> Calls {
        self.state().1
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
        {
            let calls = &mut self.state().1;
            *(if after.is_some() { &mut calls.watches } else { &mut calls.whole }) += 1;
        }
        let ill = || self.state().0;
        if let Some(after) = after.filter(|_| ill() == Ill::Well) {
            let mut changes = self.changed.subscribe();
            let newer = changes.wait_for(|version| *version > after);
            let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
        }
        let (version, whole, change) = self.with(|list| list.clone());
        // Of changes only the latest is kept: who missed more gets the whole list.
        let (reset, entries) = match after {
            Some(after) if version == after => (false, json!([])),
            Some(after) if version == after + 1 => (false, change),
            _ => (true, whole),
        };
        let body = json!({"generation": version, "reset": reset, "instances": entries}).to_string();
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let text = match ill() {
            Ill::Well | Ill::Hasty => answer(&body),
            Ill::Overbooked => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string(),
            Ill::Reset => return None,
            Ill::Silent => std::future::pending().await,
            Ill::Cut => {
                let _ = stream.write_all(&answer(&body).as_bytes()[..60]).await;
                return None;
            }
            Ill::Noise => answer("{\"generation\":\"soon\",\"instances\":7"),
            Ill::Older => answer("{\"generation\":0,\"reset\":true,\"instances\":[]}"),
            Ill::Many => {
                let many: Vec<Value> = (0..5_000).map(|n| json!({"instanceId": n})).collect();
                answer(&json!({"generation": version + 9, "reset": true, "instances": many}).to_string())
            }
        };
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
