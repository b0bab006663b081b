//! Compatibility of two versions of the settings. Rules permit decisions; two versions conflict where one
//! permits a decision that the other forbids. Their meet, in the sense of a lattice, permits what both permit
//! and nothing else: a proxy that acts by it conflicts with neither.
//!
//! Each field of the settings is a chain or a small lattice, ordered from more to less permissive, and the
//! meet of two versions is the meet of each field. Some fields describe members and protocols rather than
//! permitted decisions. Versions that differ in such a field have no meet, and a change from one to the other
//! is refused; [`Conflict`] says what to do instead.

use crate::interface::*;
use crate::settings::{FlatSettings, Names, SocketTimes};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{self, Display};

/// The settings that all proxies of a fleet share: all but a proxy's seed and zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// The names of classes, tenants and zones.
    pub names: Names,
    /// The settings of the router, with the classes in the order of their names in `names`.
    pub settings: Settings,
    /// Times of the connections to members.
    pub times: SocketTimes,
}

/// Why two versions have no meet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The field of the settings.
    pub field: String,
    /// Why, and what to do instead.
    pub reason: String,
}

impl Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// A decision that one of two versions permits and the other forbids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The field of the settings.
    pub field: String,
    /// The decision.
    pub decision: String,
    /// Whether the new version permits it; otherwise the old one does.
    pub by_new: bool,
}

impl Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (permits, forbids) = if self.by_new { ("new", "old") } else { ("old", "new") };
        write!(f, "{}: the {permits} rules permit {}, the {forbids} ones do not", self.field, self.decision)
    }
}

impl FleetSettings {
    /// Reads the settings from JSON.
    ///
    /// # Errors
    /// When they are incomplete or invalid.
    pub fn read(json: &Value) -> Result<Self, String> {
        let pairs = FlatSettings::from_json(json);
        let shared = FleetSettings {
            names: pairs.names()?,
            settings: pairs.settings(0)?,
            times: pairs.socket_times()?,
        };
        shared.settings.check().map_err(|e| e.to_string())?;
        let problem = shared.names.duplicates().next();
        if let Some(problem) = problem {
            return Err(format!("settings: {problem}"));
        }
        Ok(FleetSettings { settings: Settings { zone: 0, ..shared.settings }, ..shared })
    }

    fn classes(&self) -> BTreeMap<&str, &Class> {
        self.names.classes.iter().map(String::as_str).zip(&self.settings.classes).collect()
    }

