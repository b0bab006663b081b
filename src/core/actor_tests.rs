//! What the actor makes of what others have learned.

use super::*;
use crate::class_table::{ClassSlots, ClassTable};
use crate::knowledge::{Knowledge, LearnedFacts, MemberFacts};
use crate::net::member_state::SharedMemberState;
use std::net::SocketAddr;

/// Members that only stand there, and what they were given.
#[derive(Default)]
struct Still {
    attempts: Vec<Attempt>,
}

impl Members for Still {
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
    pairs.settings(1).expect("sound settings")
}

pub(super) fn listed(id: u32, start: Option<Time>) -> ListedMember {
    let (zone, group, service_state) = (0, 1, ServiceState::Active);
    let member = Member { id: MemberId(id), zone, group, service_state, primary: false, up_since: start };
    ListedMember { name: format!("m{id}").into(), address: SocketAddr::from(([127, 0, 0, 1], 9)), member }
}

/// An actor that has heard a list of these.
fn actor(members: Vec<ListedMember>) -> Actor<Still> {
    actor_with(settings(), members)
}

/// The same with settings of its own.
fn actor_with(settings: Settings, members: Vec<ListedMember>) -> Actor<Still> {
    let (clock, inbox, orders) = (Clock::start(), mpsc::channel(1).1, mpsc::channel(1).1);
    let mut actor = Actor::new(settings, Still::default(), clock, (inbox, orders)).expect("sound settings");
    let now = actor.clock.now();
    let event = actor.take(Input::List(ListKind::Full, members), now).expect("the module hears of it");
    actor.step(now, &[event]);
    actor
}

fn in_runtime(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _entered = runtime.enter();
    test();
}

#[test]
fn what_another_process_has_learned_is_told_to_the_module_once_and_only_where_it_is_news() {
    in_runtime(|| {
        let mut actor = actor(vec![listed(1, None), listed(2, None)]);
        let now = actor.clock.now();
        let facts = |position| MemberFacts { position, primary: Some(false), ..MemberFacts::default() };
        let told = |position| LearnedFacts {
            members: [("m1".into(), facts(position))].into(),
            ..LearnedFacts::default()
        };
        let first = actor.learn(&told(now - 5_000));
        assert!(matches!(&first[..], [Event::Probed { member: MemberId(1), ok: true, .. }]), "{first:?}");
        actor.step(now, &first);
        // The same again would only make a member that is in doubt here be tried on hearsay.
        assert_eq!(actor.learn(&told(now - 5_000)), []);
        assert_eq!(actor.learn(&told(now - 6_000)), []);
        assert_eq!(actor.learn(&told(now - 1_000)).len(), 1);
        // Nobody here has heard of the third.
        let stranger =
            LearnedFacts { members: [("m3".into(), facts(now))].into(), ..LearnedFacts::default() };
        assert_eq!(actor.learn(&stranger), []);
    });
}

fn recalled(members: &[(&str, MemberFacts)]) -> Knowledge {
    let members = members.iter().map(|(name, facts)| ((*name).into(), facts.clone())).collect();
    Knowledge { learned: LearnedFacts { members, ..LearnedFacts::default() }, ..Knowledge::default() }
}

#[test]
fn a_stored_position_counts_once_a_list_of_this_process_names_the_same_start_and_never_otherwise() {
    in_runtime(|| {
        let start = Some(1_000_000);
        let facts = MemberFacts { start, position: 5_000_000, primary: Some(true), ..MemberFacts::default() };
        for (listed_start, kind, counts) in [
            (start, ListKind::Full, true),
            (start, ListKind::Changes, true),
            (Some(2_000_000), ListKind::Full, false),
            (None, ListKind::Full, false),
            // What a start finds in its configuration is as old as what was stored.
            (start, ListKind::Disk, false),
        ] {
            let mut actor = actor(vec![]);
            actor.recall(recalled(&[("m1", facts.clone())]));
            let now = actor.clock.now();
            let event = actor.take(Input::List(kind, vec![listed(1, listed_start)]), now).expect("an event");
            actor.step(now, &[event]);
            let follows: Vec<Event> = actor.local.drain(..).collect();
            actor.step(now, &follows);
            let position = actor.router.position(MemberId(1));
            assert_eq!(position, if counts { 5_000_000 } else { 0 }, "{listed_start:?} {kind:?}");
            // A stored role is never more than whom a write tries first: nobody is taken for the primary by it.
            assert!(actor.router.learned_members().all(|m| m.facts.primary != Some(true)));
        }
    });
}

