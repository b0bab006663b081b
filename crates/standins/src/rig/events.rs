//! The one event log of a run: clients, members, discovery and whoever deals out faults write into it, each what it has
//! itself seen or done. It can be written out and read back, a JSON object a line, so that a run can be judged again.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds since the log began.
pub type Micros = u64;

/// Most events of one run: enough for 200 proxies over some minutes; what comes beyond that is counted, and a run with
/// such a loss is not judged.
const MOST: usize = 8_000_000;

/// How a client's request ended, as the client was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEnd {
    /// A value.
    Served,
    /// Refused; trying again is harmless.
    Refused,
    /// Failed, with no word on its effect.
    Failed,
    /// The connection ended without an answer.
    Broken,
    /// The client's time was over and more.
    Silent,
}

/// What data a read must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadGuarantee {
    /// Any.
    Any,
    /// What its session has written.
    Session,
    /// What its session has written at the same process.
    SessionAtProcess,
    /// All that was committed so many us before it was asked.
    Within(Micros),
}

/// Which members discard repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of the zone in which it ran first.
    Zone,
    /// Those of its group.
    Cell,
}

/// What running a request once more may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Harm: it may run once at most.
    Unsafe,
    /// Nothing, while members remember its key.
    Keyed {
        /// Which members do.
        scope: KeyScope,
        /// For how long since the first attempt that may have run.
        window: Micros,
    },
}

impl Effect {
    /// Whether a client may be told to try again although an attempt may have run.
    pub fn may_be_refused_after_a_run(self) -> bool {
        matches!(self, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. })
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// A client asks a proxy for the first time, or again under a new id.
    Asked {
        /// The request's id.
        id: u64,
        /// Whom.
        proxy: u32,
        /// The key.
        key: String,
        /// Number of the value that a write brings; none: a read.
        writes: Option<u64>,
        /// What a read must show.
        shows: ReadGuarantee,
        /// What a repeat may do; none, as in logs of earlier builds: only runs of writes are judged.
        #[serde(default)]
        effect: Option<Effect>,
        /// An answer is good within this.
        aim: Micros,
        /// How long the client waits.
        wait: Micros,
    },
    /// The last byte of the request has been written, to a connection that the proxy's machine has accepted.
    Sent {
        /// The request's id.
        id: u64,
        /// Nothing was answered on that connection before: a close is no answer there, whoever has read what.
        #[serde(default)]
        first: bool,
    },
    /// Its client has closed the connection and waits for nothing any more.
    Left {
        /// The request's id.
        id: u64,
    },
    /// A bad client has begun something that it does not end: it is owed an error or a close.
    Begun {
        /// The client's number, like a request's id.
        id: u64,
        /// At which proxy.
        proxy: u32,
    },
    /// It has got that.
    Closed {
        /// The client's number.
        id: u64,
    },
    /// It is told, with the number of the value that it got.
    Ended {
        /// The request's id.
        id: u64,
        /// How.
        how: RequestEnd,
        /// The value's number; 0: the key was unknown.
        value: u64,
    },
    /// A statement reached a member.
    Given {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
    },
    /// How long the statement that was given says that its proxy waits.
    Allowed {
        /// The request's id.
        id: u64,
        /// So long.
        wait: Micros,
    },
    /// A member has run a write, as its group's next commit.
    Ran {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
        /// The key.
        key: String,
        /// The value's number.
        value: u64,
    },
    /// A member has run a read.
    ReadRan {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
    },
    /// A member has turned a statement away before it ran, and is about to say so.
    TurnedAway {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
    },
    /// A new connection at a member.
    Opened {
        /// The member.
        member: u32,
    },
    /// A member was asked for its report.
    Probed {
        /// The member.
        member: u32,
    },
    /// A member starts with this share of its capacity, in parts of 1,000, and is warm after a span.
    Cold {
        /// The member.
        member: u32,
        /// Share of capacity at the start.
        share: u64,
        /// When it is warm.
        warm: Micros,
        /// Statements a second when warm.
        rate: u64,
    },
    /// A call reached discovery.
    Called {
        /// Whose.
        proxy: u32,
        /// For the whole list.
        whole: bool,
    },
    /// Discovery could not answer a call.
    Unanswered {
        /// Whose.
        proxy: u32,
    },
    /// Discovery has told a proxy that this member is draining, or that it serves again.
    Drains {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// Draining, or serving.
        on: bool,
    },
    /// A proxy has said yes to leaving a member out, or to using it again.
    Hand {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// Out, or back.
        out: bool,
    },
    /// A proxy has been told to end, and is killed later; clients go on using what they have open there.
    Ending {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy's process is started.
    Exec {
        /// The proxy.
        proxy: u32,
    },
    /// It says that it serves.
    Serves {
        /// The proxy.
        proxy: u32,
    },
    /// It was killed, told to end, or stopped for a while: what it held may get no answer, or a late one.
    Down {
        /// The proxy.
        proxy: u32,
        /// Stopped: the same process goes on later.
        stopped: bool,
    },
    /// The whole machine stood still for so long up to now, or was too busy to let the rig run.
    Stall {
        /// How long.
        us: Micros,
    },
    /// In all so long since shortly before now a process was ready to run, and the machine did not let it.
    Delayed {
        /// The proxy; none: a thread of the rig.
        proxy: Option<u32>,
        /// How long.
        us: Micros,
    },
    /// From now on the link between a proxy and a member may hold back what is sent on it, or no longer does.
    Link {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// It passes all on at once.
        well: bool,
    },
    /// A process says by which versions it acts from a moment on; none: by nothing that is agreed on.
    Acts {
        /// The proxy.
        proxy: u32,
        /// Of what.
        kind: String,
        /// The versions: by a decision all of them are kept.
        versions: Vec<String>,
        /// From when on.
        since: Micros,
    },
    /// A process says until when it may act by them.
    Leased {
        /// The proxy.
        proxy: u32,
        /// Said then.
        from: Micros,
        /// Until then.
        until: Micros,
    },
    /// What it kept is lost.
    Wiped {
        /// The proxy.
        proxy: u32,
    },
    /// A stopped one goes on.
    Resumed {
        /// The proxy.
        proxy: u32,
    },
    /// A fault, in the scenario's words.
    Fault(String),
}

/// Something that happened, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Since the log began.
    pub at: Micros,
    /// What.
    pub what: EventKind,
}

