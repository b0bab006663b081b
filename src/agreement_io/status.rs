//! The state of the fleet as text and as JSON, for the console and the command line.

use super::{AgreementActor, PastVersion};
use crate::agreement::proposer::ProposalError;
use crate::agreement::{ActiveVersions, Kind, KINDS};
use crate::interface::Time;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Describes the versions in force.
pub fn active_versions(active: &ActiveVersions) -> String {
    match active {
        ActiveVersions::Nothing => "nothing is agreed on".into(),
        ActiveVersions::Single(version) => format!("version {version}"),
        ActiveVersions::Transition { from, to } => format!("between version {from} and {to}"),
    }
}

/// Describes why a proposal failed.
pub fn proposal_error(error: &ProposalError) -> String {
    match error {
        ProposalError::ChangePending(value) => {
            format!("another change is under way, {}", active_versions(&value.active))
        }
        ProposalError::StaleParent(value) => {
            format!("it does not follow on what holds, {}", active_versions(&value.active))
        }
        ProposalError::StaleRevision(value) => {
            format!("that turn is over, {}", active_versions(&value.active))
        }
        ProposalError::NoMajority => "no majority of the voters answered in time".into(),
    }
}

/// The versions that have been in force, the latest last.
pub(super) fn history(all: &VecDeque<PastVersion>) -> String {
    let one = |p: &PastVersion| {
        json!({"kind": p.kind.name(), "number": p.version.number, "hash": p.version.hash.to_string(),
            "author": p.author, "proposed_us": p.proposed_at, "since_us": p.since})
    };
    Value::Array(all.iter().map(one).collect()).to_string()
}

fn active_json(active: &ActiveVersions) -> Value {
    let versions: Vec<Value> =
        active.versions().map(|v| json!({"number": v.number, "hash": v.hash.to_string()})).collect();
    let state = match active {
        ActiveVersions::Nothing => "nothing",
        ActiveVersions::Single(_) => "in force",
        ActiveVersions::Transition { .. } => "changing",
    };
    json!({"state": state, "versions": versions})
}

impl AgreementActor {
    /// The state of the fleet as seen from this proxy: JSON on one line.
    pub(super) fn status(&self) -> String {
        let (now, timing) = (self.deps.clock.now(), self.deps.config.timing);
        let lease = self.instance.leased_values(now).map(|(_, until)| (until - now) / 1000);
        let revisions = self.applied.map_or([0; 2], |applied| applied.map(|v| v.revision));
        let kind_json = |kind: Kind| {
            let last = self.instance.last_lease(kind);
            let active = last.map_or(ActiveVersions::Nothing, |l| l.accepted.value.active);
            let mut json = active_json(&active);
            json["turn"] = last.map_or(0, |l| l.accepted.value.revision).into();
            json["since_ms"] = last.map_or(0, |l| (now - l.since) / 1000).into();
            json["waits_for"] = json!(self.instance.awaited_voters(kind));
            (kind.name().to_string(), json)
        };
        let proxy_json = |number: &u16| {
            let peer = self.instance.peers().get(number).copied().unwrap_or_default();
            let me = *number == self.deps.config.own_number;
            let ago = |at: Time| now.saturating_sub(at) / 1000;
            json!({"number": number, "votes": self.deps.config.voters.contains(number), "this": me,
                "heard_ms": if me { Some(0) } else { (peer.last_heard > 0).then(|| ago(peer.last_heard)) },
                "turns": if me { revisions } else { peer.revisions }, "list": peer.list_version,
                "forgot": peer.recovering, "drifts": peer.clock_drifts})
        };
        let mut status = json!({
            "me": self.deps.config.own_number, "lease_ms": lease, "bound_ms": timing.change_bound() / 1000,
            "last": self.last_change, "acts_on": revisions, "votes": self.instance.can_vote(),
            "proxies": self.deps.config.proxies.keys().map(proxy_json).collect::<Vec<_>>(),
        });
        for (name, value) in KINDS.map(kind_json) {
            status[name] = value;
        }
        status.to_string()
    }
}
