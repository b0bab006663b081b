//! Read access to what a router has learned, for another process of the same proxy that continues from there. It is
//! not part of the `policy` module because it makes no decisions; the other process takes the facts in as ordinary
//! events.

use crate::interface::{MemberId, Position};
use crate::knowledge::MemberFacts;
use crate::policy::invariants::MemberLocation;
use crate::policy::Router;

/// What a router knows of a member.
#[derive(Debug, Clone)]
pub struct LearnedMember {
    /// The member.
    pub id: MemberId,
    /// What the member has shown.
    pub facts: MemberFacts,
}

impl Router {
    /// Total number of entries in the router's tables.
    pub fn entry_count(&self) -> usize {
        self.members.len() + self.groups.len() + self.open.len() + self.held.len()
    }

    /// The highest known position of a member; 0 if none.
    pub fn position(&self, member: MemberId) -> Position {
        self.members.get(&member).map_or(0, |m| m.position)
    }

    /// The zone and group of a member; `None` if the member is unknown.
    pub fn place(&self, member: MemberId) -> Option<MemberLocation> {
        self.members.get(&member).map(|m| MemberLocation { zone: m.zone, group: m.group })
    }

    /// What is known of each member.
    pub fn learned_members(&self) -> impl Iterator<Item = LearnedMember> + '_ {
        self.members.iter().map(|(id, m)| {
            let head = self.groups.get(&m.group).filter(|g| g.primary == Some(*id));
            let replica = m.replica_at > 0;
            let facts = MemberFacts {
                start: m.up_since,
                position: m.position,
                last_heard: m.position_at,
                primary: (head.is_some() || replica).then_some(head.is_some()),
                role_at: head.map_or(m.replica_at, |g| g.as_of),
                warm_up_start: m.started.filter(|_| self.in_slow_start(m)),
            };
            LearnedMember { id: *id, facts }
        })
    }
}
