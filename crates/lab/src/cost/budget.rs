//! Budgets: what a request of each case may cost at most, in a file that is checked in.

use super::Figures;
use crate::Failure;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// What one case may cost. What is left out has no limit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Calls for memory.
    pub allocations: Option<f64>,
    /// Bytes that they asked for.
    pub allocated: Option<f64>,
    /// Calls that read, write or look at a socket.
    pub calls: Option<f64>,
    /// Those and wake-ups.
    pub calls_and_wakeups: Option<f64>,
    /// Bytes copied.
    pub copied: Option<f64>,
}

/// All budgets, by case.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// By the case's name.
    pub case: BTreeMap<String, Budget>,
}

/// One figure over its budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Over {
    /// Which case and figure.
    pub what: String,
    /// What was counted, and what may be.
    pub counted: f64,
    /// The budget.
    pub budget: f64,
}

impl Budgets {
    /// Reads the file; each case in it must be one of `known`.
    pub fn load(path: &Path, known: &[String]) -> Result<Self, Failure> {
        let bad = |e: String| Failure::Unusable(format!("{}: {}", path.display(), e.replace('\n', " ")));
        let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
        let budgets: Budgets = toml::from_str(&text).map_err(|e| bad(e.to_string()))?;
        match budgets.case.keys().find(|name| !known.contains(name)) {
            Some(name) => Err(bad(format!("there is no case '{name}'"))),
            None => Ok(budgets),
        }
    }

    /// The figures of a case that are over.
    pub fn over(&self, case: &str, figures: &Figures) -> Vec<Over> {
        let Some(budget) = self.case.get(case) else { return Vec::new() };
        let all = [
            ("allocations", budget.allocations, figures.allocations),
            ("allocated", budget.allocated, figures.allocated),
            ("calls", budget.calls, figures.calls()),
            ("calls_and_wakeups", budget.calls_and_wakeups, figures.calls() + figures.wakeups),
            ("copied", budget.copied, figures.copied),
        ];
        let over = |(name, budget, counted): (&str, Option<f64>, f64)| {
            let budget = budget.filter(|b| counted > *b || counted.is_nan())?;
            Some(Over { what: format!("{case}: {name}"), counted, budget })
        };
        all.into_iter().filter_map(over).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_figure_over_its_budget_is_named_and_one_within_is_not() {
        let text = "[case.a]\nallocations = 10\ncalls = 4.5";
        let budgets: Budgets = toml::from_str(text).expect("it can be read");
        let within = Figures { allocations: 10.0, reads: 2.0, writes: 2.5, ..Figures::default() };
        assert_eq!(budgets.over("a", &within), []);
        assert_eq!(budgets.over("b", &Figures { allocations: 99.0, ..within }), []);
        let over = budgets.over("a", &Figures { allocations: 10.1, peeks: 1.0, ..within });
        let what: Vec<&str> = over.iter().map(|o| &o.what[..]).collect();
        assert_eq!(what, ["a: allocations", "a: calls"]);
        assert!(toml::from_str::<Budgets>("[case.a]\nalocations = 1").is_err());
    }
}
