//! What contradicts what. Rules permit decisions; two versions contradict each other where one permits what the other
//! forbids. Their meet permits what both permit and nothing else: whoever acts by it contradicts neither.
//!
//! Each field of the settings is a chain or a small lattice of its own, from what permits more to what permits less, and
//! the meet of two versions is that of each field. Some fields say what members and wires are like rather than what may
//! be done; where two versions differ in one of those there is no meet, and no change from one to the other: it needs
//! another way, which [`Clash`] names.

use crate::interface::*;
use crate::settings::{FlatSettings, Names, SocketTimes};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// The settings that a whole fleet shares: those of a proxy but for its seed and zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// For the module, with the classes in the names' order.
    pub settings: Settings,
    /// For the members' side.
    pub times: SocketTimes,
}

/// Two versions that have no meet, or a version that cannot be acted on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clash {
    /// The field.
    pub place: String,
    /// Why, and what to do instead.
    pub why: String,
}

impl Display for Clash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

/// A decision that one version permits and the other forbids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The field.
    pub place: String,
    /// What is permitted by one alone.
    pub what: String,
    /// Permitted by the new one; else by the old one.
    pub by_new: bool,
}

impl Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (permits, forbids) = if self.by_new { ("new", "old") } else { ("old", "new") };
        write!(f, "{}: the {permits} rules permit {}, the {forbids} ones do not", self.place, self.what)
    }
}

impl FleetSettings {
    /// Reads the settings' JSON.
    ///
    /// # Errors
    /// With what is wrong with it.
    pub fn read(json: &Value) -> Result<Self, String> {
        let pairs = FlatSettings::from_json(json);
        let shared = FleetSettings {
            names: pairs.names()?,
            settings: pairs.settings(0)?,
            times: pairs.socket_times()?,
        };
        shared.settings.check().map_err(|e| e.to_string())?;
        let fault = shared.names.duplicates().next();
        if let Some(fault) = fault {
            return Err(format!("settings: {fault}"));
        }
        Ok(FleetSettings { settings: Settings { zone: 0, ..shared.settings }, ..shared })
    }

    fn classes(&self) -> BTreeMap<&str, &Class> {
        self.names.classes.iter().map(String::as_str).zip(&self.settings.classes).collect()
    }

    /// The strictest rules that contradict neither.
    ///
    /// # Errors
    /// All fields for which there are none.
    pub fn meet(&self, other: &FleetSettings) -> Result<FleetSettings, Vec<Clash>> {
        let mut clashes = Vec::new();
        let (mine, theirs) = (self.classes(), other.classes());
        let (mut names, mut classes) = (Vec::new(), Vec::new());
        for (name, class) in &mine {
            // A class that one of them does not know is asked for by nobody who goes by that one.
            let Some(with) = theirs.get(name) else { continue };
            match meet_class(class, with) {
                Ok(class) => {
                    names.push(name.to_string());
                    classes.push(class);
                }
                Err(why) => clashes.push(Clash { place: format!("services {name}"), why }),
            }
        }
        if classes.is_empty() && clashes.is_empty() {
            let why = "no class is in both; add the new ones first, and drop the old ones in a second change";
            clashes.push(Clash { place: "services".into(), why: why.into() });
        }
        let (a, b) = (&self.settings, &other.settings);
        for (place, same) in [
            ("family_info.session_marks", a.session_marks == b.session_marks),
            ("family_info.list_role", a.list_role == b.list_role),
            ("discovery", a.subscribe == b.subscribe),
            ("zones", self.names.zones == other.names.zones),
        ] {
            if !same {
                let why = "it says what members, lists or wires are like, and has no middle; start the proxies anew";
                clashes.push(Clash { place: place.into(), why: why.into() });
            }
        }
        if !clashes.is_empty() {
            return Err(clashes);
        }
        let tenants = &other.names.tenants;
        let tenants: Vec<String> =
            self.names.tenants.iter().filter(|t| tenants.contains(t)).cloned().collect();
        let settings = Settings {
            seed: 0,
            zone: 0,
            // Shares of what members take: the more there are, the smaller is each.
            instances: a.instances.max(b.instances),
            classes,
            period: a.period.max(b.period),
            subscribe: a.subscribe,
            list_role: a.list_role,
            when_behind: meet_behind(a.when_behind, b.when_behind),
            session_marks: a.session_marks,
            cancelling: a.cancelling && b.cancelling,
            probing: a.probing && b.probing,
            retry_after: a.retry_after && b.retry_after,
            max_retry_after: a.max_retry_after.min(b.max_retry_after),
            max_attempts: a.max_attempts.min(b.max_attempts),
            rules: Rules {
                cold_share: a.rules.cold_share.min(b.rules.cold_share),
                warm_after: a.rules.warm_after.max(b.rules.warm_after),
                fall_multiple: a.rules.fall_multiple.min(b.rules.fall_multiple),
                fall_span: a.rules.fall_span.max(b.rules.fall_span),
                drain_grace: a.rules.drain_grace.min(b.rules.drain_grace),
                removal_not_binding: a.rules.removal_not_binding && b.rules.removal_not_binding,
            },
        };
        let times = SocketTimes {
            keepalive: self.times.keepalive.min(other.times.keepalive),
            connect_timeout: self.times.connect_timeout.min(other.times.connect_timeout),
        };
        let names = Names { classes: names, tenants, zones: self.names.zones.clone() };
        Ok(FleetSettings { names, settings, times })
    }

