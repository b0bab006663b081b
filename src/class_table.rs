//! The table of classes and tenants by name, against which requests are resolved. It does no I/O.
//!
//! Settings may change while requests are open, and an open request keeps the class that it came with. Each class
//! therefore has a slot, by which the router knows it: an unchanged class keeps its slot, and a new or changed one
//! gets another. A request holds the table that it was resolved against, and a slot is reused only once no table is
//! left in which it stands for another class. So a thousand reloads take no more slots than the open requests need.

use crate::interface::Class;
use crate::policy::repeat_proof::RetryHabits;
use crate::settings::Names;
use std::sync::{Arc, Weak};

/// Names and classes as they apply to the requests that were resolved against this table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTable {
    /// Names; those of classes by slot.
    pub names: Names,
    /// Classes by slot, including those that new requests may not name.
    pub classes: Vec<Class>,
    /// The slots of the classes that new requests may name.
    selectable: Vec<bool>,
    /// What is known of clients' retries.
    pub retry_habits: RetryHabits,
}

impl ClassTable {
    /// The slot of a class that new requests may name.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|slot| self.selectable[*slot] && self.names.classes[*slot] == name)
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.names.tenants.iter().position(|n| n == name)
    }

    /// The name of the class in a slot.
    pub fn class_name(&self, slot: usize) -> &str {
        self.names.classes.get(slot).map_or("", |name| name)
    }
}

/// Assigns slots to classes, and keeps track of the tables that open requests may still hold.
#[derive(Debug, Default)]
pub struct ClassSlots {
    current: Arc<ClassTable>,
    former: Vec<Weak<ClassTable>>,
    retry_habits: RetryHabits,
}

impl ClassSlots {
    /// The current table.
    pub fn current(&self) -> Arc<ClassTable> {
        self.current.clone()
    }

    /// Sets what tables from now on tell of clients' retries.
    pub fn set_retry_habits(&mut self, retry_habits: RetryHabits) {
        self.retry_habits = retry_habits;
    }

    /// Replaces the current table by one with these classes; `names` has their names in the same order.
    pub fn replace(&mut self, names: Names, classes: Vec<Class>) -> Arc<ClassTable> {
        let old = std::mem::take(&mut self.current);
        self.former.push(Arc::downgrade(&old));
        let mut next = ClassTable {
            names: Names { classes: old.names.classes.clone(), ..names },
            retry_habits: self.retry_habits,
            ..ClassTable::default()
        };
        (next.classes, next.selectable) = (old.classes.clone(), vec![false; old.classes.len()]);
        // Only requests hold former tables.
        drop(old);
        self.former.retain(|class_table| class_table.strong_count() > 0);
        let held: Vec<Arc<ClassTable>> = self.former.iter().filter_map(Weak::upgrade).collect();
        let named: Vec<(String, Class)> = names.classes.into_iter().zip(classes).collect();
        // Unchanged classes first, so that no other class takes their slots.
        let find_unchanged = |next: &ClassTable, (name, class): &(String, Class)| {
            (0..next.classes.len()).find(|slot| {
                !next.selectable[*slot] && next.names.classes[*slot] == *name && next.classes[*slot] == *class
            })
        };
        let mut new = Vec::new();
        for entry in named {
            match find_unchanged(&next, &entry) {
                Some(slot) => next.selectable[slot] = true,
                None => new.push(entry),
            }
        }
        for (name, class) in new {
            let in_use = |slot: usize| held.iter().any(|t| t.selectable.get(slot).is_some_and(|set| *set));
            match (0..next.classes.len()).find(|slot| !next.selectable[*slot] && !in_use(*slot)) {
                Some(slot) => {
                    (next.names.classes[slot], next.classes[slot], next.selectable[slot]) =
                        (name, class, true);
                }
                None => {
                    next.names.classes.push(name);
                    next.classes.push(class);
                    next.selectable.push(true);
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

    fn class(effect: Effect) -> Class {
        Class { consistency: Consistency::Any, effect, aim: 5, deadline: 9, importance: 1.0, late_value: 0.0 }
    }

    fn change(slots: &mut ClassSlots, named: &[(&str, Effect)]) -> Arc<ClassTable> {
        let names = named.iter().map(|(n, _)| n.to_string()).collect();
        let names = Names { classes: names, ..Names::default() };
        slots.replace(names, named.iter().map(|(_, r)| class(*r)).collect())
    }

    #[test]
    fn an_unchanged_class_keeps_its_slot_and_a_changed_one_gets_another_while_a_request_holds_it() {
        let mut slots = ClassSlots::default();
        let first = change(&mut slots, &[("a", Effect::Safe), ("b", Effect::Safe)]);
        let (a, b) = (first.class("a"), first.class("b"));
        // In another order, and with b changed to unsafe.
        let second = change(&mut slots, &[("b", Effect::Unsafe), ("a", Effect::Safe)]);
        assert_eq!(second.class("a"), a);
        let changed = second.class("b").expect("it is there");
        assert_ne!(Some(changed), b);
        // A request with the first table finds its class in the same slot of both tables.
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
    fn new_requests_cannot_name_a_removed_class() {
        let mut slots = ClassSlots::default();
        let first = change(&mut slots, &[("a", Effect::Safe), ("b", Effect::Safe)]);
        let second = change(&mut slots, &[("a", Effect::Safe)]);
        assert_eq!((second.class("b"), first.class("b")), (None, Some(1)));
        // Unchanged when it comes back, so it gets its own slot again.
        assert_eq!(change(&mut slots, &[("b", Effect::Safe)]).class("b"), Some(1));
    }

    #[test]
    fn a_thousand_reloads_take_no_more_slots_than_open_requests_need() {
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
