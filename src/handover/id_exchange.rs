//! How two processes of one proxy come to share the repeat ids of bookings.
//!
//! The one that begins asks, by a file, for the ids of the one that serves. That one claims all of its ids in a directory
//! that both see, and from then on each new one before it is sent; then it says so, by a file that names the question.
//! When the other process has ended, what it has claimed is taken in, and the directory is emptied.
//!
//! | file | holds | written by |
//! | --- | --- | --- |
//! | `ids-wanted-N` | the question of the process in slot N | whoever begins beside another process |
//! | `ids-told-N` | the answer of the process in slot N | whoever is asked |
//! | `repeat-ids` | a claim for each id | both |

use super::claims::ClaimDirectory;
use super::folder::{FollowedFile, HandoverFolder};
use super::{passed_over, usable};
use crate::core::counters::{count, counter_value, Count};
use crate::core::repeat_ids::{ClaimError, ClaimStore, LedgerSummary, RepeatIds};
use crate::interface::Time;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::sync::Arc;

/// The directory of claims.
const DIRECTORY: &str = "repeat-ids";
/// Claims that are made, read or removed in one go, between which others get their turn.
const BATCH: usize = 64;

fn wanted_of(slot: usize) -> String {
    format!("ids-wanted-{slot}")
}

fn told_of(slot: usize) -> String {
    format!("ids-told-{slot}")
}

/// The question of a process that begins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Question {
    /// No other question has this one's.
    token: String,
    /// How long the one that asks remembers ids, in us.
    span: Time,
}

/// The answer to one question. All ids of whoever answers are claimed by then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Told {
    token: String,
    ledger: LedgerSummary,
}

/// One process's side of the exchange.
pub struct IdExchange {
    folder: Arc<HandoverFolder>,
    directory: ClaimDirectory,
    /// None where this process takes no bookings with ids; it still answers.
    ids: Option<RepeatIds>,
    /// This process's own question, until it is written down.
    unasked: Option<Question>,
    /// The token of that question.
    token: String,
    wanted: FollowedFile,
    told: FollowedFile,
    /// The other process's question, until it is answered.
    unanswered: Option<Question>,
    /// Claims that nobody needs may stand in the directory.
    to_clear: bool,
}

impl IdExchange {
    /// One for a folder in which a slot is held.
    pub fn new(folder: Arc<HandoverFolder>, ids: Option<RepeatIds>) -> Self {
        let directory = ClaimDirectory::new(folder.path_of(DIRECTORY));
        let (wanted, told) = (FollowedFile::default(), FollowedFile::default());
        let random = RandomState::new().hash_one(folder.slot);
        let token = format!("{}-{random:016x}", std::process::id());
        IdExchange {
            folder,
            directory,
            ids,
            unasked: None,
            token,
            wanted,
            told,
            unanswered: None,
            to_clear: false,
        }
    }

    /// Asks for the other process's ids, where one lives; else takes in what the last ones have left. Until that is done no id
    /// counts as new.
    pub async fn begin(&mut self, peer_lives: bool) {
        let Some(ids) = &self.ids else { return };
        ids.expect_peer();
        if peer_lives {
            self.unasked = Some(Question { token: self.token.clone(), span: ids.span() });
        }
        self.look(peer_lives).await;
    }

    /// Whether the ids of another process have still to be heard.
    pub fn is_waiting(&self) -> bool {
        self.ids.as_ref().is_some_and(RepeatIds::is_awaiting_peer)
    }

    /// One look at what the other process asks and tells, or at what it has left.
    pub async fn look(&mut self, peer_lives: bool) {
        let done = if peer_lives { self.look_at_peer().await } else { self.look_at_rest().await };
        if let Err(e) = done {
            if counter_value(Count::repeat_ids_unshared) == 0 {
                log::error!("repeat ids cannot be shared with another process of this proxy: {e}");
            }
            count(Count::repeat_ids_unshared);
        }
    }

