//! Every decision of linentrail. The types, events and actions stand in `src/interface.rs`, what the router
//! remembers in `src/state.rs`.
//!
//! The ordinary path is HovercRaft's bounded shortest queue (sections 3.4 and 3.6 of the paper), as each
//! driver can keep it for its own reads: the replica with the fewest of this router's reads outstanding,
//! among those under a fixed bound and recent enough; with none, the read is held.

use crate::interface::*;
use crate::list_calls::ListCalls;
use crate::state::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

// ---- Tuned values ------------------------------------------------------------------------------------

/// Reads that all routers together may have out at one replica; each takes its even share as its fixed bound.
/// Enough to keep several cores busy between two rounds, few enough that the last in line is still in time.
const MEMBER_READS: u32 = 18;
/// Of all work out at the primary, by all routers, how much may be there before reads stay away from it.
const PRIMARY_READS: u32 = 9;
/// Writes (and whatever else) out at the primary at once, by all routers; the most a hung one can swallow.
const MEMBER_WRITES: u32 = 48;
/// Shares shrink no further with more routers than this: most of so many will be idle at any moment.
const SHARERS_MOST: u32 = 18;
/// Quick wake-up while something is held that only time can release, in us: a fraction of any aim.
const HELD_TICK: Time = 10_000;
/// A read that waits only for room is given up after this share of the tightest aim of any read class: a
/// longer common queue serves no more reads, it only makes the tightest class miss its aim altogether.
const HOLD_SHARE: f64 = 0.4;
/// A read is not sent with less time left than so many mean service times, but for this share of such reads.
const LEFT_FACTOR: f64 = 1.5;
const LEFT_TRIED: f64 = 0.1;
/// Final answers go out this long before the client leaves, in us: one late round must not lose them.
const ANSWER_LEAD: Time = 12_000;
/// A write of which no attempt reached a member is given up this long before half of its time is over, in
/// us: its client can still come back then, and a later refusal costs more than the chance is worth.
const HALF_LEAD: Time = 18_000;
/// Reports may round a position up by less than this, in us; notes are rounded down already.
pub(crate) const REPORT_ROUNDING: Time = 1_000;
/// A checking member is tried on an estimated position no older than this, in us: lag changes in seconds, yet
/// one of hundreds of drivers hears of a member but every few, and a miss is cheaper than a probe.
const ESTIMATE_TRUST: Time = 10_000_000;
/// What a checking member that was never heard of is thought to lag, in us: more than a sound one does.
const UNHEARD_LAG: Time = 50_000;
/// Least time between two probes of a member for a session read, or for finding a primary, in us:
/// reports are refreshed a few times a second, so asking faster tells nothing new.
const PROBE_GAP: Time = 150_000;
/// How long a read waits for a replica's word on its position before the primary may take it, in us.
const ASK_PATIENCE: Time = 40_000;
/// Least time between two probes of a member for its role, in us: elections take seconds.
const SEEK_GAP: Time = 400_000;
/// Probes out at once for a primary that was never known.
const SEEK_FEW: usize = 2;
/// A probe without a result after this long is taken as lost, in us.
const PROBE_PATIENCE: Time = 1_000_000;
/// Time between two tries of a held write at members whose role is unknown, in us.
const SCOUT_GAP: Time = 100_000;
/// A member with work out is silent after this many times the mean service time ...
const SILENCE_FACTOR: f64 = 5.0;
/// ... but neither before the first of these, in us, nor past the longer of the others: work may take long.
const SILENCE_LEAST: Time = 300_000;
const SILENCE_MOST: Time = 500_000;
const SILENCE_MEANS: f64 = 2.5;
/// Where a probe is answered, work is taken back only after this multiple of the limit: it may be slow.
const SILENCE_EXCUSE: u64 = 2;
/// Weight of the newest result in a member's error share: some eight results make the picture.
const ERROR_WEIGHT: f64 = 0.12;
/// Above this error share a member gets only single trial reads; well above what a sound one shows.
const ERROR_LIMIT: f64 = 0.22;
/// The router's own share of bad results, over some thirty of them, raises that limit this many times.
const ERROR_COMMON: f64 = 1.5;
const ERROR_COMMON_WEIGHT: f64 = 0.03;
/// A read is not sent again after this many errors: more tells of the request, not of the members.
const ERRORS_MOST: u32 = 2;
/// Time between two trial reads of a failing member, in us.
const TRIAL_GAP: Time = 400_000;
/// First and longest pause before a member in doubt is asked again, in us.
const DOUBT_PAUSE: Time = 200_000;
const DOUBT_PAUSE_MOST: Time = 1_600_000;
/// So many members of a zone that go silent within this span, in us, and none heard since: it is lost.
const ZONE_MEMBERS: usize = 3;
const ZONE_SPAN: Time = 2_000_000;
/// An answer slower than this share of its class's aim tells of a jam at the member, whoever caused it;
/// sound members give few, as work varies.
const SLOW_SHARE: f64 = 0.45;
/// A slow answer lowers the member's bounds once for all that was out at the time, each quick one raises them
/// by a share of the full bound, and so does this time, in us. The common ease of all members falls with
/// answers past `limit` of the aim: at a fifth of them slow it stands still. It comes back with time, too.
const EASE_TIME: Time = 15_000_000;
const POOL_UP: f64 = 0.025;
const POOL_TIME: Time = 30_000_000;
const EASING: Easing = Easing { limit: 0.65, down: 0.9, worse: 0.75, none: 0.75, better: 0.03 };
/// Where a member's even share is a single read, answers from it are few: each tells more, and one that did
/// not come at all tells most. The common ease shortens no queue there but turns reads away, on the word of
/// the few answers seen here: only those past the aim lower it then, and half of them must be.
const EASING_ONE: Easing = Easing { limit: 1.0, down: 0.97, worse: 0.75, none: 0.3, better: 0.15 };
/// What a cold member may have of its group's first reads, in even shares of a member as warm as it is:
/// enough to warm it, under the rule's multiple when every router prefers it and load stands high.
const COLD_READS: f64 = 2.0;
/// What a cold primary may have of what must be current, in its warmth; how warm members take repeats.
const COLD_CURRENT: f64 = 2.0;
const COLD_REPEATS: f64 = 0.5;
/// Neither goes lower, so that it can come back soon.
const EASE_LEAST: f64 = 0.08;
/// Members of equal counts are told apart by ease in so many steps.
const SLOW_STEPS: f64 = 5.0;
/// An attempt is taken as lost after this many mean service times; few sound ones take that long ...
const LOST_FACTOR: f64 = 4.0;
/// ... at a member whose ease is at least this: elsewhere answers are late for want of room.
const LOST_EASE: f64 = 0.5;
/// A connection without use for this long counts as idle, in us.
const IDLE_LEAST: Time = 250_000;
/// Idle connections are closed before use once the share of attempts lost on them exceeds others' by this.
const LINK_LIMIT: f64 = 0.45;
/// A member that was never connected to has its turn within so much a router, in us ...
const TURN_EACH: Time = 60_000;
/// ... but no later than this; and a group's primary before so much of a write's aim is over.
const TURN_MOST: Time = 3_000_000;
const TURN_SHARE: f64 = 0.7;
/// Before its turn a member is connected to this long after another of its group, in us, and for reads that
/// have waited for room; for as much of the tightest aim they may wait while turns are to come.
const TURN_GAP: Time = 80_000;
const TURN_HOLD: f64 = 0.8;
/// A member that turned something away as full gets nothing for this long, in us.
const FULL_REST: Time = 30_000;
/// Unreachable for at least this long and back: taken as restarted, in us.
const RESTART_AFTER: Time = 2_000_000;
/// Weight of the newest answer in mean service times.
const LATENCY_WEIGHT: f64 = 0.05;
/// A list that is not newer than the last answer about a role by this much, in us, does not change it.
const LIST_ROLE_AGE: Time = 6_000_000;
/// Remembered session writes are folded into one floor after this long, in us.
const SESSION_SPAN: Time = 30_000_000;
/// Advice to a client whose write cannot go out now, in us: an election takes seconds.
const WRITE_RETRY_AFTER: Time = 500_000;

