//! An open request, from its arrival until its last attempt has ended: its client and the state of its attempts.
//!
//! | state of an attempt | ends with | next state |
//! | --- | --- | --- |
//! | in flight | the member's answer, or an end without one | without effect, or possibly run |
//! | without effect, possibly run | | final: discarding the answer later does not change it |

use super::{Answer, Request, Work};
use crate::interface::*;
use crate::policy::invariants::RequestProgress;
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// State of an attempt, which depends only on how it ended on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    WithoutEffect,
    PossiblyRun,
}

/// One attempt.
struct LiveAttempt {
    member: MemberId,
    sent: Time,
    state: AttemptState,
    /// The member was known to be recent enough when the attempt was sent. This stays true, as positions never go
    /// back.
    proven_recent: bool,
}

/// An open request.
pub(super) struct LiveRequest {
    pub request: Request,
    pub arrived_at: Time,
    /// Taken when the final answer is sent or the client disconnects.
    pub reply: Option<oneshot::Sender<Answer>>,
    /// The position that a session read must reflect beyond what members check for it; 0 if none.
    pub unchecked_position: Position,
    attempts: SmallVec<[LiveAttempt; 4]>,
    /// Nobody waits for the answer any more: no other attempt may begin.
    pub abandoned: bool,
}

impl LiveRequest {
    /// Creates a request that has just arrived, without attempts.
    pub fn new(
        request: Request,
        arrived_at: Time,
        reply: oneshot::Sender<Answer>,
        unchecked_position: Position,
    ) -> Self {
        let (reply, attempts) = (Some(reply), SmallVec::new());
        LiveRequest { request, arrived_at, reply, unchecked_position, attempts, abandoned: false }
    }

    /// The request's class.
    pub fn class(&self) -> &Class {
        &self.request.class_table.classes[self.request.class]
    }

    /// The effect of running the request more than once.
    pub fn effect(&self) -> Effect {
        self.class().effect.of_request(self.request.work.has_idempotency_key())
    }

    /// Number of attempts so far, sent or not.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// The attempts' numbers and members.
    pub fn numbered_attempts(&self) -> impl Iterator<Item = (u32, MemberId)> + '_ {
        self.attempts.iter().enumerate().map(|(number, attempt)| (number as u32, attempt.member))
    }

    /// The member of an attempt.
    pub fn member(&self, attempt: u32) -> Option<MemberId> {
        self.attempts.get(attempt as usize).map(|attempt| attempt.member)
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::PossiblyRun)
    }

    /// Whether no attempt has run or is in flight.
    pub fn had_no_effect(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::WithoutEffect)
    }

    /// The member of the first attempt that may have run or is in flight.
    pub fn first_possible_run_member(&self) -> Option<MemberId> {
        self.first_possible_run().map(|attempt| attempt.member)
    }

    fn first_possible_run(&self) -> Option<&LiveAttempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::WithoutEffect)
    }

    /// The state against which the rules on repeats and refusals are checked.
    pub fn progress(&self) -> RequestProgress {
        RequestProgress {
            effect: self.effect(),
            group: self.request.group,
            first_possible_run: self.first_possible_run().map(|attempt| attempt.sent),
            deadline: self.request.deadline,
            ended: self.reply.is_none() || self.abandoned,
        }
    }

    /// Whether the client's retry after a refusal could run again what may have run already. Members discard
    /// duplicates of a keyed request by its key within a window. A client of a front that generates the statement does
    /// not know that window, and without a repeat id each of its tries gets a new key.
    pub fn retry_would_run_again(&self) -> bool {
        let keyed = matches!(self.effect(), Effect::Keyed { .. });
        keyed && matches!(self.request.work, Work::Operation(_)) && !self.had_no_effect()
    }

    /// Adds an attempt on a member that has certainly reached this position, and returns its number. The attempt
    /// counts as in flight until it has ended.
    pub fn begin_attempt(&mut self, member: MemberId, sent: Time, reached: Position) -> u32 {
        let proven_recent = reached >= self.unchecked_position;
        self.attempts.push(LiveAttempt { member, sent, state: AttemptState::InFlight, proven_recent });
        self.attempts.len() as u32 - 1
    }

    /// Records how an attempt ended on the wire. Only its first end counts.
    pub fn end_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let attempt = self.attempts.get_mut(attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.state == AttemptState::InFlight) else { return };
        attempt.state = match outcome.never_ran() {
            true => AttemptState::WithoutEffect,
            false => AttemptState::PossiblyRun,
        };
    }

    /// Whether an answer reflects the session's last write. If the answer tells the member's position, that position
    /// decides; if not, what was known of the member when the attempt was sent.
    pub fn reflects_session(&self, attempt: u32, note: Option<&Note>) -> bool {
        if self.unchecked_position == 0 || note.is_some_and(|note| note.role == Some(Role::Primary)) {
            return true;
        }
        let attempt = self.attempts.get(attempt as usize);
        match note.and_then(|note| note.position) {
            Some(position) => position >= self.unchecked_position,
            None => attempt.is_some_and(|attempt| attempt.proven_recent),
        }
    }
}

#[cfg(test)]
#[path = "live_tests.rs"]
mod tests;