    /// The strictest rules that conflict with neither version.
    ///
    /// # Errors
    /// With every field that has no meet.
    pub fn meet(&self, other: &FleetSettings) -> Result<FleetSettings, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        let (mine, theirs) = (self.classes(), other.classes());
        let (mut names, mut classes) = (Vec::new(), Vec::new());
        for (name, class) in &mine {
            // A class that only one version has is left out: proxies that act on the other version take no
            // requests of it.
            let Some(other_class) = theirs.get(name) else { continue };
            match meet_class(class, other_class) {
                Ok(class) => {
                    names.push(name.to_string());
                    classes.push(class);
                }
                Err(reason) => conflicts.push(Conflict { field: format!("services {name}"), reason }),
            }
        }
        if classes.is_empty() && conflicts.is_empty() {
            let reason =
                "no class is in both; add the new ones first, and drop the old ones in a second change";
            conflicts.push(Conflict { field: "services".into(), reason: reason.into() });
        }
        let (a, b) = (&self.settings, &other.settings);
        for (field, same) in [
            ("family_info.session_marks", a.session_marks == b.session_marks),
            ("family_info.list_role", a.list_role == b.list_role),
            ("discovery", a.subscribe == b.subscribe),
            ("zones", self.names.zones == other.names.zones),
        ] {
            if !same {
                let reason = "it says what members, lists or wires are like, and has no middle; start the proxies anew";
                conflicts.push(Conflict { field: field.into(), reason: reason.into() });
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let tenants = &other.names.tenants;
        let tenants: Vec<String> =
            self.names.tenants.iter().filter(|t| tenants.contains(t)).cloned().collect();
        let settings = Settings {
            seed: 0,
            zone: 0,
            // Each proxy takes one share of a member's capacity; more instances make smaller shares.
            instances: a.instances.max(b.instances),
            marks_retries: a.marks_retries && b.marks_retries,
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
                fall_window: a.rules.fall_window.max(b.rules.fall_window),
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

    /// The decisions that a change to `new` newly permits or forbids, field by field.
    pub fn differences(&self, new: &FleetSettings) -> Vec<Difference> {
        let mut all = Vec::new();
        let mut add =
            |field: String, decision: String, by_new: bool| all.push(Difference { field, decision, by_new });
        let (old_classes, new_classes) = (self.classes(), new.classes());
        for (name, class) in &old_classes {
            let field = format!("services {name}");
            let Some(other_class) = new_classes.get(name) else {
                add(field, "requests of this class".into(), false);
                continue;
            };
            for (one, other, by_new) in [(*class, *other_class, false), (*other_class, *class, true)] {
                // Where the meet differs from `one`, `one` permits what `other` does not.
                let Ok(meet) = meet_class(one, other) else { continue };
                if meet.consistency != one.consistency {
                    add(
                        field.clone(),
                        format!("answers that show {}", describe_consistency(one.consistency)),
                        by_new,
                    );
                }
                if meet.effect != one.effect {
                    add(
                        field.clone(),
                        format!("another attempt where it {}", describe_effect(one.effect)),
                        by_new,
                    );
                }
                if meet.deadline != one.deadline {
                    add(field.clone(), format!("answers after {} ms", meet.deadline / 1000), by_new);
                }
            }
            if meet_class(class, other_class).is_err() {
                add(field, "requests of another type, read or write".into(), true);
            }
        }
        for name in new_classes.keys().filter(|name| !old_classes.contains_key(*name)) {
            add(format!("services {name}"), "requests of this class".into(), true);
        }
        let (a, b) = (&self.settings, &new.settings);
        for (field, decision, order) in [
            ("limits.max_attempts", "more attempts for a request", a.max_attempts.cmp(&b.max_attempts)),
            ("instances", "larger shares of a member", b.instances.cmp(&a.instances)),
            (
                "client_habits.marks_retry",
                "bookings first sent a while ago whose clients do not mark them as retries",
                a.marks_retries.cmp(&b.marks_retries),
            ),
            ("limits.cancelling", "attempts to be cancelled", a.cancelling.cmp(&b.cancelling)),
            ("limits.probing", "members to be probed", a.probing.cmp(&b.probing)),
            ("limits.retry_after", "retry-after advice", a.retry_after.cmp(&b.retry_after)),
            (
                "limits.max_retry_after_us",
                "longer retry-after advice",
                a.max_retry_after.cmp(&b.max_retry_after),
            ),
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
            (
                "rules.fall_us",
                "a longer overload of a cold member",
                b.rules.fall_window.cmp(&a.rules.fall_window),
            ),
            (
                "rules.removal_not_binding",
                "requests to a member that is gone",
                a.rules.removal_not_binding.cmp(&b.rules.removal_not_binding),
            ),
        ] {
            if order.is_ne() {
                add(field.into(), decision.into(), order.is_lt());
            }
        }
        all
    }
}

fn describe_consistency(consistency: Consistency) -> String {
    match consistency {
        Consistency::Write => "the primary's own commit".into(),
        Consistency::Fresh => "every commit".into(),
        Consistency::Session => "no more than what the session has written".into(),
        Consistency::Bounded(age) => format!("data of up to {} ms ago", age / 1000),
        Consistency::Any => "data of any age".into(),
    }
}

fn describe_effect(effect: Effect) -> String {
    match effect {
        Effect::Safe => "may have run".into(),
        Effect::Keyed { group, window } => {
            format!("may have run, by its key for {} ms ({group:?})", window / 1000)
        }
        Effect::Unsafe => "has surely not run".into(),
    }
}

/// The consistency that satisfies both.
fn meet_consistency(a: Consistency, b: Consistency) -> Result<Consistency, String> {
    use Consistency::*;
    Ok(match (a, b) {
        (Write, Write) => Write,
        (Write, _) | (_, Write) => {
            return Err("a class cannot turn from read to write or back; take another name for it".into())
        }
        (Any, other) | (other, Any) => other,
        (Bounded(one), Bounded(other)) => Bounded(one.min(other)),
        (Session, Session) => Session,
        // Neither implies the other; an answer that shows every commit satisfies both.
        (Fresh, _) | (_, Fresh) | (Bounded(_), Session) | (Session, Bounded(_)) => Fresh,
    })
}

/// Where a repeated request is deduplicated under both versions. The members of a zone and those of a group
/// need not have any member in common but the one that got the first attempt.
fn meet_effect(a: Effect, b: Effect) -> Effect {
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
        // Where a member that is behind may answer from old data, only answers that are proven to be recent
        // enough can be used.
        (Answers, _) | (_, Answers) => Answers,
        (Waits(one), Waits(other)) => Waits(one.min(other)),
        (Waits(span), Refuses) | (Refuses, Waits(span)) => Waits(span),
        (Refuses, Refuses) => Refuses,
    }
}

fn meet_class(a: &Class, b: &Class) -> Result<Class, String> {
    let deadline = a.deadline.min(b.deadline);
    Ok(Class {
        consistency: meet_consistency(a.consistency, b.consistency)?,
        effect: meet_effect(a.effect, b.effect),
        // The aim is a target and not a rule; the smaller one also fits the shorter deadline.
        aim: a.aim.min(b.aim).min(deadline),
        deadline,
        importance: a.importance.min(b.importance),
        late_value: a.late_value.min(b.late_value),
    })
}

#[cfg(test)]
#[path = "rules_tests.rs"]
mod tests;
