//! The cases that are measured.

use crate::drive::{Front, Tally};

/// What becomes of the requests of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// All are served.
    Served,
    /// All members turn everything away, so that all are refused.
    Refused,
    /// All replicas take themselves for too far behind, so that the primary serves.
    Missed,
}

/// One case.
#[derive(Debug, Clone)]
pub struct Case {
    /// Its name, as in the budgets.
    pub name: String,
    /// The front.
    pub front: Front,
    /// The class.
    pub class: &'static str,
    /// Bytes of the value.
    pub size: usize,
    /// Clients, each with a connection of its own.
    pub clients: usize,
    /// What becomes of the requests.
    pub kind: Kind,
    /// Requests in the longer run.
    pub length: u64,
}

const SMALL: usize = 8;
const LARGE: usize = 64 * 1024;

/// All of them.
pub fn all() -> Vec<Case> {
    use Front::{Odata, Pg};
    use Kind::{Missed, Refused, Served};
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
    /// How long its clients wait.
    pub fn wait_ms(&self) -> u64 {
        match self.class {
            _ if self.kind == Kind::Missed => 10_000,
            "place-order" => 3_000,
            "yard-board" => 500,
            _ => 700,
        }
    }

    /// Requests of a short and of a long stretch: few enough that most pass without a standstill of the machine, and
    /// enough that each client has several.
    pub fn stretches(&self) -> (u64, u64) {
        let less = (self.clients as u64 * 3).max(25);
        (less, less * 3)
    }

    /// Whether nearly all requests ended as the case is meant: a cost of something else would tell nothing. A few may
    /// not, on a machine that stands still for a while.
    pub fn judge(&self, tally: &Tally) -> Result<(), String> {
        let meant = if self.kind == Kind::Refused { tally.refused } else { tally.served };
        match tally.all() > 0 && meant * 50 >= tally.all() * 49 {
            true => Ok(()),
            false => Err(format!(
                "{}: {} served, {} refused, {} failed, {} without an answer",
                self.name, tally.served, tally.refused, tally.failed, tally.broken
            )),
        }
    }
}
