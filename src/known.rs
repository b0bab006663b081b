//! What a router has learned, for another process of the same proxy that goes on from there. Beside the module, as
//! nothing here decides anything: what it hands on is taken in as events like any other.

use crate::decide::Router;
use crate::interface::{MemberId, Position, Time};
use std::sync::Arc;

/// What is known of a member, by its id in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMember {
    /// Its id.
    pub name: Arc<str>,
    /// Highest position heard; 0: none.
    pub position: Position,
    /// Whether it is the primary, where it has shown its role.
    pub primary: Option<bool>,
    /// Start of its warm-up, while that lasts.
    pub cold_from: Option<Time>,
}

/// All that one process of a proxy hands on to the other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Known {
    /// The members.
    pub members: Vec<KnownMember>,
    /// The last commits of sessions that wrote lately ...
    pub sessions: Vec<(Arc<str>, Position)>,
    /// ... and the latest of all others.
    pub floor: Position,
}

/// What a router knows of a member, by its number.
#[derive(Debug, Clone, Copy)]
pub struct Learned {
    /// The member.
    pub id: MemberId,
    /// See [`KnownMember`].
    pub position: Position,
    /// See there.
    pub primary: Option<bool>,
    /// See there.
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
            let primary = self.groups.get(&m.group).is_some_and(|g| g.primary == Some(*id));
            let replica = m.replica_at > 0;
            let role = (primary || replica).then_some(primary);
            Learned { id: *id, position: m.position, primary: role, cold_from: m.cold_from }
        })
    }
}
