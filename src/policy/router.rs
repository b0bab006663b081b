//! The router: applies events in order, then decides what to send, repeat, refuse and probe.
//!
//! The ordinary path is the bounded shortest queue of HovercRaft (sections 3.4 and 3.6 of the paper), as each
//! driver can keep it for its own reads: a read goes to the replica with the fewest reads of this router in
//! flight, among those that are below a fixed limit and recent enough. If there is none, the read is held.

use super::dispatch::{DispatchGroups, DispatchRank};
use super::list_calls::ListCalls;
use super::slow_start::CompletedLoad;
use super::state::*;
use super::tuning::*;
use crate::interface::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Makes the decisions for one driver. It has no clock and does no I/O: the driver passes in events and
/// carries out the actions.
#[derive(Default)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) now: Time,
    pub(super) seq: u64,
    pub(crate) members: FxHashMap<MemberId, MemberState>,
    /// The members with attempts in flight or recently unanswered ones. Only these change with time alone.
    pub(super) busy: BTreeSet<MemberId>,
    /// The removed members that are kept until their attempts have ended.
    pub(super) departing: BTreeSet<MemberId>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) open: FxHashMap<RequestId, OpenRequest>,
    /// Held requests, in order of arrival.
    pub(crate) held: Vec<(u64, RequestId)>,
    /// Scratch buffer for the requests of one dispatch, kept for its capacity.
    pub(super) dispatch_order: Vec<(DispatchRank, RequestId)>,
    /// Scratch table of one dispatch, kept for its capacity.
    pub(super) dispatch_groups: DispatchGroups,
    pub(super) service_times: Vec<ServiceTime>,
    /// The silence limit of the current step.
    pub(super) silence_limit: Time,
    pub(super) stats: FleetStats,
    pub(super) sessions: Sessions,
    pub(super) next_wake: Option<Time>,
    pub(super) list_calls: ListCalls,
    pub(super) completed_load: CompletedLoad,
}

impl Router {
    /// Creates a router without any state.
    ///
    /// # Errors
    /// If the settings are unusable.
    pub fn new(settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Router {
            service_times: vec![ServiceTime::default(); settings.classes.len()],
            silence_limit: SILENCE_MAX,
            settings,
            ..Router::default()
        })
    }

    /// Applies the events in order, then sends what can be sent.
    pub fn step(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.apply_event(event, out);
        }
        self.silence_limit = self.silence_limit();
        self.check_members(out);
        self.dispatch(out);
        self.schedule_wake(out);
    }

    /// Applies new settings to what arrives from now on. A class index that now stands for another class
    /// starts with an unknown service time.
    pub(super) fn apply_settings(&mut self, settings: &Settings) {
        let same = |n: usize| self.settings.classes.get(n) == settings.classes.get(n);
        let service_time = |n| if same(n) { self.service_times[n] } else { ServiceTime::default() };
        self.service_times = (0..settings.classes.len()).map(service_time).collect();
        self.settings = settings.clone();
    }

    pub(super) fn apply_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.apply_list(*kind, members),
            Event::Request {
                id,
                class,
                group,
                deadline,
                session,
                session_position,
                proven_position,
                repeat: _,
                has_idempotency_key,
            } => {
                let Some(class_settings) = self.settings.classes.get(*class) else {
                    return out.push(Action::Fail { id: *id });
                };
                if self.open.contains_key(id) {
                    return;
                }
                let session_id = session.as_deref().unwrap_or_default();
                let min_position = match (class_settings.consistency, self.settings.session_marks) {
                    (Consistency::Session, SessionTokenSource::Remembered) => {
                        self.sessions.required_position(session_id)
                    }
                    (Consistency::Session, SessionTokenSource::Carried) => session_position.unwrap_or(0),
                    _ => 0,
                };
                // `proven_position` applies whether the router or the client keeps track of the session's
                // writes.
                let min_position = min_position.max(proven_position.unwrap_or(0));
                self.seq += 1;
                self.grant_token_on_arrival(*group, *class);
                let open = OpenRequest {
                    class: *class,
                    group: *group,
                    session: session.clone(),
                    min_position,
                    needs_proof: proven_position.is_some(),
                    seq: self.seq,
                    arrived: self.now,
                    deadline: *deadline,
                    has_idempotency_key: *has_idempotency_key,
                    max_attempts: self.settings.max_attempts,
                    ..OpenRequest::default()
                };
                self.held.push((open.seq, *id));
                self.open.insert(*id, open);
            }
            Event::Disconnected { id } => self.finish(*id, out),
            Event::Settings(settings) => self.apply_settings(settings),
            Event::Wake { .. } => self.next_wake = None,
            Event::Probed { member, ok, report } => self.probe_ended(*member, *ok, *report, out),
            Event::Started { id, .. } => drop(self.open.entry(*id).and_modify(|open| open.streaming = true)),
            Event::Ended { id, attempt, outcome, complete, spent, note, report } => {
                self.attempt_ended((*id, *attempt as usize), *outcome, (*note, *report), *spent, out);
                if *complete {
                    self.finish(*id, out);
                }
            }
        }
    }
}
