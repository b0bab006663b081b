//! What a router has learned, for another process of the same proxy that goes on from there. Beside the module, as
//! nothing here decides anything: what it hands on is taken in as events like any other.

use crate::decide::Router;
use crate::interface::{MemberId, Position, Time};

/// What a router knows of a member, by its number.
#[derive(Debug, Clone, Copy)]
pub struct Learned {
    /// The member.
    pub id: MemberId,
    /// Its start, as the list has it.
    pub start: Option<Time>,
    /// Highest position heard; 0: none.
    pub position: Position,
    /// When it was last heard.
    pub heard: Time,
    /// Whether it is the primary, where it has shown its role.
    pub primary: Option<bool>,
    /// As of when.
    pub role_at: Time,
    /// Start of its warm-up, while that lasts.
    pub cold_from: Option<Time>,
}

impl Router {
    /// How many things it remembers, all kinds together.
    pub fn remembered(&self) -> usize {
        self.members.len() + self.groups.len() + self.open.len() + self.held.len()
    }

    /// The highest position heard of a member; 0: none.
    pub fn position(&self, member: MemberId) -> Position {
        self.members.get(&member).map_or(0, |m| m.position)
    }

    /// What is known of each member.
    pub fn learned(&self) -> impl Iterator<Item = Learned> + '_ {
        self.members.iter().map(|(id, m)| {
            let head = self.groups.get(&m.group).filter(|g| g.primary == Some(*id));
            let replica = m.replica_at > 0;
            Learned {
                id: *id,
                start: m.up_since,
                position: m.position,
                heard: m.heard,
                primary: (head.is_some() || replica).then_some(head.is_some()),
                role_at: head.map_or(m.replica_at, |g| g.as_of),
                cold_from: m.cold_from,
            }
        })
    }
}