#[test]
fn a_stored_warm_up_lasts_over_lists_that_do_not_know_of_it() {
    in_runtime(|| {
        let mut actor = actor(vec![]);
        let now = actor.clock.now();
        let began = Some(now - 1_000_000);
        actor.recall(recalled(&[("m1", MemberFacts { warm_up_start: began, ..MemberFacts::default() })]));
        for kind in [ListKind::Disk, ListKind::Full, ListKind::Changes] {
            let event = actor.take(Input::List(kind, vec![listed(1, None)]), now).expect("an event");
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
fn the_operators_word_binds_from_the_first_list_on() {
    in_runtime(|| {
        let mut actor = actor(vec![]);
        let mut all = recalled(&[]);
        all.suspensions
            .insert("m1".into(), crate::effective_list::Suspension { suspended_at: 1, restored_at: None });
        actor.recall(all);
        let now = actor.clock.now();
        let event = actor.take(Input::List(ListKind::Disk, vec![listed(1, None), listed(2, None)]), now);
        let Some(Event::List { members, .. }) = event else { panic!("{event:?}") };
        let of = |id| members.iter().find(|m| m.id == MemberId(id)).map(|m| m.service_state);
        assert_eq!((of(1), of(2)), (Some(ServiceState::Draining), Some(ServiceState::Active)));
    });
}

/// Index of the class of session reads.
const SESSION_READ: usize = 1;

/// Index of the class of reads of data up to an age.
const BOUNDED_READ: usize = 0;

/// A read of the class of session reads, under these terms.
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
        work: Work::Verbatim { text: Bytes::new(), wait: 0..0 },
        client: None,
    }
}

/// How long members know a keyed read for a repeat here.
const WINDOW: Time = 400_000;

/// An actor that is to send a keyed session read to each of these, of which the first breaks the connection; and when.
fn sent_by_turns(scope: &str, members: &[ListedMember]) -> (Actor<Still>, Time) {
    let mut json = linentrail_standins::proxy::settings();
    json["services"][SESSION_READ]["idempotency"] = "idempotency_key".into();
    json["services"][SESSION_READ]["group"] = scope.into();
    json["services"][SESSION_READ]["window_us"] = WINDOW.into();
    let pairs = crate::settings::FlatSettings::from_json(&json);
    let settings = pairs.settings(1).expect("sound settings");
    let class_table = ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
    let mut actor = actor_with(settings, members.to_vec());
    let (id, came) = (RequestId(1), actor.clock.now());
    let submit = Input::Submit(id, session_read(class_table, came + 1_000_000), oneshot::channel().0);
    actor.take(submit, came).expect("it is taken");
    for listed in members {
        actor.act(came, Action::Send { id, member: listed.member.id, stop_at: None });
        let ended = AttemptEnd { outcome: Outcome::Reset, value: None, note: None, report: None, spent: 1 };
        actor.take(Input::Ended(id, 0, ended), came).expect("the module hears of it");
    }
    (actor, came)
}

#[test]
fn a_keyed_repeat_that_waits_for_its_connection_begins_behind_its_window() {
    in_runtime(|| {
        let (actor, came) = sent_by_turns("all", &[listed(1, None), listed(2, None)]);
        let dedup_until: Vec<Time> = actor.members.attempts.iter().map(|a| a.dedup_until).collect();
        assert_eq!(dedup_until, [Time::MAX, came + WINDOW]);
    });
}

#[test]
fn a_keyed_repeat_is_handed_to_a_member_that_does_not_know_it() {
    in_runtime(|| {
        let place = |id, zone, group| {
            let near = listed(id, None);
            ListedMember { member: Member { zone, group, ..near.member.clone() }, ..near }
        };
        for (scope, allowed) in [("all", 3), ("zone", 2), ("cell", 2)] {
            let (other_zone, other_group) = (place(2, 1, 1), place(3, 0, 2));
            let (actor, _) = sent_by_turns(scope, &[place(1, 0, 1), other_zone, other_group]);
            assert_eq!(actor.members.attempts.len(), allowed, "{scope}");
        }
    });
}

#[test]
fn a_session_read_goes_by_the_position_it_carries_also_where_this_clock_is_behind() {
    in_runtime(|| {
        const MS: Time = 1_000;
        let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
        let settings = Settings { when_behind: WhenBehind::Answers, ..settings() };
        let class_table =
            ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
        let mut actor = actor_with(settings, vec![listed(2, None)]);
        // Late enough that nothing waits for its turn.
        let now = actor.clock.now() + 4_000 * MS;
        let report = Report { position: Some(now + 100 * MS), primary: Some(false), busy: None };
        let heard = actor.take(Input::Probed(MemberId(2), Some(report), 0), now).expect("it is heard");
        actor.step(now, &[heard]);
        let (reply, mut answer) = oneshot::channel();
        let deadline = now + 1_000 * MS;
        let read = Request { after: Some(now + 600 * MS), ..session_read(class_table, deadline) };
        let asked = actor.take(Input::Submit(RequestId(1), read, reply), now).expect("it is taken");
        actor.step(now, &[asked]);
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
async fn a_bounded_read_does_not_begin_once_the_position_it_was_chosen_by_is_too_old() {
    const MS: Time = 1_000;
    let pairs = crate::settings::FlatSettings::from_json(&linentrail_standins::proxy::settings());
    let settings = Settings { when_behind: WhenBehind::Answers, ..settings() };
    let Consistency::Bounded(age) = settings.classes[BOUNDED_READ].consistency else {
        panic!("another class")
    };
    let class_table = ClassSlots::default().replace(pairs.names().expect("names"), settings.classes.clone());
    let mut actor = actor_with(settings, vec![listed(2, None)]);
    // Late enough that nothing waits for its turn.
    tokio::time::advance(std::time::Duration::from_secs(4)).await;
    let now = actor.clock.now();
    let position = now - age + 100 * MS;
    let report = Report { position: Some(position), primary: Some(false), busy: None };
    let heard = actor.take(Input::Probed(MemberId(2), Some(report), 0), now).expect("it is heard");
    actor.step(now, &[heard]);
    let read = Request { class: BOUNDED_READ, session: None, ..session_read(class_table, now + 1_000 * MS) };
    let asked =
        actor.take(Input::Submit(RequestId(1), read, oneshot::channel().0), now).expect("it is taken");
    actor.step(now, &[asked]);
    let [attempt] = &actor.members.attempts[..] else { panic!("one attempt is sent") };
    let begins = || {
        let times = crate::settings::SocketTimes { keepalive: Time::MAX, connect_timeout: Time::MAX };
        let state = SharedMemberState::new(SocketAddr::from(([127, 0, 0, 1], 9)), times);
        state.lock().gate.register(attempt.key());
        state.begin(attempt, &actor.clock).is_ok()
    };
    assert!(begins(), "its member is recent enough");
    tokio::time::advance(std::time::Duration::from_millis(100)).await;
    assert!(!begins(), "nothing newer was heard of it");
}
