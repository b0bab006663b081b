//! The event log of a run. Clients, members, discovery and the fault injection all record in it what they
//! themselves saw or did. The log is written and read as JSON lines, so that the checker can judge a recorded
//! run again.

use super::background::BackgroundThread;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds since the start of the log.
pub type Micros = u64;

/// Maximum number of events in one run: enough for 200 proxies over some minutes. Further events are only
/// counted, and a run that lost events fails the `Log` rule.
const EVENTS_MAX: usize = 8_000_000;

/// How a request ended, as seen by its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEnd {
    /// Answered with a value.
    Served,
    /// Refused; a retry is harmless.
    Refused,
    /// Failed; the request may have had its effect.
    Failed,
    /// The connection ended without an answer.
    Broken,
    /// No answer came until well after the client's deadline.
    Silent,
}

/// How recent the data must be that a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadGuarantee {
    /// Any committed data.
    Any,
    /// All acknowledged writes of its session.
    Session,
    /// All writes of its session that the same proxy process acknowledged.
    SessionAtProcess,
    /// All commits that are older than this when the read is sent.
    Within(Micros),
}

/// Which members discard duplicates of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyScope {
    /// All members.
    All,
    /// The members of the zone in which the request ran first.
    Zone,
    /// The members of its group.
    Cell,
}

/// The effect of running a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Harmless.
    Safe,
    /// Harmful: the request may run at most once.
    Unsafe,
    /// Harmless while members remember its key.
    Keyed {
        /// Which members remember the key.
        scope: KeyScope,
        /// How long they remember the key after the first attempt that may have run.
        window: Micros,
    },
}

impl Effect {
    /// Whether a request may be refused, which invites a retry, although an attempt of it may have run.
    pub fn may_be_refused_after_a_run(self) -> bool {
        matches!(self, Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. })
    }
}

