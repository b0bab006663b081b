//! Repeat ids of bookings that this process has refused. Nothing of them has run here, and this process got their first
//! try: a retry, which other proxies must take for one that may have run, may run here.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Maximum number of remembered ids. The retry of one that is forgotten is rejected.
const MAX_IDS: usize = 16_384;

/// The ids, the oldest of which is forgotten when there are too many.
#[derive(Debug, Default)]
pub(super) struct RefusedIds {
    ids: HashSet<Arc<str>>,
    /// In the order of their refusal; those that are no longer in `ids` have been taken out.
    order: VecDeque<Arc<str>>,
}

impl RefusedIds {
    /// Whether the booking of this id was refused here.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Remembers that the booking of this id was refused.
    pub fn insert(&mut self, id: &str) {
        let id: Arc<str> = id.into();
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.order.push_back(id);
        while self.order.len() > MAX_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }

    /// Forgets an id whose booking is about to run.
    pub fn remove(&mut self, id: &str) {
        self.ids.remove(id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_latest_refused_ids_are_remembered() {
        let mut refused = RefusedIds::default();
        refused.insert("first");
        (1..MAX_IDS).for_each(|n| refused.insert(&n.to_string()));
        assert!(refused.contains("first"));
        refused.insert("last");
        assert!(!refused.contains("first") && refused.contains("1") && refused.contains("last"));
        refused.remove("last");
        assert!(!refused.contains("last"));
        assert_eq!(refused.order.len(), MAX_IDS);
    }
}
