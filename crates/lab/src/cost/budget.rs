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

/// A case that must cost less than another, by all that is counted of both.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Less {
    /// The cheaper case.
    pub case: String,
    /// The dearer one.
    pub than: String,
}

/// All budgets, by case, and what must cost less than what.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// By the case's name.
    pub case: BTreeMap<String, Budget>,
    /// Pairs of cases.
    #[serde(default)]
    pub less: Vec<Less>,
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
        let pairs = budgets.less.iter().flat_map(|l| [&l.case, &l.than]);
        let unknown = budgets.case.keys().chain(pairs).find(|name| !known.contains(name)).cloned();
        match unknown {
            Some(name) => Err(bad(format!("there is no case '{name}'"))),
            None => Ok(budgets),
        }
    }

    /// The pairs, of those that were measured, in which the case meant to be cheaper is not.
    pub fn not_less(&self, measured: &BTreeMap<String, Figures>) -> Vec<Over> {
        let mut over = Vec::new();
        for Less { case, than } in &self.less {
            let (Some(cheap), Some(dear)) = (measured.get(case), measured.get(than)) else { continue };
            for (name, counted, budget) in [
                ("allocations", cheap.allocations, dear.allocations),
                ("allocated", cheap.allocated, dear.allocated),
                ("calls", cheap.calls(), dear.calls()),
            ] {
                if counted >= budget {
                    over.push(Over { what: format!("{case}: {name}, against {than}"), counted, budget });
                }
            }
        }
        over
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

    #[test]
    fn a_case_that_is_not_cheaper_than_its_pair_is_named() {
        let text = "[case.a]\n[case.b]\n[[less]]\ncase = \"a\"\nthan = \"b\"";
        let budgets: Budgets = toml::from_str(text).expect("it can be read");
        let of = |allocations, writes| Figures {
            allocations,
            writes,
            allocated: allocations,
            ..Figures::default()
        };
        let measured = |a, b| BTreeMap::from([("a".to_string(), a), ("b".to_string(), b)]);
        assert_eq!(budgets.not_less(&measured(of(1.0, 1.0), of(2.0, 2.0))), []);
        let over = budgets.not_less(&measured(of(1.0, 2.0), of(2.0, 2.0)));
        assert_eq!(over.len(), 1);
        assert_eq!(over[0].what, "a: calls, against b");
        assert_eq!(budgets.not_less(&BTreeMap::new()), []);
    }
}
