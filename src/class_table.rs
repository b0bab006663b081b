//! The terms under which requests are read: classes and tenants by their names. It does no I/O.
//!
//! Settings may change while requests are open, and these keep the class that they came with. So a class has a slot, by
//! which the module knows it: a class that is as it was keeps its slot, and one that is new or has changed gets
//! another. A request holds the terms that it was read under, and a slot is used again only once no terms are left in
//! which it stood for something else: a thousand reloads take no more slots than the requests still open need.

use crate::interface::Class;
use crate::settings::Names;
use std::sync::{Arc, Weak};

/// Names and classes, as they hold for the requests that were read under them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTable {
    /// Names, those of classes by slot.
    pub names: Names,
    /// Classes by slot, also those that no new request may name.
    pub classes: Vec<Class>,
    /// Which slots new requests may name.
    open: Vec<bool>,
}

impl ClassTable {
    /// The slot of a class that new requests may name.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|slot| self.open[*slot] && self.names.classes[*slot] == name)
    }

    /// The number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|n| n == name)
    }

    /// The name of a class by its slot.
    pub fn class_name(&self, slot: usize) -> &str {
        self.names.classes.get(slot).map_or("", |name| name)
    }
}

/// Gives out slots, and remembers the terms that requests may still hold.
#[derive(Debug, Default)]
pub struct ClassSlots {
    current: Arc<ClassTable>,
    former: Vec<Weak<ClassTable>>,
}

impl ClassSlots {
    /// The terms that hold now.
    pub fn current(&self) -> Arc<ClassTable> {
        self.current.clone()
    }

    /// From now on these classes hold, named in the same order.
    pub fn replace(&mut self, names: Names, classes: Vec<Class>) -> Arc<ClassTable> {
        let old = std::mem::take(&mut self.current);
        self.former.push(Arc::downgrade(&old));
        let mut next = ClassTable {
            names: Names { classes: old.names.classes.clone(), ..names },
            ..ClassTable::default()
        };
        (next.classes, next.open) = (old.classes.clone(), vec![false; old.classes.len()]);
        // Nothing but requests holds former terms.
        drop(old);
        self.former.retain(|class_table| class_table.strong_count() > 0);
        let held: Vec<Arc<ClassTable>> = self.former.iter().filter_map(Weak::upgrade).collect();
        let named: Vec<(String, Class)> = names.classes.into_iter().zip(classes).collect();
        // First those that stay as they are, so that no other takes their slots.
        let stays = |next: &ClassTable, (name, class): &(String, Class)| {
            (0..next.classes.len()).find(|slot| {
                !next.open[*slot] && next.names.classes[*slot] == *name && next.classes[*slot] == *class
            })
        };
        let mut new = Vec::new();
        for entry in named {
            match stays(&next, &entry) {
                Some(slot) => next.open[slot] = true,
                None => new.push(entry),
            }
        }
        for (name, class) in new {
            let busy = |slot: usize| held.iter().any(|t| t.open.get(slot).is_some_and(|open| *open));
            match (0..next.classes.len()).find(|slot| !next.open[*slot] && !busy(*slot)) {
                Some(slot) => {
                    (next.names.classes[slot], next.classes[slot], next.open[slot]) = (name, class, true);
                }
                None => {
                    next.names.classes.push(name);
                    next.classes.push(class);
                    next.open.push(true);
                }
            }
        }
        self.current = Arc::new(next);
        self.current.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Consistency, Effect};

    fn class(repeat: Effect) -> Class {
        Class {
            consistency: Consistency::Any,
            effect: repeat,
            aim: 5,
            deadline: 9,
            importance: 1.0,
            late_value: 0.0,
        }
    }

    fn change(slots: &mut ClassSlots, named: &[(&str, Effect)]) -> Arc<ClassTable> {
        let names = named.iter().map(|(n, _)| n.to_string()).collect();
        let names = Names { classes: names, ..Names::default() };
        slots.replace(names, named.iter().map(|(_, r)| class(*r)).collect())
    }

    #[test]
    fn a_class_keeps_its_slot_and_a_changed_one_gets_another_while_a_request_holds_it() {
        let mut slots = ClassSlots::default();
        let first = change(&mut slots, &[("a", Effect::Safe), ("b", Effect::Safe)]);
        let (a, b) = (first.class("a"), first.class("b"));
        // In another order, and b may no longer be repeated.
        let second = change(&mut slots, &[("b", Effect::Unsafe), ("a", Effect::Safe)]);
        assert_eq!(second.class("a"), a);
        let changed = second.class("b").expect("it is there");
        assert_ne!(Some(changed), b);
        // A request of the first terms finds its class where it was, by its own terms and by the newest.
        let former = b.expect("it was there");
        assert_eq!(
            (first.classes[former].effect, second.classes[former].effect),
            (Effect::Safe, Effect::Safe)
        );
        assert_eq!(second.class_name(former), "b");
        drop(first);
        let third = change(&mut slots, &[("a", Effect::Safe), ("c", Effect::Safe), ("b", Effect::Unsafe)]);
        assert_eq!((third.class("b"), third.class("c")), (Some(changed), b), "the slot is free again");
        assert_eq!(third.class("nobody"), None);
    }

    #[test]
    fn a_dropped_class_has_no_name_for_new_requests() {
        let mut slots = ClassSlots::default();
        let first = change(&mut slots, &[("a", Effect::Safe), ("b", Effect::Safe)]);
        let second = change(&mut slots, &[("a", Effect::Safe)]);
        assert_eq!((second.class("b"), first.class("b")), (None, Some(1)));
        // It comes back as it was, into its own slot.
        assert_eq!(change(&mut slots, &[("b", Effect::Safe)]).class("b"), Some(1));
    }

    #[test]
    fn a_thousand_changes_take_no_more_slots_than_open_requests_need() {
        let mut slots = ClassSlots::default();
        let held = change(&mut slots, &[("a", Effect::Safe), ("b", Effect::Safe)]);
        for n in 0..1_000 {
            let (x, y) = (format!("x{n}"), format!("y{n}"));
            let class_table =
                change(&mut slots, &[(&x, Effect::Safe), ("b", Effect::Unsafe), (&y, Effect::Unsafe)]);
            assert!(class_table.classes.len() <= 7, "{}", class_table.classes.len());
            assert_eq!(class_table.classes[0], held.classes[0]);
        }
        assert!(slots.former.len() <= 2);
    }
}
