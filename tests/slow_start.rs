//! What a fleet of 300 processes sends to a member in slow start, in virtual time: members of finite capacity, clients that
//! come back, bursts, and a primary that is replaced by a member that has only just started.
#![allow(missing_docs)]

mod common;

use common::*;
use linentrail::*;
use std::collections::VecDeque;

const ROUTERS: u64 = 300;
const GROUP: GroupId = 9;
/// Requests of mean work that a warm member can do in a second.
const CAPACITY: f64 = 80.0;
const CORES: f64 = 4.0;
/// What a member lets wait before it turns away.
const QUEUE: f64 = 80.0;
/// What each router is asked for in other groups, in a second.
const ELSEWHERE: f64 = 10.0;
const OTHER_GROUP: GroupId = 77;
const TICK: Time = 5 * MS;
const SECOND: Time = 1_000 * MS;
/// How long after its start the list tells of a member.
const TOLD_AFTER: Time = 500 * MS;
const CLIENT_TRIES: u32 = 3;
const CLIENT_BACKOFF: Time = 50 * MS;
/// The settings have no other.
const FALL_MULTIPLE: f64 = 2.0;

struct Server {
    id: MemberId,
    started: Option<Time>,
    primary: bool,
    idle_at: f64,
    arrivals: VecDeque<Time>,
    /// By how much it got more than its budget and what chance may add, at the worst.
    over: f64,
    got: usize,
}

impl Server {
    fn new(id: u32, started: Option<Time>, primary: bool) -> Self {
        let (idle_at, arrivals) = (0.0, VecDeque::new());
        Server { id: MemberId(id), started, primary, idle_at, arrivals, over: f64::MIN, got: 0 }
    }

    fn warmth(&self, now: Time, rules: &Rules) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / rules.warm_after as f64;
        (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
    }

    /// A request arrives: when it is answered, or none where it is turned away.
    fn take(&mut self, now: Time, rules: &Rules) -> Option<Time> {
        let warmth = self.warmth(now, rules);
        if warmth < 1.0 {
            self.judge(now, warmth, rules);
        }
        let each = 1e6 / (CAPACITY * warmth);
        if self.idle_at > now as f64 + QUEUE * each {
            return None;
        }
        self.idle_at = self.idle_at.max(now as f64) + each;
        Some(self.idle_at.max(now as f64 + CORES * each) as Time)
    }

    fn judge(&mut self, now: Time, warmth: f64, rules: &Rules) {
        self.got += 1;
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|first| first + rules.fall_window <= now) {
            self.arrivals.pop_front();
        }
        let budget = FALL_MULTIPLE * CAPACITY * warmth * rules.fall_window as f64 / 1e6;
        let slack = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        self.over = self.over.max(self.arrivals.len() as f64 - budget - slack);
    }
}

/// What comes to pass at a moment.
enum Due {
    Answer { router: usize, id: RequestId, attempt: u32, outcome: Outcome, from: MemberId, sent: Time },
    Probed { router: usize, member: MemberId },
    Repeat { class: usize, tries: u32 },
}

struct Attempts {
    class: usize,
    sent: u32,
    tries: u32,
}

/// A load on the group: in shares of what all its members can do when warm.
#[derive(Clone, Copy)]
struct Load {
    reads: f64,
    writes: f64,
    /// So many times more between these moments.
    burst: (f64, Time, Time),
}

struct World {
    routers: Vec<RouterDriver>,
    settings: Settings,
    servers: Vec<Server>,
    due: Vec<(Time, Due)>,
    wakes: Vec<Option<(Time, u64)>>,
    open: Vec<std::collections::HashMap<RequestId, Attempts>>,
    now: Time,
    ids: u64,
    random: u64,
    served: usize,
    asked: usize,
}

