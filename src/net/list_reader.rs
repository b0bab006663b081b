//! Reads lists in discovery's format, in parts: a list of thousands of members must not hold up other tasks. Of a whole
//! list only the entries with a new text are parsed.

use super::list_entry::{ListEntry, ListText};
use crate::core::counters::{count, Count};
use crate::core::work_time::{self, Work};
use crate::core::ListedMember;
use crate::interface::*;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value as Json;
use std::cell::Cell;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Most entries accepted in one list.
pub const MAX_LIST_ENTRIES: usize = 4_096;
/// Most JSON values accepted in a list. An entry has about twenty; in memory each takes tens of bytes, however
/// short its text is.
const MAX_LIST_VALUES: usize = MAX_LIST_ENTRIES * 32;
/// An older whole list is accepted when this many have arrived in a row: discovery itself has restarted its
/// versions.
const ACCEPT_OLDER_AFTER: u32 = 3;

/// Entries of a list that are read before other tasks may run.
const ENTRIES_PER_PART: usize = 64;
/// How long departed ids keep their numbers. Nothing refers to a number for longer than this.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Maps member ids to the numbers that the module uses. An id keeps its number while lists name it, and for a while
/// after.
#[derive(Default)]
pub struct MemberNumbers {
    by_id: FxHashMap<Arc<str>, (MemberId, Option<Instant>)>,
    in_use: FxHashSet<MemberId>,
}

impl MemberNumbers {
    /// Returns the number of an id named by a list. An id that ends in eight hex digits gets these as its number,
    /// so that all proxies order members alike; other ids are hashed.
    pub fn number_for(&mut self, id: &str) -> MemberId {
        self.identify(id).1
    }

    /// As [`MemberNumbers::number_for`], with the id as it is stored here.
    fn identify(&mut self, id: &str) -> (Arc<str>, MemberId) {
        if let Some((stored, (number, _))) = self.by_id.get_key_value(id) {
            let found = (stored.clone(), *number);
            if let Some((_, left)) = self.by_id.get_mut(id) {
                *left = None;
            }
            return found;
        }
        let suffix = id.len().checked_sub(8).and_then(|at| id.get(at..));
        let hash = || id.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut number = MemberId(suffix.and_then(|t| u32::from_str_radix(t, 16).ok()).unwrap_or_else(hash));
        while !self.in_use.insert(number) {
            number = MemberId(number.0.wrapping_add(1));
        }
        let stored: Arc<str> = id.into();
        self.by_id.insert(stored.clone(), (number, None));
        (stored, number)
    }

    /// Updates the ids after a list, given a predicate for those that have `left`. Departed ids are dropped after a
    /// while, as members are replaced under new ids all the time.
    pub fn release_departed(&mut self, left: impl Fn(MemberId) -> bool, now: Instant) {
        let in_use = &mut self.in_use;
        self.by_id.retain(|_, (number, since)| {
            if since.is_none() && left(*number) {
                *since = Some(now);
            }
            let keep = since.is_none_or(|t| now < t + DEPARTED_RETENTION);
            if !keep {
                in_use.remove(number);
            }
            keep
        });
    }

    /// The number of ids that have a number.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }
}

/// Parses lists in discovery's format.
pub struct ListReader {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Numbers assigned so far.
    pub numbers: MemberNumbers,
    /// Whole lists in a row that were dropped for being older than the one held.
    older: u32,
    /// The entries of the last whole list, by their text: most of the next one's are the same.
    parsed: FxHashMap<Box<str>, ListedMember>,
}

impl ListReader {
    /// Creates a reader with the names of the zones.
    pub fn new(zones: Vec<String>) -> Self {
        ListReader { zones, numbers: MemberNumbers::default(), older: 0, parsed: FxHashMap::default() }
    }

    /// Returns the list's version, whether the list is whole, and its entries. Returns `None` for a list that must
    /// not be used, such as one older than the version `held`. Invalid entries are skipped and counted.
    pub fn read(&mut self, json: &Json, held: Option<u64>) -> Option<(u64, bool, Vec<ListedMember>)> {
        let version = json.get("generation")?.as_u64()?;
        let whole = json.get("reset").and_then(Json::as_bool).unwrap_or(false);
        let items = json.get("instances")?.as_array()?;
        self.admit(version, whole, items.len(), held)?;
        let entries: Vec<ListedMember> =
            items.iter().filter_map(|item| self.entry(ListEntry::deserialize(item), item)).collect();
        self.release_departed(whole, &entries);
        Some((version, whole, entries))
    }

