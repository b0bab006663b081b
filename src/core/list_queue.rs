//! Changes of the member list that the core has taken in and the router has not yet. They are applied in parts, with
//! requests in between: a list that replaces thousands of members must not hold up the answers.

use super::ListedMember;
use crate::effective_list::applied_as;
use crate::interface::{ListKind, ServiceState};
use std::collections::VecDeque;

/// Entries that are applied at once, unless all of them close members.
const MAX_PART: usize = 64;

/// One list, or what is left of it.
struct PendingList {
    kind: ListKind,
    changes: VecDeque<ListedMember>,
}

/// The lists that are still to be applied, in order.
#[derive(Default)]
pub struct ListQueue(VecDeque<PendingList>);

/// A part of a list.
pub struct ListPart {
    /// How the router has to take it. Only the last part of a list counts as the answer of discovery.
    pub kind: ListKind,
    /// The entries.
    pub changes: Vec<ListedMember>,
    /// The kind of the list, if this is its last part.
    pub completes: Option<ListKind>,
}

impl ListQueue {
    /// Appends the changes that a list makes.
    pub fn push(&mut self, kind: ListKind, changes: Vec<ListedMember>) {
        self.0.push_back(PendingList { kind, changes: changes.into() });
    }

    /// Whether nothing is to be applied.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes the next part. The list of a start is taken whole, as it is applied before there are requests.
    pub fn next_part(&mut self) -> Option<ListPart> {
        let list = self.0.front_mut()?;
        let kind = list.kind;
        let closing =
            list.changes.iter().take_while(|entry| entry.member.service_state != ServiceState::Active);
        // Members that take no new requests are closed at once: that takes little work, and has to be done soon.
        let part = closing.count().max(MAX_PART);
        let size = if kind == ListKind::Disk { list.changes.len() } else { list.changes.len().min(part) };
        let changes = list.changes.drain(..size).collect();
        if !list.changes.is_empty() {
            return Some(ListPart { kind: ListKind::Operator, changes, completes: None });
        }
        self.0.pop_front();
        Some(ListPart { kind: applied_as(kind), changes, completes: Some(kind) })
    }
}
