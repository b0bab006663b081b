//! What outlasts the process, in a folder that the operators name: knowledge, written down off the request path.
//!
//! [`state`] says what is written in which order and what is believed after; [`actor`] does it beside the runtime's
//! thread, with a bounded mailbox, at a bounded rate. The core and the module never see a file.

pub mod actor;
pub mod disk;
pub mod record;
pub mod state;

use crate::core::counters::{count, Count};
use state::{Recovered, RecoveryStatus};

/// Tells the log and the counters what a start has found.
pub fn tell(found: &Recovered) {
    let Recovered { knowledge, status, start_number, written_at } = found;
    let (what, counter) = match status {
        RecoveryStatus::Sound => ("all that was written is there", None),
        RecoveryStatus::Fresh => ("there is nothing yet", None),
        RecoveryStatus::Lost => ("what was written is LOST", Some(Count::store_lost)),
        RecoveryStatus::Torn => ("a part is torn or damaged; the rest is used", Some(Count::store_torn)),
        RecoveryStatus::Foreign => {
            ("it is none of this program's; nothing of it is used", Some(Count::store_foreign))
        }
        RecoveryStatus::Newer => {
            ("a later version has written it; nothing of it is used", Some(Count::store_newer))
        }
        RecoveryStatus::RolledBack => {
            ("it is an OLDER COPY; its configuration is not used", Some(Count::store_rolled_back))
        }
    };
    let (members, out) = (
        knowledge.learned.members.len(),
        knowledge.suspensions.values().filter(|h| h.restored_at.is_none()).count(),
    );
    let line =
        format!("store: start {start_number}: {what}; {members} members known, {out} out by hand, written at {written_at}");
    match counter {
        Some(counter) => {
            count(counter);
            log::warn!("{line}");
        }
        None => log::info!("{line}"),
    }
}
