//! Exchange of the repeat ids of bookings between the two processes of a proxy.
//!
//! A new process asks the running one for its ids with a query file. From then on the running process claims
//! each new id in a shared directory before it sends the booking. It also claims all ids that it holds, and
//! then writes a reply file with the query's token. When a process has ended, the other one imports its
//! claims and empties the directory.
//!
//! | file | contents | written by |
//! | --- | --- | --- |
//! | `ids-wanted-N` | the query of the process in slot N | a process that starts while another one runs |
//! | `ids-told-N` | the reply of the process in slot N | the process that is asked |
//! | `repeat-ids` | a claim for each id | both |

use super::claims::ClaimDirectory;
use super::folder::{HandoverFolder, WatchedFile};
use super::{parse_or_report, report_ignored_file};
use crate::core::counters::{count, counter_value, Count};
use crate::core::repeat_ids::{ClaimError, ClaimStore, LedgerSummary, RepeatIds};
use crate::interface::Time;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::sync::Arc;

/// Name of the directory of claims.
const DIRECTORY: &str = "repeat-ids";
/// Number of claims that are made, read or removed before other tasks may run.
const BATCH_SIZE: usize = 64;

fn query_file(slot: usize) -> String {
    format!("ids-wanted-{slot}")
}

fn reply_file(slot: usize) -> String {
    format!("ids-told-{slot}")
}

/// The query of a process that starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Query {
    /// Identifies this query.
    token: String,
    /// How long the asking process remembers ids, in us.
    span: Time,
}

/// The reply to a query. By then the replying process has claimed all of its ids.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Reply {
    token: String,
    ledger: LedgerSummary,
}

/// This process's side of the exchange.
pub struct IdExchange {
    folder: Arc<HandoverFolder>,
    directory: ClaimDirectory,
    /// `None` if this process accepts no bookings with ids; it still replies.
    ids: Option<RepeatIds>,
    /// This process's own query, until it is written.
    unsent_query: Option<Query>,
    /// The token of that query.
    token: String,
    peer_query_file: WatchedFile,
    peer_reply_file: WatchedFile,
    /// The peer process's query, until it is answered.
    unanswered: Option<Query>,
    /// Whether the directory may hold claims that are no longer needed.
    must_clear: bool,
}

impl IdExchange {
    /// Creates the exchange for a process that has joined the handover folder.
    pub fn new(folder: Arc<HandoverFolder>, ids: Option<RepeatIds>) -> Self {
        let directory = ClaimDirectory::new(folder.path_of(DIRECTORY));
        let (peer_query_file, peer_reply_file) = (WatchedFile::default(), WatchedFile::default());
        let random = RandomState::new().hash_one(folder.slot);
        let token = format!("{}-{random:016x}", std::process::id());
        IdExchange {
            folder,
            directory,
            ids,
            unsent_query: None,
            token,
            peer_query_file,
            peer_reply_file,
            unanswered: None,
            must_clear: false,
        }
    }

    /// Asks the peer process for its ids if it is running; otherwise imports the claims that earlier
    /// processes have left. Until the ids are known, no id counts as new.
    pub async fn start(&mut self, peer_alive: bool) {
        let Some(ids) = &self.ids else { return };
        ids.expect_peer();
        if peer_alive {
            self.unsent_query = Some(Query { token: self.token.clone(), span: ids.retention() });
        }
        self.poll(peer_alive).await;
    }

    /// Whether the peer process's reply is still missing.
    pub fn is_waiting(&self) -> bool {
        self.ids.as_ref().is_some_and(RepeatIds::is_awaiting_peer)
    }

    /// Handles the peer process's query and reply, or the claims that it has left.
    pub async fn poll(&mut self, peer_alive: bool) {
        let result = if peer_alive { self.poll_peer().await } else { self.import_and_clear().await };
        if let Err(e) = result {
            if counter_value(Count::repeat_ids_unshared) == 0 {
                log::error!("repeat ids cannot be shared with another process of this proxy: {e}");
            }
            count(Count::repeat_ids_unshared);
        }
    }

    async fn poll_peer(&mut self) -> io::Result<()> {
        self.send_query()?;
        let name = query_file(self.folder.peer_slot());
        if let Some(query) = read_changed(&self.folder, &mut self.peer_query_file, &name) {
            self.unanswered = Some(query);
        }
        if let Some(query) = self.unanswered.clone() {
            self.answer(&query).await?;
            self.unanswered = None;
        }
        self.receive_reply();
        Ok(())
    }

