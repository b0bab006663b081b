//! A request that the core has taken, until its last attempt has ended: who waits for it, and what has become of its attempts.
//!
//! | an attempt is | until | then |
//! | --- | --- | --- |
//! | out | its member's answer, or its end without one | without effect, or possibly run |
//! | without effect, possibly run | | for good: what is made of the answer later changes nothing |

use super::{Answer, Request};
use crate::interface::*;
use crate::policy::invariants::Progress;
use smallvec::SmallVec;
use tokio::sync::oneshot;

/// One request.
pub(super) struct LiveRequest {
    pub request: Request,
    pub came: Time,
    /// Taken by the final answer or when the client leaves.
    pub reply: Option<oneshot::Sender<Answer>>,
    /// What a session read must see beyond what members check for it; 0: nothing.
    pub unseen: Position,
    /// Members of its attempts, in their order.
    pub attempts: SmallVec<[MemberId; 4]>,
    /// Attempts of which the end is not known.
    pub out: u32,
    /// An attempt may have run.
    pub may_have_run: bool,
    /// Nobody waits for its answer, which is to be had all the same once it may have run.
    pub abandoned: bool,
}

impl LiveRequest {
    /// One that has just come, with nothing sent yet.
    pub fn new(request: Request, came: Time, reply: oneshot::Sender<Answer>, unseen: Position) -> Self {
        LiveRequest {
            request,
            came,
            reply: Some(reply),
            unseen,
            attempts: SmallVec::new(),
            out: 0,
            may_have_run: false,
            abandoned: false,
        }
    }

    /// Its class.
    pub fn class(&self) -> &Class {
        &self.request.terms.classes[self.request.class]
    }

    /// What the rules on repeats and refusals are checked by.
    pub fn progress(&self) -> Progress {
        Progress {
            repeat: self.class().repeat,
            may_have_run: self.may_have_run,
            out: self.out,
            deadline: self.request.deadline,
        }
    }

    /// The member that an attempt went to.
    pub fn member(&self, attempt: u32) -> Option<MemberId> {
        self.attempts.get(attempt as usize).copied()
    }

    /// Nothing of it has run, and nothing of it is out.
    pub fn untouched(&self) -> bool {
        self.out == 0 && !self.may_have_run
    }
}