impl World {
    fn new(servers: Vec<Server>, seed: u64) -> Self {
        let rules =
            Rules { cold_share: 0.15, warm_after: 18 * SECOND, fall_window: 1_500 * MS, ..settings().rules };
        let settings = Settings {
            instances: ROUTERS as u32,
            rules,
            list_role: ListedRole::Absent,
            when_behind: WhenBehind::Refuses,
            ..settings()
        };
        let now = RouterDriver::without_members(settings.clone()).now;
        let routers = (0..ROUTERS)
            .map(|n| RouterDriver::without_members(Settings { seed: seed * 1_000 + n, ..settings.clone() }));
        let routers: Vec<RouterDriver> = routers.collect();
        let (wakes, open) = (vec![None; routers.len()], routers.iter().map(|_| Default::default()).collect());
        let (due, random) = (Vec::new(), seed | 1);
        World { routers, settings, servers, due, wakes, open, now, ids: 0, random, served: 0, asked: 0 }
    }

    fn draw(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn member(&self, id: MemberId) -> Member {
        let server = self.servers.iter().find(|s| s.id == id).expect("it is one of them");
        Member { up_since: server.started, group: GROUP, ..member(id.0, false) }
    }

    /// All routers are told of these members, and of these that they leave.
    fn tell(&mut self, kind: ListKind, ids: &[u32], leaving: &[u32]) {
        let mut members: Vec<Member> = ids.iter().map(|id| self.member(MemberId(*id))).collect();
        members.extend(
            leaving
                .iter()
                .map(|id| Member { service_state: ServiceState::Draining, ..self.member(MemberId(*id)) }),
        );
        for router in 0..self.routers.len() {
            self.step(router, Event::List { kind, members: members.clone() });
        }
    }

    fn step(&mut self, router: usize, event: Event) {
        self.routers[router].now = self.now;
        for action in self.routers[router].step(&[event]) {
            self.act(router, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Send { id, member, stop_at } => self.send(router, id, member, stop_at),
            Action::Cancel { id, attempt } => self.cancel(router, id, attempt),
            Action::Refuse { id, .. } | Action::Fail { id } => self.refused(router, id),
            Action::Probe { member } => self.due.push((self.now + MS, Due::Probed { router, member })),
            Action::Wake { after, tag } => self.wakes[router] = Some((self.now + after, tag)),
            _ => {}
        }
    }

    fn send(&mut self, router: usize, id: RequestId, member: MemberId, stop_at: Option<Time>) {
        let (now, rules) = (self.now, self.settings.rules.clone());
        let Some(request) = self.open[router].get_mut(&id) else { return };
        let (attempt, class) = (request.sent, request.class);
        request.sent += 1;
        let write = self.settings.classes[class].consistency == Consistency::Write;
        let server = self.servers.iter_mut().find(|s| s.id == member).expect("it is one of them");
        let misses = write && !server.primary;
        let answered = server.take(now, &rules);
        let (at, outcome) = match answered {
            _ if misses => (now + MS, Outcome::Miss),
            None => (now + MS, Outcome::Saturated),
            Some(at) => (at, Outcome::Completed),
        };
        let stop = stop_at.filter(|stop| *stop < at);
        let (at, outcome) = stop.map_or((at, outcome), |stop| (stop, Outcome::Overdue));
        self.due.push((at, Due::Answer { router, id, attempt, outcome, from: member, sent: now }));
    }

    fn cancel(&mut self, router: usize, id: RequestId, number: u32) {
        for (at, due) in &mut self.due {
            match due {
                Due::Answer { router: r, id: i, attempt, outcome, .. }
                    if (*r, *i, *attempt) == (router, id, number) =>
                {
                    (*at, *outcome) = (self.now, Outcome::Cancelled);
                }
                _ => {}
            }
        }
    }

    /// Clients come back by themselves.
    fn refused(&mut self, router: usize, id: RequestId) {
        let Some(request) = self.open[router].remove(&id) else { return };
        if request.tries < CLIENT_TRIES {
            let again = Due::Repeat { class: request.class, tries: request.tries + 1 };
            self.due.push((self.now + CLIENT_BACKOFF, again));
        }
    }

    fn request(&mut self, class: usize, tries: u32) {
        let router = (self.draw() * self.routers.len() as f64) as usize;
        self.ids += 1;
        let id = RequestId(self.ids);
        self.open[router].insert(id, Attempts { class, sent: 0, tries });
        let deadline = self.now + self.settings.classes[class].deadline;
        let (session, session_position, proven_position, repeat) = (None, None, None, tries > 0);
        self.step(
            router,
            Event::Request {
                id,
                class,
                group: GROUP,
                deadline,
                session,
                session_position,
                proven_position,
                repeat,
            },
        );
    }

    /// What the routers are asked for in other groups shows them alone how fast requests come.
    fn elsewhere(&mut self, times: f64) {
        for router in 0..self.routers.len() {
            if self.draw() < ELSEWHERE * times * TICK as f64 / 1e6 {
                self.ids += 1;
                let id = RequestId(self.ids);
                let (class, group, deadline) = (ANY, OTHER_GROUP, self.now + SECOND);
                let (session, session_position, proven_position, repeat) = (None, None, None, false);
                let event = Event::Request {
                    id,
                    class,
                    group,
                    deadline,
                    session,
                    session_position,
                    proven_position,
                    repeat,
                };
                self.step(router, event);
                self.step(router, Event::Disconnected { id });
            }
        }
    }

    fn come_due(&mut self, due: Due) {
        match due {
            Due::Repeat { class, tries } => self.request(class, tries),
            Due::Probed { router, member } => {
                let server = self.servers.iter().find(|s| s.id == member).expect("it is one of them");
                let report = Report { position: Some(self.now), primary: Some(server.primary), busy: None };
                self.step(router, Event::Probed { member, ok: true, report: Some(report) });
            }
            Due::Answer { router, id, attempt, outcome, from, sent } => {
                let server = self.servers.iter().find(|s| s.id == from).expect("it is one of them");
                let role = if server.primary { Role::Primary } else { Role::Replica };
                let told = matches!(outcome, Outcome::Completed | Outcome::Miss);
                let note = told.then(|| note(self.now, role)).flatten();
                let complete = outcome == Outcome::Completed;
                if complete && self.open[router].remove(&id).is_some() {
                    self.served += 1;
                }
                let spent = self.now - sent;
                self.step(router, Event::Ended { id, attempt, outcome, complete, spent, note, report: None });
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        due.into_iter().for_each(|(_, due)| self.come_due(due));
        for router in 0..self.routers.len() {
            if let Some((_, tag)) = self.wakes[router].filter(|(at, _)| *at <= now) {
                self.wakes[router] = None;
                self.step(router, Event::Wake { tag });
            }
        }
    }

    /// Runs the group under this load until then.
    fn run(&mut self, until: Time, load: Load) {
        let all = CAPACITY * self.servers.len().min(5) as f64;
        while self.now < until {
            self.now += TICK;
            self.tick();
            let (times, from, to) = load.burst;
            let times = if (from..to).contains(&self.now) { times } else { 1.0 };
            self.elsewhere(times);
            for (class, rate) in [(ANY, load.reads * all), (UNSAFE, load.writes * CAPACITY)] {
                let mut expected = rate * times * TICK as f64 / 1e6;
                while expected > 0.0 {
                    if self.draw() < expected.min(1.0) {
                        self.asked += 1;
                        self.request(class, 0);
                    }
                    expected -= 1.0;
                }
            }
        }
    }
}

/// One replica of five members starts anew under load; by how much it got too much at the worst, and how many it got.
fn a_replica_starts(load: impl Fn(Time) -> Load, seed: u64) -> (f64, usize) {
    let servers = (1..6).map(|id| Server::new(id, None, id == 1)).collect();
    let mut world = World::new(servers, seed);
    world.tell(ListKind::Disk, &[1, 2, 3, 4, 5], &[]);
    let began = world.now;
    world.run(began + 6 * SECOND, load(began));
    world.servers[4].started = Some(world.now);
    let start = world.now;
    world.run(start + TOLD_AFTER, load(began));
    // Nobody is blamed for what came before the start was told.
    (world.servers[4].over, world.servers[4].got) = (f64::MIN, 0);
    world.servers[4].arrivals.clear();
    world.tell(ListKind::Changes, &[5], &[]);
    world.run(start + 12 * SECOND, load(began));
    println!(
        "seed {seed}: over {:.1}, got {}, served {} of {}",
        world.servers[4].over, world.servers[4].got, world.served, world.asked
    );
    (world.servers[4].over, world.servers[4].got)
}

/// The primary leaves, and after a while without one a member that has just started takes over.
fn a_cold_member_becomes_primary(load: Load, without: Time, seed: u64) -> (f64, usize) {
    let servers = (1..6).map(|id| Server::new(id, None, id == 1)).collect();
    let mut world = World::new(servers, seed);
    world.tell(ListKind::Disk, &[1, 2, 3, 4, 5], &[]);
    let began = world.now;
    world.run(began + 6 * SECOND, load);
    let start = world.now;
    world.servers.push(Server::new(6, Some(start), false));
    world.run(start + TOLD_AFTER, load);
    world.tell(ListKind::Changes, &[6], &[1]);
    world.servers[0].primary = false;
    world.run(start + TOLD_AFTER + without, load);
    world.servers[5].primary = true;
    world.run(start + 12 * SECOND, load);
    println!(
        "seed {seed}: over {:.1}, got {}, served {} of {}",
        world.servers[5].over, world.servers[5].got, world.served, world.asked
    );
    (world.servers[5].over, world.servers[5].got)
}

const SEEDS: std::ops::Range<u64> = 1..6;
const STEADY: (f64, Time, Time) = (1.0, 0, 0);

#[test]
fn a_replica_in_slow_start_keeps_within_its_budget_at_the_groups_full_load() {
    for seed in SEEDS {
        let (over, got) = a_replica_starts(|_| Load { reads: 0.75, writes: 0.5, burst: STEADY }, seed);
        assert!(over <= 0.0, "seed {seed}: {over:.1} more than chance may add");
        assert!(got > 150, "seed {seed}: {got} warm nobody");
    }
}

#[test]
fn a_replica_in_slow_start_keeps_within_its_budget_in_a_burst_beyond_the_groups_capacity() {
    for seed in SEEDS {
        // A launch, as one of the deployments has it.
        let burst = |began: Time| (2.4, began + 7 * SECOND, began + 15 * SECOND);
        let (over, _) = a_replica_starts(|began| Load { reads: 0.7, writes: 0.5, burst: burst(began) }, seed);
        assert!(over <= 0.0, "seed {seed}: {over:.1} more than chance may add");
    }
}

#[test]
fn a_primary_in_slow_start_keeps_within_its_budget_when_its_writes_have_waited_for_it() {
    for seed in SEEDS {
        let (over, got) =
            a_cold_member_becomes_primary(Load { reads: 0.5, writes: 0.73, burst: STEADY }, 1_500 * MS, seed);
        assert!(over <= 0.0, "seed {seed}: {over:.1} more than chance may add");
        assert!(got > 100, "seed {seed}: {got} warm nobody");
    }
}

#[test]
fn the_settings_say_how_many_times_its_capacity_a_member_in_slow_start_may_get() {
    let writes = |fall_multiple: f64| {
        let one = |seed| {
            let rules = Rules { fall_multiple, ..settings().rules };
            let mut d = RouterDriver::new(Settings { seed, instances: 100, rules, ..settings() });
            d.list(ListKind::Full, vec![Member { up_since: Some(d.now), ..member(1, true) }]);
            sent(&d.request(UNSAFE, None).1).len()
        };
        (0..300).map(one).sum::<usize>()
    };
    // A fifth of its capacity, 300 times: 60 of them for each multiple.
    assert!((40..80).contains(&writes(1.0)), "{}", writes(1.0));
    assert!((150..210).contains(&writes(3.0)), "{}", writes(3.0));
}