    /// What a change to `new` permits that was forbidden, and forbids that was permitted, field by field.
    pub fn differences(&self, new: &FleetSettings) -> Vec<Difference> {
        let mut all = Vec::new();
        let mut tell =
            |place: String, what: String, by_new: bool| all.push(Difference { place, what, by_new });
        let (old_classes, new_classes) = (self.classes(), new.classes());
        for (name, class) in &old_classes {
            let place = format!("services {name}");
            let Some(with) = new_classes.get(name) else {
                tell(place, "requests of this class".into(), false);
                continue;
            };
            for (one, other, by_new) in [(*class, *with, false), (*with, *class, true)] {
                // What `one` permits and `other` does not: their meet differs from `one` there.
                let Ok(meet) = meet_class(one, other) else { continue };
                if meet.consistency != one.consistency {
                    tell(place.clone(), format!("answers that show {}", shows(one.consistency)), by_new);
                }
                if meet.effect != one.effect {
                    tell(place.clone(), format!("another attempt where it {}", repeats(one.effect)), by_new);
                }
                if meet.deadline != one.deadline {
                    tell(place.clone(), format!("answers after {} ms", meet.deadline / 1000), by_new);
                }
            }
            if meet_class(class, with).is_err() {
                tell(place, "what has no middle: read and write".into(), true);
            }
        }
        for name in new_classes.keys().filter(|name| !old_classes.contains_key(*name)) {
            tell(format!("services {name}"), "requests of this class".into(), true);
        }
        let (a, b) = (&self.settings, &new.settings);
        for (place, what, order) in [
            ("limits.max_attempts", "more attempts for a request", a.max_attempts.cmp(&b.max_attempts)),
            ("instances", "larger shares of a member", b.instances.cmp(&a.instances)),
            ("limits.cancelling", "attempts to be cancelled", a.cancelling.cmp(&b.cancelling)),
            ("limits.probing", "members to be probed", a.probing.cmp(&b.probing)),
            ("limits.retry_after", "advice when to come again", a.retry_after.cmp(&b.retry_after)),
            ("limits.max_retry_after_us", "longer advice", a.max_retry_after.cmp(&b.max_retry_after)),
            (
                "rules.cold_share",
                "more work at a cold member",
                a.rules.cold_share.total_cmp(&b.rules.cold_share),
            ),
            (
                "rules.warm_after_us",
                "a member to be warm sooner",
                b.rules.warm_after.cmp(&a.rules.warm_after),
            ),
            (
                "rules.fall_multiple",
                "more work at a cold member",
                a.rules.fall_multiple.total_cmp(&b.rules.fall_multiple),
            ),
            ("rules.fall_us", "more cold work in a row", b.rules.fall_span.cmp(&a.rules.fall_span)),
            (
                "rules.removal_not_binding",
                "requests to a member that is gone",
                a.rules.removal_not_binding.cmp(&b.rules.removal_not_binding),
            ),
        ] {
            if order.is_ne() {
                tell(place.into(), what.into(), order.is_lt());
            }
        }
        all
    }
}

