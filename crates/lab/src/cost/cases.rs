//! The cases whose cost is measured.

use crate::drive::{Front, Tally};

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
    /// Requests to measure in total, before `--short` is applied.
    pub length: u64,
}

const SMALL: usize = 8;
const LARGE: usize = 64 * 1024;

/// All cases.
pub fn all() -> Vec<Case> {
    use ExpectedResult::{Missed, Refused, Served};
    use Front::{Odata, Pg};
    [
        (Pg, "yard-board", SMALL, 1, Served, 3_000),
        (Pg, "yard-board", SMALL, 8, Served, 8_000),
        (Pg, "yard-board", SMALL, 64, Served, 24_000),
        (Pg, "my-booking", SMALL, 1, Served, 2_000),
        (Pg, "my-booking", SMALL, 64, Served, 16_000),
        (Pg, "monthly-report", SMALL, 1, Served, 2_000),
        (Pg, "monthly-report", LARGE, 1, Served, 2_000),
        (Pg, "monthly-report", LARGE, 64, Served, 6_000),
        (Pg, "place-order", SMALL, 1, Served, 2_000),
        (Pg, "place-order", SMALL, 64, Served, 16_000),
        (Pg, "place-order", LARGE, 1, Served, 1_000),
        (Pg, "yard-board", SMALL, 64, Refused, 4_800),
        (Pg, "yard-board", SMALL, 64, Missed, 8_000),
        (Odata, "yard-board", SMALL, 1, Served, 2_000),
        (Odata, "yard-board", SMALL, 64, Served, 16_000),
        (Odata, "monthly-report", LARGE, 1, Served, 1_000),
        (Odata, "place-order", SMALL, 64, Served, 8_000),
    ]
    .map(|(front, class, size, clients, kind, length)| {
        let front_name = if front == Pg { "pg" } else { "odata" };
        let size_name = if size == LARGE { "64k" } else { "8b" };
        let kind_name = match kind {
            Served => "",
            Refused => "-refused",
            Missed => "-missed",
        };
        let name = format!("{front_name}-{class}-{size_name}-{clients}{kind_name}");
        Case { name, front, class, size, clients, kind, length }
    })
    .into()
}

impl Case {
    /// How long the clients wait for an answer, in ms.
    pub fn wait_ms(&self) -> u64 {
        match self.class {
            _ if self.kind == ExpectedResult::Missed => 10_000,
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
