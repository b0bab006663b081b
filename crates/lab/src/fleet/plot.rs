//! Plots figures of runs over the number of proxies (SVG): time to full service, and peaks at members and at
//! discovery.

use plotters::coord::Shift;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::Path;

const SIZE: (u32, u32) = (960, 860);
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(44, 160, 44), RGBColor(148, 103, 189)];

/// The title of a chart, and a function that reads its figure from a run.
type Chart = (&'static str, fn(&Value) -> Option<f64>);

const CHARTS: [Chart; 4] = [
    ("time to full service, ms", |run| run["full_ms"].as_f64()),
    ("new connections at one member in 250 ms, after the fault", |run| run["opened"][1].as_f64()),
    ("probes of all members in 4 s, after the fault", |run| run["probed"][1].as_f64()),
    ("calls that discovery could not answer", |run| run["unanswered"].as_f64()),
];

/// Means of a figure, by program and number of proxies; runs without the figure are left out.
fn means(runs: &[Value], figure: fn(&Value) -> Option<f64>) -> BTreeMap<String, Vec<(f64, f64)>> {
    let mut all: BTreeMap<(String, u64), Vec<f64>> = BTreeMap::new();
    for run in runs {
        let program = run["program"].as_str().unwrap_or_default().to_string();
        if let (Some(proxies), Some(value)) = (run["proxies"].as_u64(), figure(run)) {
            all.entry((program, proxies)).or_default().push(value);
        }
    }
    let mut lines: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for ((program, proxies), values) in all {
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        lines.entry(program).or_default().push((proxies as f64, mean));
    }
    lines
}

fn draw<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    title: &str,
    lines: &BTreeMap<String, Vec<(f64, f64)>>,
) -> Result<(), Box<dyn Error>>
where
    DB::ErrorType: 'static,
{
    let points = || lines.values().flatten();
    let widest = points().map(|p| p.0).fold(1.0, f64::max) * 1.03;
    let highest = points().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..widest, 0.0..highest)?;
    chart.configure_mesh().x_desc("proxies").max_light_lines(1).draw()?;
    for (n, (program, line)) in lines.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let series = chart.draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?;
        series
            .label(program.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(line.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

/// Plots the figures of runs with several numbers of proxies.
///
/// # Errors
/// If all runs have the same number of proxies, or the file cannot be written.
pub fn write(runs: &[Value], path: &Path) -> Result<(), Box<dyn Error>> {
    let sizes: BTreeSet<u64> = runs.iter().filter_map(|run| run["proxies"].as_u64()).collect();
    if sizes.len() < 2 {
        return Err("a plot is over several numbers of proxies: --proxies 8,16,32".into());
    }
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (title, figure)) in root.split_evenly((2, 2)).iter().zip(CHARTS) {
        draw(area, title, &means(runs, figure))?;
    }
    root.present()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn run(program: &str, proxies: u64, full: Option<f64>) -> Value {
        json!({"program": program, "proxies": proxies, "full_ms": full, "opened": [1, 9], "probed": [1, 2],
            "unanswered": 0})
    }

    #[test]
    fn means_are_grouped_by_program_and_size_and_skip_missing_figures() {
        let runs = [
            run("new", 8, Some(10.0)),
            run("new", 8, Some(30.0)),
            run("new", 16, None),
            run("new", 32, Some(50.0)),
            run("old", 8, Some(70.0)),
        ];
        let lines = means(&runs, CHARTS[0].1);
        assert_eq!(lines["new"], [(8.0, 20.0), (32.0, 50.0)]);
        assert_eq!(lines["old"], [(8.0, 70.0)]);
    }

    #[test]
    fn a_plot_has_four_charts_and_needs_more_than_one_size() {
        let path = std::env::temp_dir().join(format!("linentrail-plot-{}.svg", std::process::id()));
        let runs = [run("new", 8, Some(10.0)), run("new", 128, Some(900.0))];
        write(&runs, &path).expect("the plot is written");
        let text = std::fs::read_to_string(&path).expect("a file");
        assert!(CHARTS.iter().all(|(title, _)| text.contains(title)), "{text}");
        assert!(text.starts_with("<svg") && text.contains("new"));
        std::fs::remove_file(&path).expect("the file is removed");
        assert!(write(&runs[..1], &path).is_err());
    }
}