// ---- The router ---------------------------------------------------------------------------------------

/// Decides for one driver. It holds no clock and does no I/O: hand it what happened, carry out what it says.
#[derive(Default)]
pub struct Router {
    set: Settings,
    now: Time,
    seq: u64,
    pub(crate) members: BTreeMap<MemberId, Seen>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) open: FxHashMap<RequestId, Open>,
    /// In the order of their arrival.
    pub(crate) held: Vec<(u64, RequestId)>,
    /// Kept for its room: what one round goes through.
    round: Vec<((bool, u32), u64, RequestId)>,
    service: Vec<Service>,
    /// The silence limit of this step.
    limit: Time,
    signs: Signs,
    sessions: Sessions,
    wake: Option<Time>,
    lists: ListCalls,
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
    fn retune(&mut self, set: &Settings) {
        let same = |n: usize| self.set.classes.get(n) == set.classes.get(n);
        let guess = |(n, c): (usize, &Class)| if same(n) { self.service[n] } else { Service::guess(c) };
        self.service = set.classes.iter().enumerate().map(guess).collect();
        self.set = set.clone();
    }

    fn absorb(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.list(*kind, members),
            Event::Request { id, class, group, deadline, session, token_age, proven, repeat } => {
                let Some(kind) = self.set.classes.get(*class) else {
                    return out.push(Action::Fail { id: *id });
                };
                if self.open.contains_key(id) {
                    return;
                }
                // Where writes are remembered, an age on the request means nothing, 0 included.
                let (name, age) = (session.as_deref().unwrap_or_default(), token_age.unwrap_or(0));
                let token = match (kind.need, self.set.session_marks) {
                    (Need::Session, SessionMarks::Remembered) => self.sessions.written(name),
                    (Need::Session, SessionMarks::Carried) if age > 0 => self.now.saturating_sub(age),
                    _ => 0,
                };
                self.seq += 1;
                let open = Open {
                    class: *class,
                    group: *group,
                    session: session.clone(),
                    token,
                    proven: *proven,
                    seq: self.seq,
                    arrived: self.now,
                    deadline: *deadline,
                    repeat: *repeat,
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

    // ---- Ordinary path: gate, pick, hold queue -------------------------------------------------------

    /// The position that a member must have reached for this read to be sent to it now.
    fn required(&self, open: &Open) -> Position {
        match self.set.classes[open.class].need {
            Need::Any => 0,
            Need::Bounded(age) => self.now.saturating_sub(age),
            Need::Session => open.token,
            Need::Fresh | Need::Write => Position::MAX,
        }
    }

    /// The freshness gate. A position heard is a proven lower bound; where members check for themselves, one
    /// whose last known lag says that it should have got there is good for a try until it has missed. One
    /// never heard of is tried on a usual lag: a miss costs it nothing and tells its position, as a probe
    /// would for a price. A token that members do not know they cannot check: then only proof counts.
    fn qualifies(&self, m: &Seen, open: &Open) -> bool {
        let required = self.required(open);
        if m.position >= required {
            return true;
        }
        let checked = self.set.when_behind != WhenBehind::Answers && !open.missed && !open.proven;
        let fresh = self.now.saturating_sub(m.heard) <= ESTIMATE_TRUST;
        let lag = m.lag.map_or(Some(UNHEARD_LAG), |lag| fresh.then_some(lag));
        checked && lag.is_some_and(|lag| self.now.saturating_sub(lag) >= required)
    }

    /// Replicas with room for this read that it has not tried, each with its rank: the fewest own reads out
    /// first; of equals those connected to before others, which have their turn by lot, those with fewer slow
    /// answers, with a working connection, and near. What is left is decided by each one's own lot.
    fn replicas<'a>(&'a self, open: &'a Open) -> impl Iterator<Item = (Rank, MemberId, &'a Seen)> {
        let (primary, faulty) = (self.primary(open.group), self.idle_fault());
        let fits = move |id, m: &Seen| self.usable(m) && self.room((id, m), open, (m.reads, MEMBER_READS));
        let sound = move |id, m| {
            Some(id) != primary && !open.tried(id) && fits(id, m) && self.may_open((id, m), open, primary)
        };
        self.of_group(open.group).filter(move |(id, m)| sound(*id, m)).map(move |(id, m)| {
            let dead = faulty && m.idle(self.now, IDLE_LEAST);
            let lot = lot(self.set.seed, open.seq, u64::from(id.0));
            (((m.reads, self.early(id, m), self.slow(m), dead, m.zone != self.set.zone), lot), id, m)
        })
    }

    /// The span over which all routers spread what they might do at one moment.
    fn turns(&self, most: Time) -> Time {
        (Time::from(self.set.instances) * TURN_EACH).min(most)
    }

    /// Never connected to, and before its turn: all routers may come to know it at one moment, which adds up.
    fn early(&self, id: MemberId, m: &Seen) -> bool {
        let turn = || self.turns(TURN_MOST) as f64 * lot(self.set.seed, u64::from(id.0), TURN_EACH);
        m.last_sent == 0 && self.now < m.quiet_since + turn() as Time
    }

    /// Before a member's turn it is connected to where no other replica that could serve has been, and one by
    /// one for reads that find no room elsewhere for a while, which costs them a part of their aim.
    fn may_open(&self, (id, m): (MemberId, &Seen), open: &Open, primary: Option<MemberId>) -> bool {
        let waited = self.now >= open.arrived + ASK_PATIENCE;
        let serves = |(other, m): (_, &Seen)| Some(other) != primary && m.last_sent > 0 && self.usable(m);
        let gap = || self.groups.get(&open.group).is_some_and(|g| self.now >= g.opened + TURN_GAP);
        !self.early(id, m) || !self.of_group(open.group).any(serves) || waited && gap()
    }

    /// Rank by slow answers lately. A cold member, new to it, ranks no better than all do together, or it
    /// would be everyone's first choice when the others are slow.
    fn slow(&self, m: &Seen) -> u8 {
        let common = if m.cold_from.is_some() { self.signs.pool.now(self.now, POOL_TIME) } else { 1.0 };
        ((1.0 - m.ease.now(self.now, EASE_TIME).min(common)) * SLOW_STEPS) as u8
    }

    /// Where a read goes now: the first replica that qualifies. With none, one whose position is unknown
    /// is asked at a time, and the read waits for its word; then the primary, if it has room to spare.
    fn pick_read(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<MemberId> {
        let open = &self.open[&id];
        let (group, since) = (open.group, open.arrived);
        // Nearly always one qualifies, and none of the others is put in order.
        let mut any = false;
        let fits = self.replicas(open).inspect(|_| any = true).filter(|(_, _, m)| self.qualifies(m, open));
        if let Some((_, id, _)) = fits.min_by(|a, b| by_rank(&a.0, &b.0)) {
            return Some(id);
        }
        let ranked = any.then(|| self.replicas(open).map(|(rank, id, _)| (rank, id)));
        let mut replicas: Vec<(Rank, MemberId)> = ranked.into_iter().flatten().collect();
        replicas.sort_by(|a, b| by_rank(&a.0, &b.0));
        let gap = match self.set.classes[open.class].need {
            Need::Bounded(age) => age.max(PROBE_GAP),
            _ => PROBE_GAP,
        };
        let late = self.now >= since + (self.set.classes[open.class].aim as f64 * TURN_SHARE) as Time;
        let id = self.primary(group).filter(|id| {
            let m = &self.members[id];
            let turn = m.last_sent > 0 || self.now >= m.quiet_since + self.turns(TURN_MOST);
            let fits = (late || turn) && self.usable(m) && !open.tried(*id);
            fits && self.room((*id, m), open, (m.out, PRIMARY_READS))
        });
        let asked = |m: &Seen| m.probe_out && m.probed.is_some_and(|t| self.now < t + ASK_PATIENCE);
        let mut waits = replicas.iter().any(|(_, id)| asked(&self.members[id]));
        for (_, id) in replicas {
            waits = waits || self.probe(id, gap, out);
        }
        id.filter(|_| !waits || self.now > since + ASK_PATIENCE)
    }

    /// Members in doubt are asked when a request could use them, at growing pauses: hundreds of drivers that
    /// asked by the clock would ask in vain most of the time.
    fn ask_doubted(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let now = self.now;
        let due = |m: &Seen| m.doubt.as_ref().is_some_and(|d| !d.open && now >= d.next);
        for id in self.chosen(group, due) {
            self.probe(id, PROBE_GAP, out);
            let Some(d) = self.members.get_mut(&id).and_then(|m| m.doubt.as_mut()) else { continue };
            d.pause = (d.pause * 2).min(DOUBT_PAUSE_MOST);
            d.next = now + spread(d.pause, lot(self.set.seed, now, u64::from(id.0)));
            d.open = !self.set.probing;
        }
    }

    fn dispatch(&mut self, out: &mut Vec<Action>) {
        // Those worth most first, of equals the oldest; what is past its aim, worth little now, comes last.
        let mut round = std::mem::take(&mut self.round);
        let class = |o: &Open| &self.set.classes[o.class];
        let rank = |o: &Open| (self.now > o.arrived + class(o).aim, (1e6 / class(o).worth) as u32);
        round.extend(self.held.iter().filter_map(|(seq, id)| Some((rank(self.open.get(id)?), *seq, *id))));
        round.sort_unstable();
        for (_, _, id) in round.drain(..) {
            let Some(open) = self.open.get(&id) else { continue };
            let class = &self.set.classes[open.class];
            let half = (open.arrived + open.deadline.max(open.arrived)) / 2;
            let untried = class.need == Need::Write && !open.written && self.now + HALF_LEAD >= half;
            let hopeless = untried || self.in_vain(open);
            if hopeless || self.now + ANSWER_LEAD >= open.deadline || !self.allows(open, None).0 {
                self.give_up(id, out);
                continue;
            }
            if self.lists.holds(self.now) {
                // Nothing is sent by a list that may be overruled: it waits for discovery's word as for room.
                if self.now >= self.last_call(open) {
                    self.give_up(id, out);
                }
                continue;
            }
            let (need, group) = (class.need, open.group);
            self.ask_doubted(group, out);
            match need {
                Need::Write | Need::Fresh => self.dispatch_current(id, need, out),
                _ => {
                    let open = &self.open[&id];
                    let over = self.now >= self.last_call(open) || self.crowded_out(open);
                    if let Some(m) = self.pick_read(id, out) {
                        self.send(id, m, out);
                    } else if over {
                        self.give_up(id, out);
                    }
                }
            }
        }
        self.round = round;
    }

    /// A read with too little time left for an answer: a member would work on it in vain, and jam the more.
    /// Some are sent all the same, as nothing else may tell when a jam is over.
    fn in_vain(&self, open: &Open) -> bool {
        let (class, left) = (&self.set.classes[open.class], open.deadline.saturating_sub(self.now) as f64);
        let needs = self.service[open.class].learned(LATENCY_WEIGHT).map_or(0.0, |mean| mean * LEFT_FACTOR);
        let short = class.need != Need::Write && left < needs;
        short && lot(self.set.seed, open.seq, HELD_TICK) >= LEFT_TRIED
    }

    /// Overload: members that would do have had no room for this read for as long as the queue may last (for
    /// a position or a primary it may wait until the aim). Can hurt in a short standstill of all members.
    fn crowded_out(&self, open: &Open) -> bool {
        let reads = self.set.classes.iter().filter(|c| !matches!(c.need, Need::Write | Need::Fresh));
        let tightest = reads.map(|c| c.aim).min().unwrap_or(0);
        let turns = self.of_group(open.group).any(|(id, m)| self.early(id, m));
        let share = if turns { TURN_HOLD } else { [HOLD_SHARE, 0.0][usize::from(open.repeat)] };
        let would_do = |(_, m): (MemberId, &Seen)| self.usable(m) && self.qualifies(m, open);
        self.now >= open.arrived + (tightest as f64 * share) as Time
            && self.of_group(open.group).any(would_do)
    }

    /// When a held read must go out if it is still to make its aim; past its aim, its deadline counts where
    /// late answers are worth something.
    fn last_call(&self, open: &Open) -> Time {
        let class = &self.set.classes[open.class];
        let until = if class.late_value > 0.0 { open.deadline } else { open.arrived + class.aim };
        until.saturating_sub((self.service[open.class].mean as Time).min(class.aim / 2))
    }

    fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let faulty = self.idle_fault();
        let (Some(open), Some(m)) = (self.open.get_mut(&id), self.members.get_mut(&member)) else { return };
        unhold(&mut self.held, (open.seq, id));
        // Connections that were idle here lose what is sent on them: those to this member are closed first,
        // so that the request opens a new one. Costs a handshake; can hurt where those are slow.
        let link = match (m.idle(self.now, IDLE_LEAST), faulty) {
            (true, true) => Link::Fresh,
            (true, false) => Link::Idle,
            _ => Link::Used,
        };
        if link == Link::Fresh {
            out.push(Action::CloseIdle { member });
        }
        // Only answers show that a connection works; what is sent on a dead one keeps it from being idle.
        if link == Link::Fresh || m.last_used.is_none() {
            m.last_used = Some(self.now);
        }
        open.attempts.push(Attempt { member, sent: self.now, link, fate: Fate::Out });
        m.quiet_since = if m.out == 0 { self.now } else { m.quiet_since };
        m.out += 1;
        let first = self.groups.get_mut(&open.group).filter(|_| m.last_sent == 0);
        first.into_iter().for_each(|g| g.opened = self.now);
        let class = &self.set.classes[open.class];
        m.reads += u32::from(class.need != Need::Write);
        m.last_sent = self.now;
        // Lost on the way: an answer overdue from a member that answers others in time is waited for no
        // longer, where a repeat is allowed and can still make the aim. Repeats can hurt if work is uneven.
        let mean = self.service[open.class].mean;
        let lost = mean * LOST_FACTOR;
        let again = self.now + (mean + lost) as Time <= open.arrived + class.aim;
        let stop =
            again && class.repeat != Repeat::Unsafe && m.ease.share >= LOST_EASE && m.cold_from.is_none();
        out.push(Action::Send { id, member, stop_at: stop.then_some(self.now + lost as Time) });
    }

    // ---- Positions and primary -----------------------------------------------------------------------

    /// The primary; while none is known, one that is named so and can be reached.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        let named = || self.of_group(group).find(|(_, m)| m.named() && self.reachable(m)).map(|(id, _)| id);
        self.groups.get(&group).and_then(|g| g.primary).or_else(named)
    }

    /// Takes in what a member says of itself. Positions are times, so the newest evidence of a role is the
    /// one with the highest: a returning old primary or a late list cannot overrule it.
    fn learn(&mut self, id: MemberId, word: Note, exact: bool, out: &mut Vec<Action>) {
        let Note { position, role } = word;
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = position {
            m.position = m.position.max(p);
            if exact {
                m.lag = Some(self.now.saturating_sub(p));
                m.heard = self.now;
            }
        }
        let g = self.groups.entry(m.group).or_default();
        match role {
            Some(Role::Primary) => {
                let as_of = position.unwrap_or(if exact { self.now } else { 0 });
                if as_of >= g.as_of || g.primary.is_none() && exact {
                    g.as_of = as_of;
                    m.replica_at = 0;
                    let old = g.last.replace(id).filter(|o| *o != id);
                    g.primary = Some(id);
                    if let Some(old) = old {
                        out.push(Action::Log(format!("group {}: member {} is now primary", m.group, id.0)));
                        self.rescue(old, out);
                    }
                }
            }
            Some(Role::Replica) if exact || position.is_some_and(|p| p > g.as_of) => {
                m.replica_at = self.now;
                g.primary = g.primary.filter(|p| *p != id);
            }
            _ => {}
        }
    }

    /// What needs the primary waits for this router's turn, and goes one by one until all have had theirs.
    fn before_turn(&self, open: &Open) -> bool {
        let span = self.turns((self.set.classes[open.class].aim as f64 * TURN_SHARE) as Time);
        let turn = (span as f64 * lot(self.set.seed, open.group, TURN_EACH)) as Time;
        let out = self.primary(open.group).is_some_and(|id| self.members[&id].out > 0);
        self.groups.get(&open.group).is_some_and(|g| self.now < g.since + if out { span } else { turn })
    }

    fn takes_writes(&self, id: MemberId, open: &Open) -> bool {
        let m = &self.members[&id];
        self.reachable(m) && self.room((id, m), open, (m.out, MEMBER_WRITES))
    }

    /// A write or fresh read goes to the primary. While none is known, one held write at a time tries the
    /// members whose role is unknown, past each 'miss'.
    fn dispatch_current(&mut self, id: RequestId, need: Need, out: &mut Vec<Action>) {
        let open = &self.open[&id];
        let group = open.group;
        if self.before_turn(open) {
            return;
        }
        if let Some(m) = self.primary(group) {
            if self.takes_writes(m, open) && self.allows(open, Some(m)).0 {
                self.send(id, m, out);
            } else if !self.reachable(&self.members[&m]) {
                self.seek_primary(group, out);
            }
            return;
        }
        // Any number may stand in a request: one that is no group's must leave nothing behind.
        if self.of_group(group).next().is_none() {
            return;
        }
        let mut ids = self.chosen(group, |m| m.replica_at == 0 || self.now >= m.replica_at + SCOUT_GAP);
        ids.retain(|m| self.takes_writes(*m, open));
        let spare = need == Need::Write && open.attempts.len() + 2 <= self.set.max_attempts as usize;
        let next = ids.into_iter().min_by_key(|m| self.members[m].replica_at);
        self.seek_primary(group, out);
        let g = self.groups.entry(group).or_default();
        if let Some(m) = next.filter(|_| spare && self.now >= g.next_scout) {
            g.next_scout = self.now + SCOUT_GAP;
            self.send(id, m, out);
        }
    }

    /// Asks a group's members for their role while writes wait for a primary; few at a time where none was
    /// ever known here, as all routers may have started at once, and a probe is a connection, too.
    fn seek_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let known = self.groups.get(&group).is_none_or(|g| g.last.is_some());
        let asked = self.chosen(group, |m| m.probe_out).len();
        let few = if known { usize::MAX } else { SEEK_FEW.saturating_sub(asked) };
        let mut ids = self.chosen(group, |m| !m.probe_out);
        ids.sort_by_key(|id| (lot(self.set.seed, u64::from(id.0), SEEK_GAP) * 1e9) as u64);
        ids.into_iter().filter(|id| self.probe(*id, SEEK_GAP, out)).take(few).for_each(drop);
    }

    fn of_group(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &Seen)> {
        let ids = self.groups.get(&group).map_or(&[][..], |g| &g.members);
        let known = ids.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)));
        known.filter(move |(_, m)| m.group == group)
    }

    fn chosen(&self, group: GroupId, fits: impl Fn(&Seen) -> bool) -> Vec<MemberId> {
        self.of_group(group).filter(|(_, m)| fits(m)).map(|(id, _)| id).collect()
    }

    fn probe(&mut self, id: MemberId, gap: Time, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return false };
        let lost = m.probed.is_none_or(|t| now >= t + PROBE_PATIENCE);
        let due = m.probed.is_none_or(|t| now >= t + gap);
        let ask = self.set.probing && m.listed && due && (lost || !m.probe_out);
        if ask {
            (m.probed, m.probe_out) = (Some(now), true);
            out.push(Action::Probe { member: id });
        }
        ask
    }

    // ---- Health and cold members ---------------------------------------------------------------------

    fn reachable(&self, m: &Seen) -> bool {
        let doubted = m.doubt.as_ref().is_some_and(|d| !d.open || m.out > 0);
        self.now >= m.rest_until && m.listed && !doubted && !m.quiet(self.now, self.limit)
    }

    /// Whether a read may go there: a member that errs quickly always has the shortest queue, so one with
    /// more errors than this router sees everywhere (worthless requests, lossy links) gets single trials.
    /// Can hurt where most fail.
    fn usable(&self, m: &Seen) -> bool {
        let sound = m.errors.0 < ERROR_LIMIT + ERROR_COMMON * self.signs.errors.0;
        self.reachable(m) && (sound || m.reads == 0 && self.now >= m.last_sent + TRIAL_GAP)
    }

    /// Whether a member that has `count` out is under this router's share of the bound `all`: the fixed one,
    /// less while the member is cold or answers late. The last makes up for the work of other routers, which
    /// our own count cannot show: a jam of any cause (a lost member's load, a slow machine, too many routers)
    /// ends in slow answers. It can hurt where work is so uneven that sound members answer late.
    /// A share below one is kept by lot, request by request: rounded up it would add up over many routers.
    fn room(&self, (id, m): (MemberId, &Seen), open: &Open, (count, all): (u32, u32)) -> bool {
        let even = |all: u32| f64::from(all.div_ceil(self.set.instances.min(SHARERS_MOST)));
        let warmth = m.warmth(self.now, &self.set.rules);
        let ease = m.ease.now(self.now, EASE_TIME) * self.signs.pool.now(self.now, POOL_TIME);
        let few = even(MEMBER_READS) * warmth * ease >= 1.0;
        let bound = even(all) * ease * if few { warmth } else { 1.0 };
        // One lot for all members, or some member would always do.
        if count >= bound.max(1.0) as u32 || lot(!self.set.seed, open.seq, 0) >= bound {
            return false;
        }
        // A cold member's budget. What is out finishes at the member's pace, so that a bound on it bounds the
        // rate; work that ended without an answer was sent, too. Where a share is below one read, lots do.
        let sent = m.spent.len() as u32 + m.out;
        m.cold_from.is_none()
            || (few || self.cold_lot((id, m), open, warmth))
                && sent < ((even(MEMBER_WRITES) * warmth * ease) as u32).max(2)
    }

    /// Whether this request is among those that a cold member may have. It may be the first choice of every
    /// router, so that its share of its group's first tries is all that bounds it: so many times the even
    /// share of one as warm, for any number of routers. A group's shares adjoin on the circle of one lot, so
    /// that where all are cold hardly a request finds none. Clients' repeats come on top, and only half-warm
    /// members have room for them. What must be current can go nowhere else; it is a part of a primary's
    /// work, and leaves a cold one no reads.
    fn cold_lot(&self, (id, m): (MemberId, &Seen), open: &Open, warmth: f64) -> bool {
        if matches!(self.set.classes[open.class].need, Need::Write | Need::Fresh) {
            return lot(!self.set.seed, open.seq, u64::from(id.0)) < COLD_CURRENT * warmth;
        }
        let primary = self.primary(m.group);
        if open.repeat && warmth < COLD_REPEATS || primary == Some(id) {
            return false;
        }
        let even = COLD_READS / self.of_group(m.group).filter(|(_, m)| m.listed).count().max(1) as f64;
        let others = self.of_group(m.group).take_while(|(other, _)| *other != id);
        let cold = others.filter(|(id, m)| m.listed && m.cold_from.is_some() && Some(*id) != primary);
        let before: f64 = cold.map(|(_, m)| even * m.warmth(self.now, &self.set.rules)).sum();
        (lot(!self.set.seed, open.seq, 1) - before).rem_euclid(1.0) < even * warmth
    }

    fn silence_limit(&self) -> Time {
        let mean = self.service.iter().fold(0.0f64, |a, b| a.max(b.mean));
        ((mean * SILENCE_FACTOR) as Time)
            .clamp(SILENCE_LEAST, SILENCE_MOST.max((mean * SILENCE_MEANS) as Time))
    }

    fn watch(&mut self, out: &mut Vec<Action>) {
        if self.lists.calls(self.now) {
            out.push(Action::Follow);
        }
        let (now, limit) = (self.now, self.limit);
        let (warm, span) = (self.set.rules.warm_after, self.set.rules.fall_span);
        let mut quiet = Vec::new();
        for (id, m) in &mut self.members {
            if m.cold_from.is_some_and(|t| now >= t + warm) {
                m.cold_from = None;
            }
            m.spent.retain(|t| now < t + span);
            if m.quiet(now, limit) {
                quiet.push((*id, !self.set.probing || now >= m.quiet_since + limit * SILENCE_EXCUSE));
            }
        }
        for (id, lost) in quiet {
            self.probe(id, limit, out);
            if lost {
                self.suspect(id, (false, false), out);
            }
        }
    }

    /// A member answered work: it is sound again, and perhaps new.
    fn alive(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let (now, warm) = (self.now, self.set.rules.warm_after);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.quiet_since = now;
        m.reopen(now, RESTART_AFTER, warm);
        let (zone, Some(d)) = (m.zone, m.doubt.take()) else { return };
        if d.refused && now >= d.since + RESTART_AFTER {
            out.push(Action::Log(format!("member {} is back after {} ms", id.0, (now - d.since) / 1_000)));
        }
        self.trust_zone(zone);
    }

    /// A member could not be reached, or has answered no work for long: its reads go elsewhere. Catches
    /// crashes, hangs, cut links and lost zones, and takes a standstill for one, which costs work done.
    fn suspect(&mut self, id: MemberId, (refused, open): (bool, bool), out: &mut Vec<Action>) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        let (pause, lot) = (DOUBT_PAUSE, lot(self.set.seed, now, u64::from(id.0)));
        let next = now + spread(pause, lot);
        let d =
            m.doubt.get_or_insert(Doubt { since: now, next, pause, refused, open: true, inferred: false });
        d.refused |= refused;
        let closes = d.open && !open;
        d.open &= open;
        let zone = m.zone;
        if closes {
            self.rescue(id, out);
            self.doubt_zone(zone, out);
        }
    }

    /// Several members of a zone went silent and none was heard since: it is lost, and its others are left
    /// alone before each has cost a request. Can hurt where chance strikes so many alone.
    fn doubt_zone(&mut self, zone: u32, out: &mut Vec<Action>) {
        let (since, pause, next) = (self.now, DOUBT_PAUSE_MOST, self.now + DOUBT_PAUSE_MOST);
        let after = since.saturating_sub(ZONE_SPAN);
        let Some(refused) = silent(&self.members, zone, after, ZONE_MEMBERS) else { return };
        let mut rest = Vec::new();
        let trusted = |m: &Seen| m.listed && m.zone == zone && m.doubt.is_none();
        for (id, m) in self.members.iter_mut().filter(|(_, m)| trusted(m)) {
            m.doubt = Some(Doubt { since, next, pause, refused, open: false, inferred: true });
            rest.push(*id);
        }
        rest.into_iter().for_each(|id| self.rescue(id, out));
    }

    /// A zone has been heard: its members that were left alone for its sake may be tried.
    fn trust_zone(&mut self, zone: u32) {
        let (now, warm) = (self.now, self.set.rules.warm_after);
        let inferred = |m: &Seen| m.zone == zone && m.doubt.as_ref().is_some_and(|d| d.inferred);
        self.members.values_mut().filter(|m| inferred(m)).for_each(|m| m.reopen(now, RESTART_AFTER, warm));
    }

    fn probed(&mut self, id: MemberId, ok: bool, report: Option<Report>, out: &mut Vec<Action>) {
        let limit = self.silence_limit();
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probe_out = false;
        if ok {
            m.reopen(self.now, RESTART_AFTER, self.set.rules.warm_after);
            if m.doubt.is_some() {
                let zone = m.zone;
                self.trust_zone(zone);
            }
            self.learn_report(id, report, out);
        } else if m.out == 0 || m.quiet(self.now, limit) {
            let open = m.out == 0;
            self.suspect(id, (false, open), out);
        }
    }

    fn learn_report(&mut self, id: MemberId, report: Option<Report>, out: &mut Vec<Action>) {
        let Some(r) = report else { return };
        let role = r.primary.map(|p| if p { Role::Primary } else { Role::Replica });
        let position = r.position.map(|p| p.saturating_sub(REPORT_ROUNDING));
        self.learn(id, Note { position, role }, false, out);
    }

    // ---- Attempts and final answers ------------------------------------------------------------------

    fn ended(&mut self, (id, n): Which, outcome: Outcome, (note, report): Word, spent: Time, out: Out) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(n).filter(|a| a.fate == Fate::Out) else { return };
        let (member, sent, link) = (a.member, a.sent, a.link);
        use Outcome::*;
        a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (class, session) = (open.class, open.session.clone());
        open.errors += u32::from(outcome == Errored);
        let write = self.set.classes[class].need == Need::Write;
        open.missed |= outcome == Miss;
        open.written |= !matches!(outcome, Refused | Superseded);
        if open.attempts.iter().all(|a| a.fate != Fate::Out) {
            if open.done {
                self.open.remove(&id);
            } else if let Err(at) = self.held.binary_search(&(open.seq, id)) {
                self.held.insert(at, (open.seq, id));
            }
        }
        let slow = (self.set.classes[class].aim as f64 * SLOW_SHARE) as Time;
        // An attempt is lost when it was broken off or none of its kind takes so long.
        let long = (now - sent) as f64 >= self.service[class].mean * LOST_FACTOR;
        let lost = outcome == Reset || long && matches!(outcome, Overdue | Cancelled);
        self.signs.judge_links(link, lost, outcome);
        let bad = matches!(outcome, Errored | Saturated | Reset);
        if bad || outcome == Completed {
            self.signs.errors.see(bad, ERROR_COMMON_WEIGHT);
        }
        let late = matches!(outcome, Completed | Overdue | Cancelled) && now >= sent + slow;
        let one = self.set.instances.min(SHARERS_MOST) >= MEMBER_READS;
        let Easing { limit, down, worse, none, better } = if one { EASING_ONE } else { EASING };
        if late && (now - sent) as f64 >= self.set.classes[class].aim as f64 * limit || outcome == Saturated {
            self.signs.pool.down(now, POOL_TIME, down, EASE_LEAST);
        } else if outcome == Completed {
            self.signs.pool.up(now, POOL_TIME, POOL_UP);
        }
        if let Some(m) = self.members.get_mut(&member) {
            if outcome == Saturated {
                m.rest_until = now + FULL_REST;
            }
            if (late || outcome == Saturated) && sent >= m.eased {
                let worse = if matches!(outcome, Overdue | Cancelled) { none } else { worse };
                m.ease.down(now, EASE_TIME, worse, EASE_LEAST);
                m.eased = now;
            } else if !late && outcome == Completed {
                m.ease.up(now, EASE_TIME, better);
            }
            m.ended(outcome, write, now);
            if bad || outcome == Completed {
                m.errors.see(bad, ERROR_WEIGHT);
            }
        }
        match outcome {
            Completed | Errored | Saturated | Miss => self.alive(member, out),
            Refused => self.suspect(member, (true, false), out),
            // One broken attempt among others that are answered was lost on the way; with none left out
            // there, the member may have died: one request at a time will tell.
            Reset if self.members.get(&member).is_some_and(|m| m.out == 0) => {
                self.suspect(member, (false, true), out);
            }
            _ => {}
        }
        self.service[class].see(outcome, spent, LATENCY_WEIGHT, LOST_FACTOR);
        let word = (outcome, write, session, note.and_then(|n| n.position));
        if let (Completed, true, Some(s), Some(p)) = word {
            self.sessions.remember(s, p, self.now, SESSION_SPAN);
        }
        if let Some(note) = note {
            // The commit of a write is rounded up and may lie a little ahead of the member's proven position.
            let position = note.position.map(|p| if write { p.saturating_sub(REPORT_ROUNDING) } else { p });
            self.learn(member, Note { position, ..note }, true, out);
        }
        self.learn_report(member, report, out);
    }

    fn idle_fault(&self) -> bool {
        self.signs.idle_lost.0 - self.signs.used_lost.0 > LINK_LIMIT
    }

    /// The one judge of further attempts and of refusals: whether this request may be sent (again) to a
    /// member, and whether it may be refused, by what its earlier attempts may have done.
    fn allows(&self, open: &Open, to: Option<MemberId>) -> (bool, bool) {
        let write = self.set.classes[open.class].need == Need::Write;
        let first = open.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let (send, refuse) = match (self.set.classes[open.class].repeat, first) {
            (Repeat::Safe, _) | (_, None) => (true, true),
            (Repeat::Unsafe, Some(_)) => (false, false),
            (Repeat::Keyed { group, window }, Some(first)) => {
                let zone = |id: MemberId| self.members.get(&id).map(|m| m.zone);
                let forgets = |id: MemberId| group == DedupGroup::Zone && zone(id) != zone(first.member);
                let remembered = self.now < first.sent + window;
                (remembered && !to.is_some_and(forgets), group == DedupGroup::All)
            }
        };
        // A read that two members answered with an error is at fault itself.
        let send = send && (write || open.errors < ERRORS_MOST);
        (send && open.attempts.len() < self.set.max_attempts.min(open.most) as usize, refuse)
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let write = self.set.classes[open.class].need == Need::Write;
        if self.allows(open, None).1 {
            let away = if write { WRITE_RETRY_AFTER } else { self.set.max_retry_after };
            let retry_after = self.set.retry_after.then(|| away.min(self.set.max_retry_after));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(id, out);
    }

    /// The request is over: stop what is still out for it, where stopping can save work.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        unhold(&mut self.held, (open.seq, id));
        open.done = true;
        let write = self.set.classes[open.class].need == Need::Write;
        let left = open.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out);
        if self.set.cancelling && !write && !open.streaming {
            out.extend(left.clone().map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
        }
        if left.count() == 0 {
            self.open.remove(&id);
        }
    }

    /// A member has gone silent or lost its role: what waits there goes elsewhere where that is of use.
    fn rescue(&mut self, member: MemberId, out: &mut Vec<Action>) {
        let fits = |(_, o): &(&RequestId, &Open)| !o.done && !o.streaming && self.set.cancelling;
        let mut open: Vec<_> = self.open.iter().filter(fits).collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        for (id, open) in open {
            let class = &self.set.classes[open.class];
            let moved = self.primary(open.group).is_some_and(|p| p != member);
            let useful = match class.repeat {
                Repeat::Safe => self.now < open.arrived + class.aim || class.late_value > 0.0,
                _ => moved && self.allows(open, None).0,
            };
            for (n, a) in open.attempts.iter().enumerate() {
                if useful && a.member == member && a.fate == Fate::Out {
                    out.push(Action::Cancel { id: *id, attempt: n as u32 });
                }
            }
        }
    }

    // ---- Member list ---------------------------------------------------------------------------------

    fn list(&mut self, kind: ListKind, entries: &[Member]) {
        match kind {
            ListKind::Failed => return self.lists.failed(self.now, &self.set),
            ListKind::Disk if self.set.subscribe => self.lists.started(self.now, &self.set),
            ListKind::Disk | ListKind::Operator => {}
            ListKind::Full | ListKind::Changes => self.lists.answered(),
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) && !self.set.rules.removal_not_binding {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                (m.listed, m.gone) = (false, true);
            }
        }
        for e in entries {
            self.entry(e, kind == ListKind::Disk);
        }
        // Members are replaced all the time, under new ids. Of one that is gone and has nothing out nothing
        // comes; should it return, the list tells of its start, and it proves its position anew.
        self.members.retain(|_, m| m.listed || !m.gone || m.out > 0);
        for g in self.groups.values_mut() {
            g.members.retain(|id| self.members.contains_key(id));
            g.primary = g.primary.filter(|id| self.members.get(id).is_some_and(|m| m.listed));
        }
    }

    fn entry(&mut self, e: &Member, disk: bool) {
        let (now, warm) = (self.now, self.set.rules.warm_after);
        if e.condition == Condition::Out && !self.members.contains_key(&e.id) {
            return;
        }
        let m = self.members.entry(e.id).or_insert_with(|| Seen { quiet_since: now, ..Seen::default() });
        (m.zone, m.group, m.gone) = (e.zone, e.group, e.condition == Condition::Out);
        // Where being called gone does not bind, only draining closes a member: a list that calls all members
        // gone while they serve then changes nothing, and one that is really gone shows by its own answers.
        if e.condition != Condition::Out || !self.set.rules.removal_not_binding {
            m.listed = e.condition == Condition::In;
        }
        if e.up_since != m.up_since {
            m.up_since = e.up_since;
            // A start that seems to lie ahead has only just happened.
            m.cold_from = e.up_since.map(|t| t.min(now)).filter(|t| now < t + warm);
            (m.errors, m.doubt) = (Share::default(), None);
        }
        let g = self.groups.entry(e.group).or_insert_with(|| Group { since: now, ..Group::default() });
        if !g.members.contains(&e.id) {
            g.members.push(e.id);
        }
        let newly = e.primary && !m.head && e.condition == Condition::In;
        m.head = e.primary;
        let told = disk || self.set.list_role == ListRole::Late;
        if newly && told && (g.primary.is_none() || now > g.as_of + LIST_ROLE_AGE) {
            g.primary = Some(e.id);
            g.last = Some(e.id);
        }
    }

    // ---- Timers --------------------------------------------------------------------------------------

    /// One pending wake-up, for whatever only the clock can bring about.
    fn arm(&mut self, out: &mut Vec<Action>) {
        let (limit, mut next) = (self.limit, self.lists.due());
        let mut at = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        if !self.held.is_empty() {
            at(self.now + HELD_TICK);
        }
        for m in self.members.values() {
            if m.quiet(self.now, limit) {
                at(self.now + PROBE_GAP);
            } else if m.out > 0 {
                at(m.quiet_since + limit);
            }
        }
        let Some(next) = next.map(|t| t.max(self.now + self.set.period.max(1))) else { return };
        if self.wake.is_none_or(|w| next < w) {
            self.wake = Some(next);
            out.push(Action::Wake { after: next - self.now, tag: next });
        }
    }
}