/// Between two looks at whether the machine keeps up, and how late one may be.
const TICK: Duration = Duration::from_millis(10);
const STALL: Micros = 20_000;

/// Watches the machine until it is dropped.
pub struct StallWatch(Arc<AtomicBool>);

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct Inner {
    events: Vec<Event>,
    lost: u64,
}

/// The log. Copies write into the same one.
#[derive(Clone)]
pub struct EventLog {
    began: Instant,
    /// The same moment in Unix time, in us: processes tell times by that.
    unix: u64,
    inner: Arc<Mutex<Inner>>,
}

impl std::fmt::Debug for EventLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a log since {}", self.unix)
    }
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog { began: Instant::now(), unix: crate::now_us(), inner: Arc::default() }
    }
}

impl EventLog {
    /// Microseconds since it began.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Writes down what happens now; when that was.
    pub fn record(&self, what: EventKind) -> Micros {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        // Taken under the lock: the log is in the order of its times.
        let at = self.now();
        if inner.events.len() < MOST {
            inner.events.push(Event { at, what });
        } else {
            inner.lost += 1;
        }
        at
    }

    /// A moment that a process tells, in us of Unix time, on this log's clock.
    pub fn from_unix(&self, unix: u64) -> Micros {
        unix.saturating_sub(self.unix)
    }

