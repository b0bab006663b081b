//! What a router has learned, for another process of the same proxy that goes on from there. Beside the module, as
//! nothing here decides anything: what it hands on is taken in as events like any other.

use crate::interface::{MemberId, Position};
use crate::knowledge::MemberFacts;
use crate::policy::invariants::MemberLocation;
use crate::policy::Router;

/// What a router knows of a member, by its number.
#[derive(Debug, Clone)]
pub struct LearnedMember {
    /// The member.
    pub id: MemberId,
    /// What it has shown.
    pub facts: MemberFacts,
}

impl Router {
    /// How many things it remembers, all kinds together.
    pub fn entry_count(&self) -> usize {
        self.members.len() + self.groups.len() + self.open.len() + self.held.len()
    }

    /// The highest position heard of a member; 0: none.
    pub fn position(&self, member: MemberId) -> Position {
        self.members.get(&member).map_or(0, |m| m.position)
    }

    /// Where a member stands; none where it is not known any more.
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
