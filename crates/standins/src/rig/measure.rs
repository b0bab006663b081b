//! Measures the service of a run from its log: the share of good answers over time, and the time to full service.

use super::events::{Event, EventKind, Micros, RequestEnd};
use std::collections::{BTreeMap, HashMap};

/// Step width of the curve over all proxies.
pub const CURVE_STEP: Micros = 100_000;
/// Full service is the first second in which the share of good answers reaches this fraction of the share before.
const FULL_SERVICE_RATIO: f64 = 0.98;
const FULL_SERVICE_SPAN: Micros = 1_000_000;
/// Step width of the curve of a single proxy.
const PROXY_STEP: Micros = 5_000;

/// Counts of all requests and of those with a good answer, by the step in which the requests were sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Curve {
    step: Micros,
    counts: Vec<(u64, u64)>,
}

impl Curve {
    /// The share of good answers among the requests sent in a span; `None` without requests.
    pub fn share(&self, from: Micros, to: Micros) -> Option<f64> {
        let steps = self.counts.get((from / self.step) as usize..).unwrap_or_default();
        let steps = steps.iter().take(to.saturating_sub(from).div_ceil(self.step) as usize);
        let (asked, good) = steps.fold((0, 0), |(a, g), step| (a + step.0, g + step.1));
        (asked > 0).then(|| good as f64 / asked as f64)
    }

    /// The time from `began` to the first second of full service.
    fn time_to_full(&self, began: Micros, share_before: f64) -> Option<Micros> {
        let first = began.div_ceil(self.step) as usize;
        // The last step is incomplete, as the run ends in it.
        let last = self.counts.len().saturating_sub((FULL_SERVICE_SPAN / self.step) as usize + 1);
        let full = (first..last).find(|step| {
            let at = *step as Micros * self.step;
            self.share(at, at + FULL_SERVICE_SPAN)
                .is_some_and(|share| share >= FULL_SERVICE_RATIO * share_before)
        });
        full.map(|step| (step as Micros * self.step).saturating_sub(began))
    }
}

/// How the service recovered after the first fault.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovery {
    /// When the first process was started after the first fault; without a start, the time of the fault.
    pub began: Micros,
    /// Share of good answers before the first fault.
    pub share_before: f64,
    /// Share of good answers in the first half second after `began`.
    pub share_first_half_second: f64,
    /// Time from `began` to the first second of full service; `None` if it was never reached.
    pub time_to_full: Option<Micros>,
}

/// Counts requests and good answers over time, with one curve for each value of `key(proxy)`. An answer is good if
/// the request was served within its aim.
fn curves(events: &[Event], step: Micros, key: impl Fn(u32) -> u32) -> BTreeMap<u32, Curve> {
    let mut asked: HashMap<u64, (Micros, Micros, u32)> = HashMap::new();
    let mut curves: BTreeMap<u32, Curve> = BTreeMap::new();
    for event in events {
        match &event.what {
            EventKind::Asked { id, proxy, aim, .. } => {
                let key = key(*proxy);
                asked.insert(*id, (event.at, *aim, key));
                let curve = curves.entry(key).or_insert_with(|| Curve { step, counts: Vec::new() });
                let n = (event.at / step) as usize;
                curve.counts.resize(curve.counts.len().max(n + 1), (0, 0));
                curve.counts[n].0 += 1;
            }
            EventKind::Ended { id, how: RequestEnd::Served, .. } => {
                let good = asked.remove(id).filter(|(at, aim, _)| event.at <= at + aim);
                let curve = good.and_then(|(at, _, key)| Some((at, curves.get_mut(&key)?)));
                if let Some((at, curve)) = curve {
                    curve.counts[(at / step) as usize].1 += 1;
                }
            }
            _ => {}
        }
    }
    curves
}

/// Measures the recovery after the first fault; the share before the fault is measured from `from`, when the run
/// has settled.
pub fn recovery(events: &[Event], from: Micros) -> Option<Recovery> {
    let fault = |e: &&Event| matches!(e.what, EventKind::Fault(_));
    let fault = events.iter().find(fault)?.at;
    let exec = |e: &&Event| e.at >= fault && matches!(e.what, EventKind::Exec { .. });
    let began = events.iter().find(exec).map_or(fault, |e| e.at);
    let curve = curves(events, CURVE_STEP, |_| 0).remove(&0)?;
    let before = curve.share(from, fault)?;
    let half_second = curve.share(began, began + 500_000).unwrap_or(0.0);
    let full = curve.time_to_full(began, before);
    Some(Recovery { began, share_before: before, share_first_half_second: half_second, time_to_full: full })
}

