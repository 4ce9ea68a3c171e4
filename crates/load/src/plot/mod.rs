//! SVG plots of latency distributions.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::ExperimentReport;
use crate::PercentilePoint;
use crate::RunReport;
use crate::experiment::class_groups;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_100, 700);
/// Height of the vertical axis when every latency is 0, in milliseconds.
const MIN_AXIS_MS: f64 = 1.0;

/// One line of a plot.
struct PlotLine {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Draws one percentile line for each class.
///
/// # Errors
///
/// When the file can't be written.
pub fn draw_percentiles(report: &RunReport, path: &Path) -> eyre::Result<()> {
    draw_lines("Latency from the intended send time", &report_lines(report, ""), path)
}

/// Draws the percentile lines of several named reports over each other.
///
/// # Errors
///
/// When the file can't be written.
pub fn draw_comparison(reports: &[(&str, &RunReport)], path: &Path) -> eyre::Result<()> {
    let mut lines = Vec::new();
    for (name, report) in reports {
        lines.extend(report_lines(report, &format!("{name}: ")));
    }
    draw_lines("Latency from the intended send time, compared", &lines, path)
}

/// Draws the percentile lines of each scenario, class and variant, as medians over the rounds.
///
/// # Errors
///
/// When the file can't be written.
pub fn draw_experiment(report: &ExperimentReport, path: &Path) -> eyre::Result<()> {
    let mut lines = Vec::new();
    for group in class_groups(report) {
        let rounds: Vec<&[PercentilePoint]> = group
            .classes
            .iter()
            .map(|class| class.percentiles.as_slice())
            .filter(|points| !points.is_empty())
            .collect();
        if !rounds.is_empty() {
            lines.push(PlotLine { label: group.label(), points: median_points(&rounds) });
        }
    }
    draw_lines("Latency from the intended send time, medians over the rounds", &lines, path)
}

/// The median over the rounds at each percentile.
fn median_points(rounds: &[&[PercentilePoint]]) -> Vec<(f64, f64)> {
    let count = rounds.iter().map(|points| points.len()).min().unwrap_or(0);
    let median = |index: usize| {
        let mut points: Vec<PercentilePoint> = rounds.iter().map(|points| points[index]).collect();
        points.sort_by_key(|point| point.latency_us);
        place_point(&points[points.len() / 2])
    };
    (0..count).map(median).collect()
}

/// The lines of a report's classes that have a reply.
fn report_lines(report: &RunReport, prefix: &str) -> Vec<PlotLine> {
    let mut lines = Vec::new();
    for customer in &report.customers {
        for class in customer.classes.iter().filter(|class| !class.percentiles.is_empty()) {
            lines.push(PlotLine {
                label: format!("{prefix}{}/{}", customer.customer, class.class),
                points: class.percentiles.iter().map(place_point).collect(),
            });
        }
    }
    lines
}

/// A point with its place on the horizontal axis, which counts the nines of the percentile.
fn place_point(point: &PercentilePoint) -> (f64, f64) {
    let rest = (1.0 - point.percentile / 100.0).max(0.000_05);
    (-rest.log10(), point.latency_us as f64 / 1_000.0)
}

/// Names a place on the horizontal axis by its percentile.
fn name_percentile(nines: &f64) -> String {
    let percentile = 100.0 - 100.0 * 10_f64.powf(-nines);
    let text = format!("{percentile:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

/// Writes a plot of `lines`.
fn draw_lines(title: &str, lines: &[PlotLine], path: &Path) -> eyre::Result<()> {
    let fail =
        |cause: &dyn std::fmt::Display| eyre!("plot {} can't be written: {cause}", path.display());
    let points = lines.iter().flat_map(|line| &line.points);
    let top = points.fold(MIN_AXIS_MS, |top, (_, latency)| top.max(*latency));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| fail(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(45)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..4.4, 0.0..top * 1.05)
        .map_err(|error| fail(&error))?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("latency, ms")
        .x_label_formatter(&name_percentile)
        .draw()
        .map_err(|error| fail(&error))?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))
            .map_err(|error| fail(&error))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| fail(&error))?;
    area.present().map_err(|error| fail(&error))
}
