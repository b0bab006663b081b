//! Tests of the core's actor: facts from another process and from the store, repeats, session reads and bounded
//! reads.

use super::*;
use crate::class_table::{ClassSlots, ClassTable};
use crate::knowledge::{Knowledge, LearnedFacts, MemberFacts};
use crate::net::member_state::SharedMemberState;
use std::net::SocketAddr;

/// Members that do nothing but record their attempts.
#[derive(Default)]
struct RecordingMembers {
    attempts: Vec<Attempt>,
}

impl Members for RecordingMembers {
    fn start_attempt(&mut self, _: MemberId, attempt: Attempt) -> bool {
        self.attempts.push(attempt);
        true
    }
    fn cancel(&mut self, _: MemberId, _: RequestId, _: u32) {}
    fn withdraw(&mut self, _: MemberId, _: RequestId, _: u32) {}
    fn probe(&mut self, _: MemberId) -> bool {
        true
    }
    fn close_idle(&mut self, _: MemberId) {}
    fn update_list(&mut self, _: ListKind, _: &[ListedMember]) {}
    fn set_socket_times(&mut self, _: crate::settings::SocketTimes) {}
    fn subscribe(&mut self) -> bool {
        true
    }
}

fn settings() -> Settings {
    let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
    pairs.settings(1).expect("valid settings")
}

pub(super) fn listed(id: u32, start: Option<Time>) -> ListedMember {
    let (zone, group, service_state) = (0, 1, ServiceState::Active);
    let member = Member { id: MemberId(id), zone, group, service_state, primary: false, up_since: start };
    ListedMember { name: format!("m{id}").into(), address: SocketAddr::from(([127, 0, 0, 1], 9)), member }
}

/// An actor that has received a list of these members.
fn actor(members: Vec<ListedMember>) -> Actor<RecordingMembers> {
    actor_with(settings(), members)
}

/// The same with these settings.
fn actor_with(settings: Settings, members: Vec<ListedMember>) -> Actor<RecordingMembers> {
    let (clock, mailbox, commands) = (Clock::start(), mpsc::channel(1).1, mpsc::channel(1).1);
    let mut actor = Actor::new(settings, RecordingMembers::default(), clock, (mailbox, commands))
        .expect("valid settings");
    let now = actor.clock.now();
    let event =
        actor.handle_input(Input::List(ListKind::Full, members), now).expect("an event for the router");
    actor.step(now, &[event]);
    actor
}

fn in_runtime(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _entered = runtime.enter();
    test();
}

#[test]
fn facts_from_another_process_reach_the_router_once_and_only_if_they_are_new() {
    in_runtime(|| {
        let mut actor = actor(vec![listed(1, None), listed(2, None)]);
        let now = actor.clock.now();
        let facts = |position| MemberFacts { position, primary: Some(false), ..MemberFacts::default() };
        let known_with = |position| LearnedFacts {
            members: [("m1".into(), facts(position))].into(),
            ..LearnedFacts::default()
        };
        let first = actor.learn(&known_with(now - 5_000));
        assert!(matches!(&first[..], [Event::Probed { member: MemberId(1), ok: true, .. }]), "{first:?}");
        actor.step(now, &first);
        // Repeating a fact would only cause a member that is in doubt here to be tried without a new reason.
        assert_eq!(actor.learn(&known_with(now - 5_000)), []);
        assert_eq!(actor.learn(&known_with(now - 6_000)), []);
        assert_eq!(actor.learn(&known_with(now - 1_000)).len(), 1);
        // No list here has named the third member.
        let unknown_member =
            LearnedFacts { members: [("m3".into(), facts(now))].into(), ..LearnedFacts::default() };
        assert_eq!(actor.learn(&unknown_member), []);
    });
}

/// Guards against files of all members, written ten times a second while two processes of a proxy live.
#[test]
fn only_members_that_have_shown_something_are_exported() {
    in_runtime(|| {
        let mut actor = actor((1..=100).map(|id| listed(id, Some(1_000_000))).collect());
        let now = actor.clock.now();
        let facts = MemberFacts { position: now - 5_000, primary: Some(false), ..MemberFacts::default() };
        let learned = LearnedFacts { members: [("m7".into(), facts)].into(), ..LearnedFacts::default() };
        let events = actor.learn(&learned);
        actor.step(now, &events);
        let (reply, mut exported) = oneshot::channel();
        actor.handle_command(CoreCommand::ExportLearned(reply));
        let exported = exported.try_recv().expect("an answer");
        let names: Vec<&str> = exported.members.keys().map(AsRef::as_ref).collect();
        assert_eq!(names, ["m7"]);
    });
}

fn stored_knowledge(members: &[(&str, MemberFacts)]) -> Knowledge {
    let members = members.iter().map(|(name, facts)| ((*name).into(), facts.clone())).collect();
    Knowledge { learned: LearnedFacts { members, ..LearnedFacts::default() }, ..Knowledge::default() }
}