/// The time from the last start of each proxy to its first second of full service as seen by its clients. That
/// second starts after the proxy reports that it serves. The reference share is 1, as a single process has no share
/// from before.
pub fn times_to_full_service(events: &[Event]) -> BTreeMap<u32, Micros> {
    let mut last: BTreeMap<u32, (Micros, Micros)> = BTreeMap::new();
    for event in events {
        match event.what {
            EventKind::Exec { proxy } => drop(last.insert(proxy, (event.at, event.at))),
            EventKind::Serves { proxy } => drop(last.entry(proxy).and_modify(|l| l.1 = event.at)),
            _ => {}
        }
    }
    let curves = curves(events, PROXY_STEP, |proxy| proxy);
    let full = |(p, (exec, serves)): (u32, (Micros, Micros))| {
        let full = curves.get(&p)?.time_to_full(serves, 1.0)?;
        Some((p, serves - exec + full))
    };
    last.into_iter().filter_map(full).collect()
}

/// For each proposed change, the time until the last proxy applied the new version alone; `None` if not all proxies
/// did.
pub fn change_durations(events: &[Event]) -> Vec<Option<Micros>> {
    let proposed: Vec<usize> = (0..events.len())
        .filter(|n| matches!(&events[*n].what, EventKind::Fault(text) if text.starts_with("Propose(")))
        .collect();
    let ends = proposed.iter().skip(1).copied().chain([events.len()]);
    let one = |(begin, end): (&usize, usize)| {
        let mut alone: std::collections::BTreeMap<u32, (String, Micros)> = Default::default();
        for event in &events[..end] {
            if let EventKind::Acts { proxy, kind, versions, since } = &event.what {
                if let ("settings", [version]) = (kind.as_str(), &versions[..]) {
                    alone.insert(*proxy, (version.clone(), *since));
                }
            }
        }
        let mut versions = alone.values().map(|(version, _)| version);
        let first = versions.next()?;
        let last = alone.values().map(|(_, since)| *since).max()?;
        let began = events[*begin].at;
        (versions.all(|v| v == first) && last > began).then(|| last - began)
    };
    proposed.iter().zip(ends).map(one).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rig::events::ReadGuarantee;

    /// A log with ten requests in each step, of which the given number is answered in time.
    fn run(steps: &[u64], fault: usize, exec: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for (n, good) in steps.iter().enumerate() {
            let at = n as Micros * CURVE_STEP;
            if n == fault {
                events.push(Event { at, what: EventKind::Fault("kill".into()) });
            }
            if n == exec {
                events.push(Event { at, what: EventKind::Exec { proxy: 1 } });
            }
            for k in 0..10 {
                let (id, key) = (n as u64 * 10 + k, "k".to_string());
                let (shows, aim) = (ReadGuarantee::Any, 50_000);
                let effect = None;
                let what =
                    EventKind::Asked { id, proxy: 1, key, writes: None, shows, effect, aim, wait: aim };
                events.push(Event { at: at + 1, what });
                let late = if k < *good { 1_000 } else { 60_000 };
                let what = EventKind::Ended { id, how: RequestEnd::Served, value: 0 };
                events.push(Event { at: at + 1 + late, what });
            }
        }
        events.sort_by_key(|e| e.at);
        events
    }

    #[test]
    fn full_service_is_the_first_second_with_the_share_from_before_the_fault() {
        let mut steps = vec![10; 10];
        steps.extend([0; 5]);
        steps.extend([5; 5]);
        steps.extend([10; 20]);
        let back = recovery(&run(&steps, 10, 12), 0).expect("a fault");
        assert_eq!((back.began, back.share_before), (1_200_000, 1.0));
        assert_eq!(back.time_to_full, Some(800_000));
        assert!((back.share_first_half_second - 0.2).abs() < 1e-9, "{}", back.share_first_half_second);
    }

    #[test]
    fn each_proxy_has_its_own_time_from_its_last_start() {
        let mut steps = vec![10; 10];
        steps.extend([0; 5]);
        steps.extend([10; 20]);
        let mut events = run(&steps, 10, 12);
        events.insert(0, Event { at: 0, what: EventKind::Exec { proxy: 1 } });
        events.push(Event { at: 3_400_000, what: EventKind::Exec { proxy: 2 } });
        let full = times_to_full_service(&events);
        // Requests are sent in the first of the 20 steps of each 100 ms. The requests at 1.4 s are bad, so that the
        // first second of full service starts one step later.
        assert_eq!(full.get(&1), Some(&205_000), "{full:?}");
        assert_eq!(full.get(&2), None, "it got no requests");
    }

    #[test]
    fn service_that_never_recovers_has_no_time_and_a_run_without_fault_has_no_recovery() {
        let steps = [[10; 10], [9; 10], [9; 10]].concat();
        assert_eq!(recovery(&run(&steps, 10, 10), 0).expect("a fault").time_to_full, None);
        assert_eq!(recovery(&run(&steps, 99, 99), 0), None);
    }
}
