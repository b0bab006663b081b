//! The router: it takes in what has happened, in order, and then decides what is sent, repeated, refused and asked.
//!
//! The ordinary path is HovercRaft's bounded shortest queue (sections 3.4 and 3.6 of the paper), as each
//! driver can keep it for its own reads: the replica with the fewest of this router's reads outstanding,
//! among those under a fixed bound and recent enough; with none, the read is held.

use super::list_calls::ListCalls;
use super::slow_start::ArrivalRates;
use super::state::*;
use super::tuning::*;
use crate::interface::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Decides for one driver. It holds no clock and does no I/O: hand it what happened, carry out what it says.
#[derive(Default)]
pub struct Router {
    pub(super) set: Settings,
    pub(super) now: Time,
    pub(super) seq: u64,
    pub(crate) members: BTreeMap<MemberId, Seen>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) open: FxHashMap<RequestId, Open>,
    /// In the order of their arrival.
    pub(crate) held: Vec<(u64, RequestId)>,
    /// Kept for its room: what one round goes through.
    pub(super) round: Vec<((bool, u32), u64, RequestId)>,
    pub(super) service: Vec<Service>,
    /// The silence limit of this step.
    pub(super) limit: Time,
    pub(super) signs: Signs,
    pub(super) sessions: Sessions,
    pub(super) wake: Option<Time>,
    pub(super) lists: ListCalls,
    pub(super) arrivals: ArrivalRates,
}

impl Router {
    /// A router that has seen nothing yet.
    ///
    /// # Errors
    /// When the settings cannot be acted on.
    pub fn new(set: Settings) -> Result<Self, SettingsError> {
        set.check()?;
        Ok(Router {
            service: set.classes.iter().map(Service::guess).collect(),
            limit: SILENCE_MOST,
            set,
            ..Router::default()
        })
    }

    /// Takes in everything that has happened, in order, then sends what can be sent.
    pub fn step(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.absorb(event, out);
        }
        self.limit = self.silence_limit();
        self.watch(out);
        self.dispatch(out);
        self.arm(out);
    }

    /// New settings, for what comes from now on. A number that now is another class's starts with a guess.
    pub(super) fn retune(&mut self, set: &Settings) {
        let same = |n: usize| self.set.classes.get(n) == set.classes.get(n);
        let guess = |(n, c): (usize, &Class)| if same(n) { self.service[n] } else { Service::guess(c) };
        self.service = set.classes.iter().enumerate().map(guess).collect();
        self.set = set.clone();
    }

    pub(super) fn absorb(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.list(*kind, members),
            Event::Request {
                id,
                class,
                group,
                deadline,
                session,
                session_position,
                proven_position,
                repeat,
            } => {
                let Some(kind) = self.set.classes.get(*class) else {
                    return out.push(Action::Fail { id: *id });
                };
                if self.open.contains_key(id) {
                    return;
                }
                let name = session.as_deref().unwrap_or_default();
                let token = match (kind.consistency, self.set.session_marks) {
                    (Consistency::Session, SessionTokenSource::Remembered) => self.sessions.written(name),
                    (Consistency::Session, SessionTokenSource::Carried) => session_position.unwrap_or(0),
                    _ => 0,
                };
                // What the core has proof of holds whoever remembers or carries the session's writes.
                let token = token.max(proven_position.unwrap_or(0));
                self.seq += 1;
                let current = matches!(kind.consistency, Consistency::Write | Consistency::Fresh);
                let span = self.set.rules.fall_span;
                let surge = self.arrivals.arrival(self.now, span, (current, *repeat));
                let open = Open {
                    class: *class,
                    group: *group,
                    session: session.clone(),
                    token,
                    proven: proven_position.is_some(),
                    seq: self.seq,
                    arrived: self.now,
                    deadline: *deadline,
                    repeat: *repeat,
                    surge,
                    most: self.set.max_attempts,
                    ..Open::default()
                };
                self.held.push((open.seq, *id));
                self.open.insert(*id, open);
            }
            Event::Disconnected { id } => self.close(*id, out),
            Event::Settings(set) => self.retune(set),
            Event::Wake { .. } => self.wake = None,
            Event::Probed { member, ok, report } => self.probed(*member, *ok, *report, out),
            Event::Started { id, .. } => drop(self.open.entry(*id).and_modify(|open| open.streaming = true)),
            Event::Ended { id, attempt, outcome, complete, spent, note, report } => {
                self.ended((*id, *attempt as usize), *outcome, (*note, *report), *spent, out);
                if *complete {
                    self.close(*id, out);
                }
            }
        }
    }
}
