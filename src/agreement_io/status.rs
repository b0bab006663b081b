//! How the fleet stands, in words and as JSON, for the console and the command line.

use super::{AgreementActor, Past};
use crate::agreement::proposer::Moot;
use crate::agreement::{Holds, Kind, KINDS};
use crate::interface::Time;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// What holds, in words.
pub fn holds(holds: &Holds) -> String {
    match holds {
        Holds::Nothing => "nothing is agreed on".into(),
        Holds::One(version) => format!("version {version}"),
        Holds::Between { from, to } => format!("between version {from} and {to}"),
    }
}

/// Why nothing came of a change, in words.
pub fn moot(why: &Moot) -> String {
    match why {
        Moot::Busy(standing) => format!("another change is under way, {}", holds(&standing.holds)),
        Moot::Behind(standing) => format!("it does not follow on what holds, {}", holds(&standing.holds)),
        Moot::Over(standing) => format!("that turn is over, {}", holds(&standing.holds)),
        Moot::Unreached => "no majority of the voters answered in time".into(),
    }
}

/// Versions that were in force, the latest last.
pub(super) fn history(all: &VecDeque<Past>) -> String {
    let one = |p: &Past| {
        json!({"kind": p.kind.name(), "number": p.version.number, "hash": p.version.hash.to_string(),
            "author": p.author, "proposed_us": p.proposed, "since_us": p.since})
    };
    Value::Array(all.iter().map(one).collect()).to_string()
}

fn standing(holds: &Holds) -> Value {
    let versions: Vec<Value> =
        holds.versions().map(|v| json!({"number": v.number, "hash": v.hash.to_string()})).collect();
    let state = match holds {
        Holds::Nothing => "nothing",
        Holds::One(_) => "in force",
        Holds::Between { .. } => "changing",
    };
    json!({"state": state, "versions": versions})
}

impl AgreementActor {
    /// How the fleet stands as seen from here, on one line.
    pub(super) fn status(&self) -> String {
        let (now, times) = (self.with.clock.now(), self.with.config.timing);
        let lease = self.instance.holds(now).map(|(_, until)| (until - now) / 1000);
        let turns = self.acts.map_or([0; 2], |acts| acts.map(|s| s.turn));
        let of = |kind: Kind| {
            let last = self.instance.last(kind);
            let told = last.map_or(Holds::Nothing, |l| l.accepted.standing.holds);
            let mut told = standing(&told);
            told["turn"] = last.map_or(0, |l| l.accepted.standing.turn).into();
            told["since_ms"] = last.map_or(0, |l| (now - l.since) / 1000).into();
            told["waits_for"] = json!(self.instance.awaits(kind));
            (kind.name().to_string(), told)
        };
        let proxy = |number: &u16| {
            let heard = self.instance.heard().get(number).copied().unwrap_or_default();
            let me = *number == self.with.config.own_number;
            let ago = |at: Time| now.saturating_sub(at) / 1000;
            json!({"number": number, "votes": self.with.config.voters.contains(number), "this": me,
                "heard_ms": if me { Some(0) } else { (heard.at > 0).then(|| ago(heard.at)) },
                "turns": if me { turns } else { heard.turns }, "list": heard.list,
                "forgot": heard.forgot, "drifts": heard.drifts})
        };
        let mut told = json!({
            "me": self.with.config.own_number, "lease_ms": lease, "bound_ms": times.change_bound() / 1000, "last": self.last,
            "acts_on": turns, "votes": self.instance.votes(),
            "proxies": self.with.config.proxies.keys().map(proxy).collect::<Vec<_>>(),
        });
        for (name, value) in KINDS.map(of) {
            told[name] = value;
        }
        told.to_string()
    }
}