#[test]
fn a_stored_position_counts_only_if_a_new_list_names_the_same_start() {
    in_runtime(|| {
        let start = Some(1_000_000);
        let facts = MemberFacts { start, position: 5_000_000, primary: Some(true), ..MemberFacts::default() };
        for (listed_start, kind, counts) in [
            (start, ListKind::Full, true),
            (start, ListKind::Changes, true),
            (Some(2_000_000), ListKind::Full, false),
            (None, ListKind::Full, false),
            // A list from the configuration at startup may be as old as the stored facts.
            (start, ListKind::Disk, false),
        ] {
            let mut actor = actor(vec![]);
            actor.restore_knowledge(stored_knowledge(&[("m1", facts.clone())]));
            let now = actor.clock.now();
            let event = actor
                .handle_input(Input::List(kind, vec![listed(1, listed_start)]), now)
                .expect("an event for the router");
            actor.step(now, &[event]);
            let follow_up: Vec<Event> = actor.next_events.drain(..).collect();
            actor.step(now, &follow_up);
            let position = actor.router.position(MemberId(1));
            assert_eq!(position, if counts { 5_000_000 } else { 0 }, "{listed_start:?} {kind:?}");
            // A stored role is only a hint for which member a write tries first; it makes no member the primary.
            assert!(actor.router.learned_members().all(|m| m.facts.primary != Some(true)));
        }
    });
}

#[test]
fn a_stored_warm_up_outlasts_lists_without_it() {
    in_runtime(|| {
        let mut actor = actor(vec![]);
        let now = actor.clock.now();
        let began = Some(now - 1_000_000);
        actor.restore_knowledge(stored_knowledge(&[(
            "m1",
            MemberFacts { warm_up_start: began, ..MemberFacts::default() },
        )]));
        for kind in [ListKind::Disk, ListKind::Full, ListKind::Changes] {
            let event = actor
                .handle_input(Input::List(kind, vec![listed(1, None)]), now)
                .expect("an event for the router");
            actor.step(now, &[event]);
            let cold = actor
                .router
                .learned_members()
                .find(|m| m.id == MemberId(1))
                .and_then(|m| m.facts.warm_up_start);
            assert_eq!(cold, began, "{kind:?}");
        }
    });
}

#[test]
fn a_stored_suspension_applies_from_the_first_list_on() {
    in_runtime(|| {
        let mut actor = actor(vec![]);
        let mut all = stored_knowledge(&[]);
        all.suspensions
            .insert("m1".into(), crate::effective_list::Suspension { suspended_at: 1, restored_at: None });
        actor.restore_knowledge(all);
        let now = actor.clock.now();
        let event =
            actor.handle_input(Input::List(ListKind::Disk, vec![listed(1, None), listed(2, None)]), now);
        let Some(Event::List { members, .. }) = event else { panic!("{event:?}") };
        let of = |id| members.iter().find(|m| m.id == MemberId(id)).map(|m| m.service_state);
        assert_eq!((of(1), of(2)), (Some(ServiceState::Draining), Some(ServiceState::Active)));
    });
}

/// Index of the class of session reads.
const SESSION_READ: usize = 1;

/// Index of the class of bookings.
const BOOKING: usize = 3;

/// Index of the class of reads with a maximum age.
const BOUNDED_READ: usize = 0;

/// A session read, resolved against this class table.
fn session_read(class_table: Arc<ClassTable>, deadline: Time) -> Request {
    Request {
        class_table,
        name: None,
        class: SESSION_READ,
        tenant: 0,
        group: 1,
        session: Some("s".into()),
        key_session: None,
        after: None,
        deadline,
        repeat: false,
        work: Work::Verbatim { text: Bytes::new(), wait: 0..0, has_idempotency_key: true },
        client: None,
    }
}

/// For how long members detect a repeat of a keyed read in these tests.
const WINDOW: Time = 400_000;

/// An actor that was told to send a keyed session read to each of these members in turn, the first attempt being
/// reset; and the time of the request's arrival.
fn actor_with_failed_attempts(scope: &str, members: &[ListedMember]) -> (Actor<RecordingMembers>, Time) {
    let mut json = linentrail_standins::proxy::settings();
    json["services"][SESSION_READ]["idempotency"] = "idempotency_key".into();
    json["services"][SESSION_READ]["group"] = scope.into();
    json["services"][SESSION_READ]["window_us"] = WINDOW.into();
    let pairs = crate::settings::FlatSettings::from_json(&json);
    let settings = pairs.settings(1).expect("valid settings");
    let class_table = ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
    let mut actor = actor_with(settings, members.to_vec());
    let (id, arrived_at) = (RequestId(1), actor.clock.now());
    let submit = Input::Submit(id, session_read(class_table, arrived_at + 1_000_000), oneshot::channel().0);
    actor.handle_input(submit, arrived_at).expect("an event for the router");
    for listed in members {
        actor.carry_out(arrived_at, Action::Send { id, member: listed.member.id, stop_at: None });
        let ended = AttemptEnd { outcome: Outcome::Reset, value: None, note: None, report: None, spent: 1 };
        actor.handle_input(Input::Ended(id, 0, ended), arrived_at).expect("an event for the router");
    }
    (actor, arrived_at)
}

