//! Persistent storage of what the proxy knows, in a folder that the operators choose, off the request path.
//!
//! [`state`] defines the order of writes and what a start recovers; [`actor`] runs it on a thread of its own, apart
//! from the runtime's, with a bounded queue and at a bounded rate. The core and the routing module do no file I/O.

pub mod actor;
pub mod disk;
pub mod record;
pub mod state;

use crate::core::counters::{count, Count};
use state::{Recovered, RecoveryStatus};

/// Logs and counts how a start has found the store.
pub fn log_recovery(found: &Recovered) {
    let Recovered { knowledge, status, start_number, written_at } = found;
    let (what, counter) = match status {
        RecoveryStatus::Sound => ("all that was written is there", None),
        RecoveryStatus::Fresh => ("there is nothing yet", None),
        RecoveryStatus::Lost => ("the stored data is LOST", Some(Count::store_lost)),
        RecoveryStatus::Torn => {
            ("some data is truncated or corrupted; the rest is used", Some(Count::store_torn))
        }
        RecoveryStatus::Foreign => {
            ("another program wrote it; none of it is used", Some(Count::store_foreign))
        }
        RecoveryStatus::Newer => ("a newer version wrote it; none of it is used", Some(Count::store_newer)),
        RecoveryStatus::RolledBack => {
            ("it is an OLDER COPY; its configuration is not used", Some(Count::store_rolled_back))
        }
    };
    let (members, suspended) = (
        knowledge.learned.members.len(),
        knowledge.suspensions.values().filter(|h| h.restored_at.is_none()).count(),
    );
    let line = format!(
        "store: start {start_number}: {what}; {members} members known, {suspended} suspended, \
         written at {written_at}"
    );
    match counter {
        Some(counter) => {
            count(counter);
            log::warn!("{line}");
        }
        None => log::info!("{line}"),
    }
}