fn shows(need: Consistency) -> String {
    match need {
        Consistency::Write => "the primary's own commit".into(),
        Consistency::Fresh => "every commit".into(),
        Consistency::Session => "no more than what the session has written".into(),
        Consistency::Bounded(age) => format!("data of up to {} ms ago", age / 1000),
        Consistency::Any => "data of any age".into(),
    }
}

fn repeats(repeat: Effect) -> String {
    match repeat {
        Effect::Safe => "may have run".into(),
        Effect::Keyed { group, window } => {
            format!("may have run, by its key for {} ms ({group:?})", window / 1000)
        }
        Effect::Unsafe => "has surely not run".into(),
    }
}

/// What an answer must show by both: less than either is not enough.
fn meet_need(a: Consistency, b: Consistency) -> Result<Consistency, String> {
    use Consistency::*;
    Ok(match (a, b) {
        (Write, Write) => Write,
        (Write, _) | (_, Write) => {
            return Err("a class cannot turn from read to write or back; take another name for it".into())
        }
        (Any, other) | (other, Any) => other,
        (Bounded(one), Bounded(other)) => Bounded(one.min(other)),
        (Session, Session) => Session,
        // Neither says what the other does; what shows every commit does by both.
        (Fresh, _) | (_, Fresh) | (Bounded(_), Session) | (Session, Bounded(_)) => Fresh,
    })
}

/// Where duplicates surely meet by both: the members of a zone and those of a group have nothing in common but themselves.
fn meet_repeat(a: Effect, b: Effect) -> Effect {
    use DedupScope::*;
    use Effect::*;
    match (a, b) {
        (Unsafe, _) | (_, Unsafe) => Unsafe,
        (Safe, other) | (other, Safe) => other,
        (Keyed { group: one, window: first }, Keyed { group: other, window: second }) => {
            let window = first.min(second);
            match (one, other) {
                (All, group) | (group, All) => Keyed { group, window },
                (Zone, Zone) => Keyed { group: Zone, window },
                (Group, Group) => Keyed { group: Group, window },
                (Zone, Group) | (Group, Zone) => Unsafe,
            }
        }
    }
}

fn meet_behind(a: WhenBehind, b: WhenBehind) -> WhenBehind {
    use WhenBehind::*;
    match (a, b) {
        // Where members may answer from old data only what is proven will do.
        (Answers, _) | (_, Answers) => Answers,
        (Waits(one), Waits(other)) => Waits(one.min(other)),
        (Waits(span), Refuses) | (Refuses, Waits(span)) => Waits(span),
        (Refuses, Refuses) => Refuses,
    }
}

fn meet_class(a: &Class, b: &Class) -> Result<Class, String> {
    let deadline = a.deadline.min(b.deadline);
    Ok(Class {
        consistency: meet_need(a.consistency, b.consistency)?,
        effect: meet_repeat(a.effect, b.effect),
        // An aim is a wish and no rule; the shorter one fits the shorter deadline.
        aim: a.aim.min(b.aim).min(deadline),
        deadline,
        importance: a.importance.min(b.importance),
        late_value: a.late_value.min(b.late_value),
    })
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
