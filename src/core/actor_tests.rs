//! What the actor makes of what others have learned.

use super::*;
use std::net::SocketAddr;

/// Members that only stand there.
struct Still;

impl Members for Still {
    fn attempt(&mut self, _: MemberId, _: Attempt) -> bool {
        true
    }
    fn cancel(&mut self, _: MemberId, _: RequestId, _: u32) {}
    fn probe(&mut self, _: MemberId) -> bool {
        true
    }
    fn close_idle(&mut self, _: MemberId) {}
    fn list(&mut self, _: ListKind, _: &[Listed]) {}
    fn times(&mut self, _: crate::settings::SocketTimes) {}
    fn follow(&mut self) -> bool {
        true
    }
}

fn settings() -> Settings {
    let pairs = crate::settings::Pairs::from_json(&linentrail_standins::proxy::settings());
    pairs.settings(1).expect("sound settings")
}

pub(super) fn listed(id: u32, start: Option<Time>) -> Listed {
    let (zone, group, condition) = (0, 1, Condition::In);
    let member = Member { id: MemberId(id), zone, group, condition, primary: false, up_since: start };
    Listed { name: format!("m{id}").into(), address: SocketAddr::from(([127, 0, 0, 1], 9)), member }
}

/// An actor that has heard a list of these.
fn actor(members: Vec<Listed>) -> Actor<Still> {
    let (clock, inbox, orders) = (Clock::start(), mpsc::channel(1).1, mpsc::channel(1).1);
    let mut actor = Actor::new(settings(), Still, clock, (inbox, orders)).expect("sound settings");
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
        let told = |position| Known { members: [("m1".into(), facts(position))].into(), ..Known::default() };
        let first = actor.learn(&told(now - 5_000));
        assert!(matches!(&first[..], [Event::Probed { member: MemberId(1), ok: true, .. }]), "{first:?}");
        actor.step(now, &first);
        // The same again would only make a member that is in doubt here be tried on hearsay.
        assert_eq!(actor.learn(&told(now - 5_000)), []);
        assert_eq!(actor.learn(&told(now - 6_000)), []);
        assert_eq!(actor.learn(&told(now - 1_000)).len(), 1);
        // Nobody here has heard of the third.
        let stranger = Known { members: [("m3".into(), facts(now))].into(), ..Known::default() };
        assert_eq!(actor.learn(&stranger), []);
    });
}