/// The kinds of events with their data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// A client sends a request to a proxy. A retry has a new id.
    Asked {
        /// The request's id.
        id: u64,
        /// The proxy that is asked.
        proxy: u32,
        /// The key.
        key: String,
        /// The number of the value to write; `None` for a read.
        writes: Option<u64>,
        /// How recent the data of a read must be.
        shows: ReadGuarantee,
        /// The effect of a repeat. `None` in logs that lack this field: only the runs of writes are judged
        /// then.
        #[serde(default)]
        effect: Option<Effect>,
        /// Target latency: a later answer does not count as good.
        aim: Micros,
        /// How long the client waits for the answer.
        wait: Micros,
    },
    /// The last byte of the request has been written to a connection that the kernel of the proxy's machine
    /// has accepted.
    Sent {
        /// The request's id.
        id: u64,
        /// It is the first request of its connection. A close then never counts as an answer, even if the
        /// proxy has read nothing.
        #[serde(default)]
        first: bool,
    },
    /// The client of the request has closed its connection and expects no answer.
    Left {
        /// The request's id.
        id: u64,
    },
    /// A bad client has started a message or handshake that it does not complete. The proxy must answer with
    /// an error or close the connection.
    Begun {
        /// The client's number, from the same range as request ids.
        id: u64,
        /// The proxy it is connected to.
        proxy: u32,
    },
    /// A bad client has received its error or close.
    Closed {
        /// The client's number.
        id: u64,
    },
    /// A client has the outcome of its request.
    Ended {
        /// The request's id.
        id: u64,
        /// How it ended.
        how: RequestEnd,
        /// The number of the value in the answer; 0 when the key was unknown.
        value: u64,
    },
    /// A member has received the statement of a request.
    Given {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
    },
    /// The time limit that is written in a received statement.
    Allowed {
        /// The request's id.
        id: u64,
        /// How long the proxy waits for the member.
        wait: Micros,
    },
    /// A member has run a write, which is the next commit of its group.
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
    /// A member has refused a statement without running it and is about to send the refusal.
    TurnedAway {
        /// The member.
        member: u32,
        /// The request's id.
        id: u64,
    },
    /// A new connection was opened to a member.
    Opened {
        /// The member.
        member: u32,
    },
    /// A member was probed for its status report.
    Probed {
        /// The member.
        member: u32,
    },
    /// A member has started cold, with only a part of its capacity.
    Cold {
        /// The member.
        member: u32,
        /// Share of its capacity at the start, in parts of 1,000.
        share: u64,
        /// How long until it is warm.
        warm: Micros,
        /// Statements per second when warm.
        rate: u64,
    },
    /// Discovery has received a call.
    Called {
        /// The proxy that calls.
        proxy: u32,
        /// The call asks for the whole list.
        whole: bool,
    },
    /// Discovery could not answer a call.
    Unanswered {
        /// The proxy that called.
        proxy: u32,
    },
    /// Discovery has reported to a proxy that a member is draining, or that it serves again.
    Drains {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// `true`: draining; `false`: serving.
        on: bool,
    },
    /// A proxy has accepted an operator's call to suspend or restore a member.
    Hand {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// `true`: suspended; `false`: restored.
        out: bool,
    },
    /// A proxy has received SIGTERM and will be killed later. Clients go on using the connections they have
    /// open to it.
    Ending {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy process was started.
    Exec {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy has reported that it serves clients.
    Serves {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy was killed, terminated, or stopped for a while. Its open requests may get a late answer or
    /// none.
    Down {
        /// The proxy.
        proxy: u32,
        /// Stopped by SIGSTOP: the same process continues later.
        stopped: bool,
    },
    /// The whole machine stalled until now, or was too busy to let the rig run.
    Stall {
        /// For how long.
        us: Micros,
    },
    /// Since the last check, a process has been ready to run for some time without being scheduled.
    Delayed {
        /// The proxy; `None` for a thread of the rig.
        proxy: Option<u32>,
        /// For how long in total.
        us: Micros,
    },
    /// The link between a proxy and a member starts or stops holding back what is sent on it.
    Link {
        /// The proxy.
        proxy: u32,
        /// The member.
        member: u32,
        /// `true`: the link forwards everything at once.
        well: bool,
    },
    /// A process has reported which versions of an agreed document it applies, and since when.
    Acts {
        /// The proxy.
        proxy: u32,
        /// The kind of document.
        kind: String,
        /// The versions. With several, each decision satisfies all of them; with none, nothing agreed is
        /// applied.
        versions: Vec<String>,
        /// The start of this state.
        since: Micros,
    },
    /// A process has reported its lease, which is how long it may apply the agreed documents.
    Leased {
        /// The proxy.
        proxy: u32,
        /// When the lease was reported.
        from: Micros,
        /// When the lease ends.
        until: Micros,
    },
    /// The store of a proxy was deleted.
    Wiped {
        /// The proxy.
        proxy: u32,
    },
    /// A stopped proxy continues.
    Resumed {
        /// The proxy.
        proxy: u32,
    },
    /// A step of the scenario, or the answer of a proxy to a console call, as text.
    Fault(String),
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the log.
    pub at: Micros,
    /// What happened.
    pub what: EventKind,
}

/// Sleep time of the thread that detects stalls of the machine.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A sleep that takes longer than requested by more than this is recorded as a stall.
const STALL_MIN: Micros = 20_000;

#[derive(Default)]
struct EventBuffer {
    events: Vec<Event>,
    lost: u64,
}

/// The event log. Clones share the same events.
#[derive(Clone)]
pub struct EventLog {
    began: Instant,
    /// The same moment as Unix time in us. Processes report times in Unix time.
    unix: u64,
    inner: Arc<Mutex<EventBuffer>>,
}

impl std::fmt::Debug for EventLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "EventLog since {}", self.unix)
    }
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog { began: Instant::now(), unix: crate::now_us(), inner: Arc::default() }
    }
}

