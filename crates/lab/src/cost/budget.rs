//! Budgets: the maximum cost of a request in each case, read from a file in the repository.

use super::Figures;
use crate::Failure;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The budget of one case. A figure that is left out has no limit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Heap allocations.
    pub allocations: Option<f64>,
    /// Bytes allocated.
    pub allocated: Option<f64>,
    /// System calls that read, write or peek at a socket.
    pub calls: Option<f64>,
    /// Such calls without the checks of idle connections. A connection is checked if it was idle for 3 ms before it is
    /// used again; how many are depends on how fast the machine is.
    pub calls_without_idle_checks: Option<f64>,
    /// Checks of idle connections.
    pub idle_checks: Option<f64>,
    /// Socket calls and wake-ups together.
    pub calls_and_wakeups: Option<f64>,
    /// Bytes copied.
    pub copied: Option<f64>,
}

/// A case that must cost less than another in every figure compared.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheaperThan {
    /// The cheaper case.
    pub case: String,
    /// The more expensive case.
    pub than: String,
}

/// The contents of the budgets file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    /// Budgets by the name of the case.
    pub case: BTreeMap<String, Budget>,
    /// Pairs of cases of which one must cost less.
    #[serde(default)]
    pub less: Vec<CheaperThan>,
}

/// A figure that exceeds its budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Excess {
    /// The case and the figure.
    pub what: String,
    /// The measured value.
    pub counted: f64,
    /// The maximum allowed.
    pub budget: f64,
}

impl Budgets {
    /// Reads the file; fails if it names a case that is not in `known`.
    pub fn load(path: &Path, known: &[String]) -> Result<Self, Failure> {
        let bad = |e: String| Failure::InvalidInput(format!("{}: {}", path.display(), e.replace('\n', " ")));
        let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
        let budgets: Budgets = toml::from_str(&text).map_err(|e| bad(e.to_string()))?;
        let pairs = budgets.less.iter().flat_map(|l| [&l.case, &l.than]);
        let unknown = budgets.case.keys().chain(pairs).find(|name| !known.contains(name)).cloned();
        match unknown {
            Some(name) => Err(bad(format!("there is no case '{name}'"))),
            None => Ok(budgets),
        }
    }

    /// The figures in which a case is not cheaper than the other case of its pair; skips pairs not measured.
    pub fn not_less(&self, measured: &BTreeMap<String, Figures>) -> Vec<Excess> {
        let mut over = Vec::new();
        for CheaperThan { case, than } in &self.less {
            let (Some(cheap), Some(expensive)) = (measured.get(case), measured.get(than)) else { continue };
            for (name, counted, budget) in [
                ("allocations", cheap.allocations, expensive.allocations),
                ("allocated", cheap.allocated, expensive.allocated),
                ("calls", cheap.calls(), expensive.calls()),
            ] {
                if counted >= budget {
                    over.push(Excess { what: format!("{case}: {name}, against {than}"), counted, budget });
                }
            }
        }
        over
    }

    /// The figures of a case that exceed their budgets.
    pub fn over(&self, case: &str, figures: &Figures) -> Vec<Excess> {
        let Some(budget) = self.case.get(case) else { return Vec::new() };
        let all = [
            ("allocations", budget.allocations, figures.allocations),
            ("allocated", budget.allocated, figures.allocated),
            ("calls", budget.calls, figures.calls()),
            (
                "calls_without_idle_checks",
                budget.calls_without_idle_checks,
                figures.calls_without_idle_checks(),
            ),
            ("idle_checks", budget.idle_checks, figures.idle_checks),
            ("calls_and_wakeups", budget.calls_and_wakeups, figures.calls() + figures.wakeups),
            ("copied", budget.copied, figures.copied),
        ];
        let over = |(name, budget, counted): (&str, Option<f64>, f64)| {
            let budget = budget.filter(|b| counted > *b || counted.is_nan())?;
            Some(Excess { what: format!("{case}: {name}"), counted, budget })
        };
        all.into_iter().filter_map(over).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_figures_over_their_budget_are_reported() {
        let text = "[case.a]\nallocations = 10\ncalls = 4.5";
        let budgets: Budgets = toml::from_str(text).expect("valid TOML");
        let within = Figures { allocations: 10.0, reads: 2.0, writes: 2.5, ..Figures::default() };
        assert_eq!(budgets.over("a", &within), []);
        assert_eq!(budgets.over("b", &Figures { allocations: 99.0, ..within }), []);
        let over = budgets.over("a", &Figures { allocations: 10.1, peeks: 1.0, ..within });
        let what: Vec<&str> = over.iter().map(|o| &o.what[..]).collect();
        assert_eq!(what, ["a: allocations", "a: calls"]);
        assert!(toml::from_str::<Budgets>("[case.a]\nalocations = 1").is_err());
    }

    #[test]
    fn checks_of_idle_connections_are_judged_apart_from_the_other_calls() {
        let text = "[case.a]\ncalls_without_idle_checks = 5.5\nidle_checks = 1.1";
        let budgets: Budgets = toml::from_str(text).expect("valid TOML");
        let over = |peeks, idle_checks| {
            let figures = Figures { reads: 3.0, writes: 2.0, peeks, idle_checks, ..Figures::default() };
            budgets.over("a", &figures).into_iter().map(|o| o.what).collect::<Vec<_>>()
        };
        assert!(over(1.0, 1.0).is_empty());
        // Other peeks count as calls, and no request needs two checks.
        assert_eq!(over(0.6, 0.0), ["a: calls_without_idle_checks"]);
        assert_eq!(over(1.6, 1.0), ["a: calls_without_idle_checks"]);
        assert_eq!(over(2.0, 2.0), ["a: idle_checks"]);
    }

    #[test]
    fn a_case_that_is_not_cheaper_than_required_is_reported() {
        let text = "[case.a]\n[case.b]\n[[less]]\ncase = \"a\"\nthan = \"b\"";
        let budgets: Budgets = toml::from_str(text).expect("valid TOML");
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
