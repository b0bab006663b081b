//! A request that the core has taken, until its last attempt has ended: who waits for it, and what has become of its attempts.
//!
//! | an attempt is | until | then |
//! | --- | --- | --- |
//! | out | its member's answer, or its end without one | without effect, or possibly run |
//! | without effect, possibly run | | for good: whatever is made of the answer later changes nothing |

use super::{Answer, Request, Work};
use crate::interface::*;
use crate::policy::invariants::RequestProgress;
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// What has become of an attempt, by its end on the wire alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Out,
    WithoutEffect,
    PossiblyRun,
}

/// One attempt.
struct LiveAttempt {
    member: MemberId,
    sent: Time,
    state: AttemptState,
    /// The member was known to be recent enough when this was sent. Positions never go back.
    proven_recent: bool,
}

/// One request.
pub(super) struct LiveRequest {
    pub request: Request,
    pub came: Time,
    /// Taken by the final answer or when the client leaves.
    pub reply: Option<oneshot::Sender<Answer>>,
    /// What a session read must see beyond what members check for it; 0: nothing.
    pub unseen: Position,
    attempts: SmallVec<[LiveAttempt; 4]>,
    /// Nobody waits for its answer, which is to be had all the same once it may have run.
    pub abandoned: bool,
}

impl LiveRequest {
    /// One that has just come, with nothing sent yet.
    pub fn new(request: Request, came: Time, reply: oneshot::Sender<Answer>, unseen: Position) -> Self {
        let (reply, attempts) = (Some(reply), SmallVec::new());
        LiveRequest { request, came, reply, unseen, attempts, abandoned: false }
    }

    /// Its class.
    pub fn class(&self) -> &Class {
        &self.request.class_table.classes[self.request.class]
    }

    /// How many attempts were decided on, sent or not.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Its attempts, by number.
    pub fn numbered(&self) -> impl Iterator<Item = (u32, MemberId)> + '_ {
        self.attempts.iter().enumerate().map(|(number, attempt)| (number as u32, attempt.member))
    }

    /// The member that an attempt went to.
    pub fn member(&self, attempt: u32) -> Option<MemberId> {
        self.attempts.get(attempt as usize).map(|attempt| attempt.member)
    }

    /// Attempts of which the end is not known.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::Out).count()
    }

    /// An attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::PossiblyRun)
    }

    /// Nothing of it has run, and nothing of it is out.
    pub fn untouched(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::WithoutEffect)
    }

    /// The member that the first attempt went to that may have run, or of which the end is not known.
    pub fn first_possible_member(&self) -> Option<MemberId> {
        self.first_possible().map(|attempt| attempt.member)
    }

    fn first_possible(&self) -> Option<&LiveAttempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::WithoutEffect)
    }

    /// What the rules on repeats and refusals are checked by.
    pub fn progress(&self) -> RequestProgress {
        RequestProgress {
            effect: self.class().effect,
            group: self.request.group,
            first_possible_run: self.first_possible().map(|attempt| attempt.sent),
            deadline: self.request.deadline,
        }
    }

    /// Whether a refusal would have its client repeat what may have run as something new: members discard the repeats of a
    /// keyed request by its id, and a front that puts the work into its own words gives each try another.
    pub fn repeat_would_be_new(&self) -> bool {
        let keyed = matches!(self.class().effect, Effect::Keyed { .. });
        keyed && matches!(self.request.work, Work::Operation(_)) && !self.untouched()
    }

    /// An attempt is decided on, at a member that has surely reached this position; its number. It counts as out until it has ended.
    pub fn begin_attempt(&mut self, member: MemberId, sent: Time, reached: Position) -> u32 {
        let proven_recent = reached >= self.unseen;
        self.attempts.push(LiveAttempt { member, sent, state: AttemptState::Out, proven_recent });
        self.attempts.len() as u32 - 1
    }

    /// An attempt has ended so on the wire. Its first end counts.
    pub fn end_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let attempt = self.attempts.get_mut(attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::Out) else { return };
        attempt.state = match outcome.never_ran() {
            true => AttemptState::WithoutEffect,
            false => AttemptState::PossiblyRun,
        };
    }

    /// Whether an answer shows what its session has written. A member that tells its position is taken at its word; of one that
    /// tells none what was known of it when the attempt was sent must do.
    pub fn shows_session(&self, attempt: u32, note: Option<&Note>) -> bool {
        if self.unseen == 0 || note.is_some_and(|note| note.role == Some(Role::Primary)) {
            return true;
        }
        let attempt = self.attempts.get(attempt as usize);
        match note.and_then(|note| note.position) {
            Some(position) => position >= self.unseen,
            None => attempt.is_some_and(|attempt| attempt.proven_recent),
        }
    }
}

#[cfg(test)]
#[path = "live_tests.rs"]
mod tests;