    /// Takes in a line of a process's log, where it tells by which rules it acts.
    pub fn record_rules_line(&self, proxy: u32, line: &str) {
        let Some((_, told)) = line.split_once(" rules] ") else { return };
        let number = |name: &str| {
            told.split(' ').find_map(|word| word.strip_prefix(name)).and_then(|n| n.parse::<u64>().ok())
        };
        let Some(us) = number("us=") else { return };
        if let Some(until) = number("until=") {
            self.record(EventKind::Leased { proxy, from: self.from_unix(us), until: self.from_unix(until) });
            return;
        }
        let Some(kind) =
            told.split(' ').next().filter(|_| told.contains("version") || told.contains("nothing"))
        else {
            return;
        };
        // `version 3 (hash)` or `between version 3 (hash) and 4 (hash)`: hashes tell versions apart.
        let versions = told.split(['(', ')']).skip(1).step_by(2).map(str::to_string).collect();
        self.record(EventKind::Acts { proxy, kind: kind.to_string(), versions, since: self.from_unix(us) });
    }

    /// How many proxies say that they act by this version of a kind alone.
    pub fn proxies_acting_alone_by(&self, kind: &str, version: &str) -> usize {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = HashMap::new();
        for event in &inner.events {
            match &event.what {
                EventKind::Acts { proxy, kind: of, versions, .. } if of == kind => {
                    last.insert(*proxy, versions);
                }
                EventKind::Exec { proxy } => drop(last.remove(proxy)),
                _ => {}
            }
        }
        last.into_values().filter(|versions| versions[..] == [version]).count()
    }

    /// Watches from now on how the machine keeps up, until it is dropped.
    pub fn watch_stalls(&self) -> StallWatch {
        let (log, stop) = (self.clone(), Arc::new(AtomicBool::new(false)));
        let ends = stop.clone();
        std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let began = Instant::now();
                std::thread::sleep(TICK);
                let us = began.elapsed().saturating_sub(TICK).as_micros() as Micros;
                if us > STALL {
                    log.record(EventKind::Stall { us });
                }
            }
        });
        StallWatch(stop)
    }

    /// All so far, and how many found no room.
    pub fn events(&self) -> (Vec<Event>, u64) {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        (inner.events.clone(), inner.lost)
    }
}

/// Writes events out.
///
/// # Errors
/// When they cannot be written.
pub fn write_events(events: &[Event], mut to: impl Write) -> io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut to, event)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads them back.
///
/// # Errors
/// With the number of the line that cannot be read.
pub fn read_events(from: impl BufRead) -> Result<Vec<Event>, String> {
    let line = |(n, line): (usize, io::Result<String>)| {
        let text = line.map_err(|e| format!("line {}: {e}", n + 1))?;
        serde_json::from_str(&text).map_err(|e| format!("line {}: {e}", n + 1))
    };
    from.lines().enumerate().map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_noted_is_in_order_and_comes_back_from_a_file() {
        let log = EventLog::default();
        log.record(EventKind::Exec { proxy: 1 });
        log.clone().record(EventKind::Ended { id: 7, how: RequestEnd::Refused, value: 0 });
        let (events, lost) = log.events();
        assert_eq!((events.len(), lost), (2, 0));
        assert!(events[0].at <= events[1].at);
        let mut text = Vec::new();
        write_events(&events, &mut text).expect("memory");
        assert_eq!(read_events(&text[..]), Ok(events));
        let cut = &text[..text.len() - 5];
        assert!(read_events(cut).expect_err("cut off").starts_with("line 2: "));
    }

    #[test]
    fn a_log_of_an_earlier_build_that_tells_no_effect_of_repeats_can_be_read() {
        let text = r#"{"at":1,"what":{"Asked":{"id":7,"proxy":1,"key":"k","writes":null,"shows":"Any","aim":2,"wait":3}}}"#;
        let (shows, effect) = (ReadGuarantee::Any, None);
        let what = EventKind::Asked {
            id: 7,
            proxy: 1,
            key: "k".into(),
            writes: None,
            shows,
            effect,
            aim: 2,
            wait: 3,
        };
        assert_eq!(read_events(text.as_bytes()), Ok(vec![Event { at: 1, what }]));
    }
}