impl EventLog {
    /// Microseconds since the start of the log.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Records an event with the current time and returns that time.
    pub fn record(&self, what: EventKind) -> Micros {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that the events are ordered by their times.
        let at = self.now();
        if inner.events.len() < EVENTS_MAX {
            inner.events.push(Event { at, what });
        } else {
            inner.lost += 1;
        }
        at
    }

    /// Converts a Unix time in us, as processes report it, to the clock of this log.
    pub fn log_time(&self, unix: u64) -> Micros {
        unix.saturating_sub(self.unix)
    }

    /// Records a line of a process's log if it reports a lease or the versions that the process applies.
    pub fn record_rules_line(&self, proxy: u32, line: &str) {
        let Some((_, report)) = line.split_once(" rules] ") else { return };
        let number = |name: &str| {
            report.split(' ').find_map(|field| field.strip_prefix(name)).and_then(|n| n.parse::<u64>().ok())
        };
        let Some(us) = number("us=") else { return };
        if let Some(until) = number("until=") {
            self.record(EventKind::Leased { proxy, from: self.log_time(us), until: self.log_time(until) });
            return;
        }
        let Some(kind) =
            report.split(' ').next().filter(|_| report.contains("version") || report.contains("nothing"))
        else {
            return;
        };
        // The line has `version 3 (hash)` or `between version 3 (hash) and 4 (hash)`; the hash identifies a
        // version.
        let versions = report.split(['(', ')']).skip(1).step_by(2).map(str::to_string).collect();
        self.record(EventKind::Acts { proxy, kind: kind.to_string(), versions, since: self.log_time(us) });
    }

    /// The number of proxies that report this version as the only one of its kind that they apply.
    pub fn proxies_applying_only(&self, kind: &str, version: &str) -> usize {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = HashMap::new();
        for event in &inner.events {
            match &event.what {
                EventKind::Acts { proxy, kind: applied_kind, versions, .. } if applied_kind == kind => {
                    last.insert(*proxy, versions);
                }
                EventKind::Exec { proxy } => drop(last.remove(proxy)),
                _ => {}
            }
        }
        last.into_values().filter(|versions| versions[..] == [version]).count()
    }

    /// Starts recording stalls of the machine, until the returned handle is dropped.
    pub fn watch_stalls(&self) -> BackgroundThread {
        let log = self.clone();
        BackgroundThread::start(move |stopped| {
            while !stopped.load(Ordering::Relaxed) {
                let began = Instant::now();
                std::thread::sleep(STALL_CHECK_INTERVAL);
                let us = began.elapsed().saturating_sub(STALL_CHECK_INTERVAL).as_micros() as Micros;
                if us > STALL_MIN {
                    log.record(EventKind::Stall { us });
                }
            }
        })
    }

    /// All events so far, and the number of events that were lost because the log was full.
    pub fn events(&self) -> (Vec<Event>, u64) {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        (inner.events.clone(), inner.lost)
    }
}

/// Writes events as JSON lines.
///
/// # Errors
/// If writing fails.
pub fn write_events(events: &[Event], mut to: impl Write) -> io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut to, event)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// Reads events from JSON lines.
///
/// # Errors
/// Names the number of the line that cannot be read.
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
    fn events_are_ordered_and_survive_a_round_trip_through_json() {
        let log = EventLog::default();
        log.record(EventKind::Exec { proxy: 1 });
        log.clone().record(EventKind::Ended { id: 7, how: RequestEnd::Refused, value: 0 });
        let (events, lost) = log.events();
        assert_eq!((events.len(), lost), (2, 0));
        assert!(events[0].at <= events[1].at);
        let mut text = Vec::new();
        write_events(&events, &mut text).expect("writing to a Vec");
        assert_eq!(read_events(&text[..]), Ok(events));
        let cut = &text[..text.len() - 5];
        assert!(read_events(cut).expect_err("the last line is truncated").starts_with("line 2: "));
    }

    #[test]
    fn a_log_without_the_effect_field_can_be_read() {
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
