//! The cases whose cost is measured.

use crate::drive::{Front, Tally};
use linentrail_standins::member::Behaviour;
use std::time::Duration;

/// The result that the requests of a case must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedResult {
    /// All are served.
    Served,
    /// All are refused, because all members refuse everything.
    Refused,
    /// The primary serves all, because all replicas report that they are too far behind.
    Missed,
}

/// How a member's answers to the fence of a statement and to the statement itself follow each other. One client in
/// sequence finds both in one read or in two, depending on the speed of the machine, unless the members settle it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceAnswer {
    /// The members answer each query at once; the machine decides.
    Unsettled,
    /// Both answers leave in one write.
    Together,
    /// The statement's answer leaves [`APART`] later, when the fence's has been read.
    Apart,
}

/// Time between two answers that come apart: short of the rest after which the proxy looks at a connection first.
const APART: Duration = Duration::from_micros(300);

/// One case to measure.
#[derive(Debug, Clone)]
pub struct Case {
    /// Name, as in the budgets file.
    pub name: String,
    /// Protocol of the clients.
    pub front: Front,
    /// Class of the requests.
    pub class: &'static str,
    /// Size of the value in bytes.
    pub size: usize,
    /// Number of clients, each with its own connection.
    pub clients: usize,
    /// The expected result of the requests.
    pub kind: ExpectedResult,
    /// How the answers to a fence and to its statement follow each other.
    pub fence_answer: FenceAnswer,
    /// Requests to measure in total, before `--short` is applied.
    pub length: u64,
}

const SMALL: usize = 8;
const LARGE: usize = 64 * 1024;

/// All cases.
pub fn all() -> Vec<Case> {
    use ExpectedResult::{Missed, Refused, Served};
    use FenceAnswer::{Apart, Together, Unsettled};
    use Front::{Odata, Pg};
    [
        (Pg, "yard-board", SMALL, 1, Served, Together, 3_000),
        (Pg, "yard-board", SMALL, 1, Served, Apart, 3_000),
        (Pg, "yard-board", SMALL, 8, Served, Unsettled, 8_000),
        (Pg, "yard-board", SMALL, 64, Served, Unsettled, 24_000),
        (Pg, "my-booking", SMALL, 1, Served, Together, 2_000),
        (Pg, "my-booking", SMALL, 1, Served, Apart, 2_000),
        (Pg, "my-booking", SMALL, 64, Served, Unsettled, 16_000),
        (Pg, "monthly-report", SMALL, 1, Served, Together, 2_000),
        (Pg, "monthly-report", SMALL, 1, Served, Apart, 2_000),
        (Pg, "monthly-report", LARGE, 1, Served, Unsettled, 2_000),
        (Pg, "monthly-report", LARGE, 64, Served, Unsettled, 6_000),
        (Pg, "place-order", SMALL, 1, Served, Unsettled, 2_000),
        (Pg, "place-order", SMALL, 64, Served, Unsettled, 16_000),
        (Pg, "place-order", LARGE, 1, Served, Unsettled, 1_000),
        (Pg, "yard-board", SMALL, 64, Refused, Unsettled, 4_800),
        (Pg, "yard-board", SMALL, 64, Missed, Unsettled, 8_000),
        (Odata, "yard-board", SMALL, 1, Served, Together, 2_000),
        (Odata, "yard-board", SMALL, 1, Served, Apart, 2_000),
        (Odata, "yard-board", SMALL, 64, Served, Unsettled, 16_000),
        (Odata, "monthly-report", LARGE, 1, Served, Unsettled, 1_000),
        (Odata, "place-order", SMALL, 64, Served, Unsettled, 8_000),
    ]
    .map(|(front, class, size, clients, kind, fence_answer, length)| {
        let front_name = if front == Pg { "pg" } else { "odata" };
        let size_name = if size == LARGE { "64k" } else { "8b" };
        let kind_name = match kind {
            Served => "",
            Refused => "-refused",
            Missed => "-missed",
        };
        let fence_name = match fence_answer {
            Unsettled => "",
            Together => "-together",
            Apart => "-apart",
        };
        let name = format!("{front_name}-{class}-{size_name}-{clients}{kind_name}{fence_name}");
        Case { name, front, class, size, clients, kind, fence_answer, length }
    })
    .into()
}

impl Case {
    /// How the member with this index handles statements; the first is the primary.
    pub fn behaviour(&self, member: usize) -> Behaviour {
        match (self.kind, self.fence_answer) {
            (ExpectedResult::Refused, _) => Behaviour::Full,
            (ExpectedResult::Missed, _) if member > 0 => Behaviour::Miss,
            (_, FenceAnswer::Together) => Behaviour::Together,
            (_, FenceAnswer::Apart) => Behaviour::Delayed(APART),
            _ => Behaviour::Answer,
        }
    }

    /// How long the clients wait for an answer, in ms.
    pub fn wait_ms(&self) -> u64 {
        match self.class {
            _ if self.kind == ExpectedResult::Missed => 10_000,
            // Refusals come when the client's time is over: short enough that some segments see no renewed list.
            _ if self.kind == ExpectedResult::Refused => 50,
            "place-order" => 3_000,
            "yard-board" => 500,
            _ => 700,
        }
    }

    /// Requests of a short and of a long segment: few enough that most segments pass without a stall of the
    /// machine, and enough that each client sends several.
    pub fn segment_lengths(&self) -> (u64, u64) {
        let short = (self.clients as u64 * 3).max(25);
        (short, short * 3)
    }

    /// Checks that at least 49 of 50 requests had the expected result; otherwise the cost of another path was
    /// measured. The rest allows for stalls of the machine.
    pub fn judge(&self, tally: &Tally) -> Result<(), String> {
        let as_expected = if self.kind == ExpectedResult::Refused { tally.refused } else { tally.served };
        match tally.all() > 0 && as_expected * 50 >= tally.all() * 49 {
            true => Ok(()),
            false => Err(format!(
                "{}: {} served, {} refused, {} failed, {} without an answer",
                self.name, tally.served, tally.refused, tally.failed, tally.unanswered
            )),
        }
    }
}
