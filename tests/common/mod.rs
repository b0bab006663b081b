//! Drives a single [`Router`] step by step, for tests of the routing module without I/O.
#![allow(dead_code, missing_docs)]

use linentrail::*;
use std::collections::HashMap;

pub const MS: Time = 1_000;
pub const ANY: usize = 0;
pub const BOUNDED: usize = 1;
pub const SESSION: usize = 2;
pub const KEYED: usize = 3;
pub const UNSAFE: usize = 4;

pub fn settings() -> Settings {
    let read = |consistency| Class {
        consistency,
        effect: Effect::Safe,
        aim: 200 * MS,
        deadline: 800 * MS,
        importance: 1.0,
        late_value: 0.0,
    };
    let write = |effect| Class { effect, deadline: 4_000 * MS, late_value: 0.3, ..read(Consistency::Write) };
    Settings {
        seed: 11,
        instances: 2,
        zone: 0,
        marks_retries: true,
        classes: vec![
            read(Consistency::Any),
            read(Consistency::Bounded(500 * MS)),
            read(Consistency::Session),
            write(Effect::Keyed { group: DedupScope::Group, window: 2_000 * MS }),
            write(Effect::Unsafe),
        ],
        period: MS,
        subscribe: false,
        list_role: ListedRole::AtStart,
        when_behind: WhenBehind::Answers,
        session_marks: SessionTokenSource::Carried,
        cancelling: true,
        probing: true,
        retry_after: true,
        max_retry_after: 1_000 * MS,
        max_attempts: 6,
        rules: Rules {
            cold_share: 0.2,
            warm_after: 10_000 * MS,
            fall_multiple: 2.0,
            fall_window: 1_000 * MS,
            drain_grace: 500 * MS,
            removal_not_binding: false,
        },
    }
}

pub fn member(id: u32, primary: bool) -> Member {
    Member {
        id: MemberId(id),
        zone: 0,
        group: 9,
        service_state: ServiceState::Active,
        primary,
        up_since: None,
    }
}

pub struct RouterDriver {
    pub router: Router,
    pub now: Time,
    next: u64,
    /// When the attempts were sent, by request.
    sent: HashMap<RequestId, Vec<Time>>,
}

impl RouterDriver {
    /// Creates a router that knows a primary (1) and two replicas (2, 3), only from a member list. The list
    /// was received 4 s ago, so first connections to the members are no longer spread over time.
    pub fn new(settings: Settings) -> Self {
        let mut driver = RouterDriver::without_members(settings);
        driver.list(ListKind::Disk, vec![member(1, true), member(2, false), member(3, false)]);
        driver.now += 4_000 * MS;
        driver
    }

    /// Creates a router that knows no members.
    pub fn without_members(settings: Settings) -> Self {
        let router = Router::new(settings).expect("settings");
        RouterDriver { router, now: 100_000 * MS, next: 0, sent: HashMap::new() }
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.step(self.now, events, &mut out);
        for (id, _) in sent(&out) {
            self.sent.entry(id).or_default().push(self.now);
        }
        out
    }

    pub fn advance(&mut self, duration: Time) -> Vec<Action> {
        self.now += duration;
        self.step(&[Event::Wake { tag: 0 }])
    }

    pub fn list(&mut self, kind: ListKind, members: Vec<Member>) -> Vec<Action> {
        self.step(&[Event::List { kind, members }])
    }

    pub fn request(&mut self, class: usize, token_age: Option<Time>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        // A token age of 0 means that the session has never written.
        let session_position = token_age.filter(|age| *age > 0).map(|age| self.now.saturating_sub(age));
        let event = Event::Request {
            id,
            class,
            group: 9,
            deadline: self.now + settings().classes[class].deadline,
            session: Some("s".into()),
            session_position,
            proven_position: None,
            repeat: false,
            has_idempotency_key: true,
        };
        (id, self.step(&[event]))
    }

    pub fn ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        note: Option<Note>,
    ) -> Vec<Action> {
        let complete = outcome == Outcome::Completed;
        let sent_at = self.sent.get(&id).and_then(|sent| sent.get(attempt as usize));
        let spent = sent_at.map_or(0, |at| self.now - at).max(MS);
        self.step(&[Event::Ended { id, attempt, outcome, complete, spent, note, report: None }])
    }

    /// A probe of `member` succeeds and reports this role and a position 1 ms after `position`.
    pub fn probe_answer(&mut self, member: u32, position: Time, role: Role) -> Vec<Action> {
        let report =
            Report { position: Some(position + MS), primary: Some(role == Role::Primary), busy: None };
        self.step(&[Event::Probed { member: MemberId(member), ok: true, report: Some(report) }])
    }
}

pub fn note(position: Time, role: Role) -> Option<Note> {
    Some(Note { position: Some(position), role: Some(role) })
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, u32)> {
    let extract = |a: &Action| match a {
        Action::Send { id, member, .. } => Some((*id, member.0)),
        _ => None,
    };
    actions.iter().filter_map(extract).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { id })
}

pub fn probes(actions: &[Action]) -> Vec<u32> {
    let extract = |a: &Action| match a {
        Action::Probe { member } => Some(member.0),
        _ => None,
    };
    actions.iter().filter_map(extract).collect()
}