    /// As [`ListReader::read`], from text. Lets other tasks run between parts of a long list.
    pub async fn read_text(
        &mut self,
        text: &[u8],
        held: Option<u64>,
    ) -> Option<(u64, bool, Vec<ListedMember>)> {
        if min_value_count(text) > MAX_LIST_VALUES {
            return None;
        }
        let ListText { generation, reset, instances } = serde_json::from_slice(text).ok()?;
        let (version, whole) = (generation.as_u64()?, reset.as_bool().unwrap_or(false));
        self.admit(version, whole, instances.len(), held)?;
        let mut entries = Vec::with_capacity(instances.len());
        let mut parsed = FxHashMap::default();
        let _reading = ReadingList::begin();
        for (n, part) in instances.chunks(ENTRIES_PER_PART).enumerate() {
            if n > 0 {
                tokio::task::yield_now().await;
            }
            let began = std::time::Instant::now();
            for item in part {
                let Some((text, entry)) = self.entry_from_text(item) else { continue };
                entries.push(entry.clone());
                if whole {
                    parsed.insert(text, entry);
                }
            }
            work_time::record(Work::ListRead, began, || format!("{} entries of a list", part.len()));
        }
        self.release_departed(whole, &entries);
        if whole {
            self.parsed = parsed;
        }
        Some((version, whole, entries))
    }

    /// Returns an entry with its text, which is parsed unless the last whole list had it, too.
    fn entry_from_text(&mut self, text: &RawValue) -> Option<(Box<str>, ListedMember)> {
        if let Some((text, entry)) = self.parsed.remove_entry(text.get()) {
            // The number may have been given up in the meantime, if a list of changes removed the member.
            if self.numbers.identify(&entry.name).1 == entry.member.id {
                return Some((text, entry));
            }
        }
        let entry = self.entry(serde_json::from_str(text.get()), &text)?;
        Some((text.get().into(), entry))
    }

    /// Whether a list of this version and length may be used.
    fn admit(&mut self, version: u64, whole: bool, length: usize, held: Option<u64>) -> Option<()> {
        let older = held.is_some_and(|held| version < held);
        self.older = if older && whole { self.older + 1 } else { 0 };
        if older && self.older < ACCEPT_OLDER_AFTER || length > MAX_LIST_ENTRIES {
            return None;
        }
        self.older = 0;
        Some(())
    }

    fn release_departed(&mut self, whole: bool, entries: &[ListedMember]) {
        let named: FxHashMap<MemberId, ServiceState> =
            entries.iter().map(|e| (e.member.id, e.member.service_state)).collect();
        let left = |id| match named.get(&id) {
            Some(service_state) => *service_state == ServiceState::Removed,
            None => whole,
        };
        self.numbers.release_departed(left, Instant::now());
    }

    /// Returns an entry; one that cannot be used is counted and logged.
    fn entry(&mut self, parsed: serde_json::Result<ListEntry>, text: &dyn Display) -> Option<ListedMember> {
        let entry = parsed.ok().and_then(|entry| self.listed_member(&entry));
        if entry.is_none() {
            count(Count::list_bad_entries);
            log::warn!("skipping an invalid entry of the member list: {text}");
        }
        entry
    }

    fn listed_member(&mut self, entry: &ListEntry) -> Option<ListedMember> {
        let service_state = match entry.lifecycle.text()? {
            "active" => ServiceState::Active,
            "leaving" => ServiceState::Draining,
            "left" => ServiceState::Removed,
            _ => return None,
        };
        let zone = entry.zone.text().and_then(|z| self.zones.iter().position(|n| n == z));
        let id = entry.instance_id.text()?;
        let address = entry.host_port.text()?.parse().ok()?;
        let group = entry.cell.number()?;
        let started = entry.started_at_ms.number().filter(|ms| *ms > 0);
        let (name, id) = self.numbers.identify(id);
        Some(ListedMember {
            name,
            address,
            member: Member {
                id,
                zone: zone.map_or(u32::MAX, |z| z as u32),
                group,
                service_state,
                primary: entry.mode.text() == Some("read-write"),
                up_since: started.map(|ms| ms.saturating_mul(1000)),
            },
        })
    }
}
thread_local! {
    static READING_LIST: Cell<bool> = const { Cell::new(false) };
}

/// Whether a part of a list that has arrived is still to be read on this thread.
pub fn is_reading_list() -> bool {
    READING_LIST.get()
}

/// Marks that a list is being read until dropped.
struct ReadingList;

impl ReadingList {
    fn begin() -> Self {
        READING_LIST.set(true);
        ReadingList
    }
}

impl Drop for ReadingList {
    fn drop(&mut self) {
        READING_LIST.set(false);
    }
}
/// A lower bound of the number of values in a JSON text: each value but the first follows one of these bytes.
fn min_value_count(body: &[u8]) -> usize {
    body.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count()
}
