//! What the choice of a member needs to know of the whole group. It is found at most once for each request that is
//! dispatched: found for each member, the cost of one request would grow with the square of the group's size.

use super::Router;
use crate::interface::{GroupId, MemberId};
use std::cell::OnceCell;

/// Facts about a group, valid until the router's state changes. All but the primary are found when first asked for.
pub(super) struct GroupContext {
    /// The group's primary, as [`Router::primary`] tells it.
    pub primary: Option<MemberId>,
    used_replica_serves: OnceCell<bool>,
}

impl GroupContext {
    /// Whether a replica that was used before can serve the group; `find` is called the first time.
    pub fn used_replica_serves(&self, find: impl FnOnce() -> bool) -> bool {
        *self.used_replica_serves.get_or_init(find)
    }
}

impl Router {
    /// The context for one request to this group.
    pub(super) fn group_context(&self, group: GroupId) -> GroupContext {
        GroupContext { primary: self.primary(group), used_replica_serves: OnceCell::new() }
    }
}