    async fn look_at_peer(&mut self) -> io::Result<()> {
        self.ask()?;
        let name = wanted_of(self.folder.other());
        if let Some(question) = news(&self.folder, &mut self.wanted, &name) {
            self.unanswered = Some(question);
        }
        if let Some(question) = self.unanswered.clone() {
            self.answer(&question).await?;
            self.unanswered = None;
        }
        self.hear();
        Ok(())
    }

    /// Writes this process's question down, once.
    fn ask(&mut self) -> io::Result<()> {
        if let Some(question) = &self.unasked {
            self.folder.write(&wanted_of(self.folder.slot), &serde_json::to_vec(question)?)?;
            self.unasked = None;
        }
        Ok(())
    }

    /// Claims all ids for the other process to see, and says so.
    async fn answer(&mut self, question: &Question) -> io::Result<()> {
        let Some(ids) = self.ids.clone() else {
            // Nothing is known here of what others entered before now.
            let ledger = LedgerSummary { ids: 0, bytes: 0, now: 0, complete_since: 0, span: question.span };
            return self.tell(question, ledger);
        };
        let was_alone = ids.is_alone();
        let done = self.share(&ids, question).await;
        if done.is_err() && was_alone {
            // The other process was told nothing, and takes nothing for new.
            self.to_clear = true;
            ids.stop_sharing();
        }
        done
    }

    async fn share(&mut self, ids: &RepeatIds, question: &Question) -> io::Result<()> {
        self.directory.create()?;
        if ids.is_alone() {
            self.clear().await?;
        } else {
            // Claimed by a process that has ended, and whose place the one that asks has taken.
            self.admit_all(ids).await?;
        }
        ids.share(self.directory.clone());
        self.claim_all(ids).await?;
        self.tell(question, ids.summarize_for_peer(question.span))
    }

    fn tell(&self, question: &Question, ledger: LedgerSummary) -> io::Result<()> {
        let told = Told { token: question.token.clone(), ledger };
        self.folder.write(&told_of(self.folder.slot), &serde_json::to_vec(&told)?)
    }

    /// Takes up the answer to this process's question.
    fn hear(&mut self) {
        let Some(ids) = self.ids.as_ref().filter(|ids| ids.is_awaiting_peer()) else { return };
        let told: Option<Told> = news(&self.folder, &mut self.told, &told_of(self.folder.other()));
        if let Some(told) = told.filter(|told| told.token == self.token) {
            ids.accept_summary(told.ledger, self.directory.clone());
        }
    }

    /// The other process has ended, or there never was one.
    async fn look_at_rest(&mut self) -> io::Result<()> {
        self.unanswered = None;
        let Some(ids) = self.ids.clone() else { return Ok(()) };
        if !ids.is_alone() {
            self.admit_all(&ids).await?;
            ids.stop_sharing();
            self.to_clear = true;
        }
        self.clear().await
    }

    async fn admit_all(&self, ids: &RepeatIds) -> io::Result<()> {
        for (n, claim) in self.directory.claims()?.enumerate() {
            let (name, entry) = claim?;
            if entry.is_none() {
                passed_over(&name, &"it is no claim that can be read");
            }
            ids.insert_foreign(name, entry);
            turn(n).await;
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
            turn(n).await;
        }
        Ok(())
    }

    /// Removes all claims, if that is still to be done.
    async fn clear(&mut self) -> io::Result<()> {
        if !self.to_clear {
            return Ok(());
        }
        for (n, claim) in self.directory.claims()?.enumerate() {
            self.directory.release(&claim?.0)?;
            turn(n).await;
        }
        self.to_clear = false;
        Ok(())
    }
}

/// What a file holds, if it has changed and can be understood.
fn news<T: DeserializeOwned>(folder: &HandoverFolder, file: &mut FollowedFile, name: &str) -> Option<T> {
    let news = file.news(folder.mark(name), || folder.read(name))?;
    usable(name, news, |bytes| serde_json::from_slice(bytes))
}

/// Lets others run behind each batch.
async fn turn(done: usize) {
    if done % BATCH == BATCH - 1 {
        tokio::task::yield_now().await;
    }
}

#[cfg(test)]
#[path = "id_exchange_tests.rs"]
mod tests;