    /// Writes this process's query, once.
    fn send_query(&mut self) -> io::Result<()> {
        if let Some(query) = &self.unsent_query {
            self.folder.write(&query_file(self.folder.slot), &serde_json::to_vec(query)?)?;
            self.unsent_query = None;
        }
        Ok(())
    }

    /// Claims all ids, so that the peer process sees them, and writes the reply.
    async fn answer(&mut self, query: &Query) -> io::Result<()> {
        let Some(ids) = self.ids.clone() else {
            // This process keeps no ids, so it does not know which bookings others have accepted so far.
            let ledger = LedgerSummary { ids: 0, bytes: 0, now: 0, complete_since: 0, span: query.span };
            return self.send_reply(query, ledger);
        };
        let was_alone = ids.is_alone();
        let result = self.share(&ids, query).await;
        if result.is_err() && was_alone {
            // The peer process has received no reply and treats no id as new, so sharing can end again.
            self.must_clear = true;
            ids.stop_sharing();
        }
        result
    }

    async fn share(&mut self, ids: &RepeatIds, query: &Query) -> io::Result<()> {
        self.directory.create()?;
        if ids.is_alone() {
            self.clear_claims().await?;
        } else {
            // The directory holds the claims of an ended process, in whose slot the asking process has
            // started.
            self.import_claims(ids).await?;
        }
        ids.share(self.directory.clone());
        self.claim_all(ids).await?;
        self.send_reply(query, ids.summarize_for_peer(query.span))
    }

    fn send_reply(&self, query: &Query, ledger: LedgerSummary) -> io::Result<()> {
        let reply = Reply { token: query.token.clone(), ledger };
        self.folder.write(&reply_file(self.folder.slot), &serde_json::to_vec(&reply)?)
    }

    /// Applies the reply to this process's query, if it has arrived.
    fn receive_reply(&mut self) {
        let Some(ids) = self.ids.as_ref().filter(|ids| ids.is_awaiting_peer()) else { return };
        let reply: Option<Reply> =
            read_changed(&self.folder, &mut self.peer_reply_file, &reply_file(self.folder.peer_slot()));
        if let Some(reply) = reply.filter(|reply| reply.token == self.token) {
            ids.accept_summary(reply.ledger, self.directory.clone());
        }
    }

    /// Imports and removes the claims. Called while no peer process is running.
    async fn import_and_clear(&mut self) -> io::Result<()> {
        self.unanswered = None;
        let Some(ids) = self.ids.clone() else { return Ok(()) };
        if !ids.is_alone() {
            self.import_claims(&ids).await?;
            ids.stop_sharing();
            self.must_clear = true;
        }
        self.clear_claims().await
    }

    async fn import_claims(&self, ids: &RepeatIds) -> io::Result<()> {
        for (n, claim) in self.directory.claims()?.enumerate() {
            let (name, entry) = claim?;
            if entry.is_none() {
                report_ignored_file(&name, &"the claim cannot be parsed");
            }
            ids.insert_foreign(name, entry);
            yield_after_batch(n).await;
        }
        Ok(())
    }

    async fn claim_all(&self, ids: &RepeatIds) -> io::Result<()> {
        for (n, name) in ids.digests().into_iter().enumerate() {
            let claimed = ids.entry(&name).map_or(Ok(()), |entry| self.directory.claim(&name, entry));
            match claimed {
                Ok(()) | Err(ClaimError::Taken(_)) => {}
                Err(ClaimError::NoSpace) => return Err(ErrorKind::StorageFull.into()),
                Err(ClaimError::Unknown(e)) => return Err(e),
            }
            yield_after_batch(n).await;
        }
        Ok(())
    }

    /// Removes all claims, if they are no longer needed.
    async fn clear_claims(&mut self) -> io::Result<()> {
        if !self.must_clear {
            return Ok(());
        }
        for (n, claim) in self.directory.claims()?.enumerate() {
            self.directory.release(&claim?.0)?;
            yield_after_batch(n).await;
        }
        self.must_clear = false;
        Ok(())
    }
}

/// The contents of a file, if it has changed and can be parsed.
fn read_changed<T: DeserializeOwned>(
    folder: &HandoverFolder,
    file: &mut WatchedFile,
    name: &str,
) -> Option<T> {
    let contents = file.read_if_changed(folder.version(name), || folder.read(name))?;
    parse_or_report(name, contents, |bytes| serde_json::from_slice(bytes))
}

/// Lets other tasks run after each batch; `done` is the number of claims handled before the latest one.
async fn yield_after_batch(done: usize) {
    if done % BATCH_SIZE == BATCH_SIZE - 1 {
        tokio::task::yield_now().await;
    }
}

#[cfg(test)]
#[path = "id_exchange_tests.rs"]
mod tests;