#[test]
fn a_keyed_repeat_carries_the_end_of_its_deduplication_window() {
    in_runtime(|| {
        let (actor, arrived_at) = actor_with_failed_attempts("all", &[listed(1, None), listed(2, None)]);
        let dedup_until: Vec<Time> = actor.members.attempts.iter().map(|a| a.dedup_until).collect();
        assert_eq!(dedup_until, [Time::MAX, arrived_at + WINDOW]);
    });
}

#[test]
fn a_keyed_repeat_goes_only_to_members_that_deduplicate_it() {
    in_runtime(|| {
        let place = |id, zone, group| {
            let base = listed(id, None);
            ListedMember { member: Member { zone, group, ..base.member.clone() }, ..base }
        };
        for (scope, allowed) in [("all", 3), ("zone", 2), ("cell", 2)] {
            let (other_zone, other_group) = (place(2, 1, 1), place(3, 0, 2));
            let (actor, _) = actor_with_failed_attempts(scope, &[place(1, 0, 1), other_zone, other_group]);
            assert_eq!(actor.members.attempts.len(), allowed, "{scope}");
        }
    });
}

#[test]
fn a_session_read_needs_its_carried_position_even_if_this_clock_is_behind() {
    in_runtime(|| {
        const MS: Time = 1_000;
        let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
        let settings = Settings { when_behind: WhenBehind::Answers, ..settings() };
        let class_table =
            ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
        let mut actor = actor_with(settings, vec![listed(2, None)]);
        // Late enough that no attempt is delayed by the spreading of first requests after a start.
        let now = actor.clock.now() + 4_000 * MS;
        let report = Report { position: Some(now + 100 * MS), primary: Some(false), busy: None };
        let event = actor
            .handle_input(Input::Probed(MemberId(2), Some(report), 0), now)
            .expect("an event for the router");
        actor.step(now, &[event]);
        let (reply, mut answer) = oneshot::channel();
        let deadline = now + 1_000 * MS;
        let read = Request { after: Some(now + 600 * MS), ..session_read(class_table, deadline) };
        let event = actor
            .handle_input(Input::Submit(RequestId(1), read, reply), now)
            .expect("an event for the router");
        actor.step(now, &[event]);
        for at in (now..=deadline).step_by(10 * MS as usize) {
            actor.step(at, &[Event::Wake { tag: 0 }]);
        }
        let sent = actor.members.attempts.len();
        assert_eq!(sent, 0, "the replica is 500 ms behind what the read must see");
        let answer = answer.try_recv();
        assert!(matches!(answer, Ok(Answer::Refused(_))), "{answer:?}");
    });
}

#[tokio::test(start_paused = true)]
async fn a_bounded_read_does_not_begin_once_its_members_position_is_too_old() {
    const MS: Time = 1_000;
    let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
    let settings = Settings { when_behind: WhenBehind::Answers, ..settings() };
    let Consistency::Bounded(age) = settings.classes[BOUNDED_READ].consistency else {
        panic!("another class")
    };
    let class_table = ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
    let mut actor = actor_with(settings, vec![listed(2, None)]);
    // Late enough that no attempt is delayed by the spreading of first requests after a start.
    tokio::time::advance(std::time::Duration::from_secs(4)).await;
    let now = actor.clock.now();
    let position = now - age + 100 * MS;
    let report = Report { position: Some(position), primary: Some(false), busy: None };
    let event = actor
        .handle_input(Input::Probed(MemberId(2), Some(report), 0), now)
        .expect("an event for the router");
    actor.step(now, &[event]);
    let read = Request { class: BOUNDED_READ, session: None, ..session_read(class_table, now + 1_000 * MS) };
    let event = actor
        .handle_input(Input::Submit(RequestId(1), read, oneshot::channel().0), now)
        .expect("an event for the router");
    actor.step(now, &[event]);
    let [attempt] = &actor.members.attempts[..] else { panic!("one attempt is sent") };
    let begins = || {
        let times = crate::settings::SocketTimes { keepalive: Time::MAX, connect_timeout: Time::MAX };
        let state = SharedMemberState::new(SocketAddr::from(([127, 0, 0, 1], 9)), times);
        state.lock().gate.register(attempt.key());
        state.begin(attempt, &actor.clock).is_ok()
    };
    assert!(begins(), "the member is recent enough");
    tokio::time::advance(std::time::Duration::from_millis(100)).await;
    assert!(!begins(), "no newer position is known");
}

/// Guards against attempts of a keyed booking that begin after all of its clients have left.
#[test]
fn an_abandoned_request_is_sent_no_more_and_gets_its_answer_from_the_attempt_in_flight() {
    const MS: Time = 1_000;
    in_runtime(|| {
        for (left_before_the_end, outcome, expected) in [
            (true, Outcome::Reset, Answer::Failed),
            (false, Outcome::Reset, Answer::Failed),
            (true, Outcome::Refused, Answer::Refused(None)),
        ] {
            let base = listed(1, None);
            let primary = ListedMember { member: Member { primary: true, ..base.member.clone() }, ..base };
            let mut json = linentrail_standins::proxy::settings();
            json["services"][BOOKING]["idempotency"] = "idempotency_key".into();
            let pairs = crate::settings::FlatSettings::from_json(&json);
            let settings = pairs.settings(1).expect("valid settings");
            let class_table =
                ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
            let mut actor = actor_with(settings, vec![primary]);
            let (id, now) = (RequestId(1), actor.clock.now());
            let (reply, mut answer) = oneshot::channel();
            let booking = Request { class: BOOKING, ..session_read(class_table, now + 1_000 * MS) };
            let submit = Input::Submit(id, booking, reply);
            let handle = |actor: &mut Actor<RecordingMembers>, input: Input| {
                let events: Vec<Event> = actor.handle_input(input, now).into_iter().collect();
                actor.step(now, &events);
            };
            handle(&mut actor, submit);
            while actor.members.attempts.is_empty() {
                actor.carry_out(now, Action::Send { id, member: MemberId(1), stop_at: None });
            }
            let sent = actor.members.attempts.len();
            let ended = AttemptEnd { outcome, value: None, note: None, report: None, spent: 1 };
            if left_before_the_end {
                handle(&mut actor, Input::Abandoned(id));
                assert!(answer.try_recv().is_err(), "an attempt is in flight");
                handle(&mut actor, Input::Ended(id, 0, ended));
            } else {
                let event = actor.handle_input(Input::Ended(id, 0, ended), now).expect("an event");
                handle(&mut actor, Input::Abandoned(id));
                actor.step(now, &[event]);
            }
            for at in (now..now + 1_000 * MS).step_by(10 * MS as usize) {
                let report = Report { position: Some(at), primary: Some(true), busy: None };
                let event = actor.handle_input(Input::Probed(MemberId(1), Some(report), 0), at);
                actor.step(at, &[Event::Wake { tag: 0 }, event.expect("an event")]);
            }
            assert_eq!(actor.members.attempts.len(), sent, "no other attempt begins");
            assert_eq!(answer.try_recv(), Ok(expected), "{outcome:?}");
            assert!(actor.live.is_empty(), "nothing is left of the request");
        }
    });
}

/// A client that has closed its connection.
#[derive(Debug)]
struct ClosedConnection;

impl crate::core::ClientConnection for ClosedConnection {
    fn is_closed(&self) -> bool {
        true
    }
}

/// Guards against requests that are sent after their clients have left, as they were not read for long.
#[tokio::test(start_paused = true)]
async fn a_client_is_looked_at_again_before_an_attempt_if_its_request_has_waited_unread() {
    const MS: Time = 1_000;
    const READ_OF_ANY_AGE: usize = 2;
    let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
    let settings = pairs.settings(1).expect("valid settings");
    let class_table = ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
    let mut actor = actor_with(settings, vec![listed(2, None)]);
    tokio::time::advance(std::time::Duration::from_secs(4)).await;
    let now = actor.clock.now();
    let connection: Arc<dyn crate::core::ClientConnection> = Arc::new(ClosedConnection);
    for (id, waited) in [(1, 0), (2, 300 * MS)] {
        let client = crate::core::RequestClient {
            connection: Arc::downgrade(&connection),
            seen_at: now.saturating_sub(waited),
        };
        let read = session_read(class_table.clone(), now + 1_000 * MS);
        let read = Request { class: READ_OF_ANY_AGE, session: None, client: Some(client), ..read };
        let event = actor
            .handle_input(Input::Submit(RequestId(id), read, oneshot::channel().0), now)
            .expect("an event for the router");
        actor.step(now, &[event]);
        let attempt = actor.members.attempts.pop().expect("it is sent");
        let times = crate::settings::SocketTimes { keepalive: Time::MAX, connect_timeout: Time::MAX };
        let state = SharedMemberState::new(SocketAddr::from(([127, 0, 0, 1], 9)), times);
        state.lock().gate.register(attempt.key());
        assert_eq!(state.begin(&attempt, &actor.clock).is_ok(), waited == 0, "waited {waited} us");
    }
}
