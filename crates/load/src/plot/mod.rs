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
/// Minimum top of the latency axis, in milliseconds.
const MIN_LATENCY_AXIS_MS: f64 = 1.0;

/// A labelled line of a plot.
struct PlotSeries {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Plots the latency percentiles of each class.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw_percentiles(report: &RunReport, path: &Path) -> eyre::Result<()> {
    draw_chart("Latency from the intended send time", &report_series(report, ""), path)
}

/// Plots the latency percentiles of each class of several named reports in one chart.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw_comparison(reports: &[(&str, &RunReport)], path: &Path) -> eyre::Result<()> {
    let mut series = Vec::new();
    for (name, report) in reports {
        series.extend(report_series(report, &format!("{name}: ")));
    }
    draw_chart("Latency from the intended send time, compared", &series, path)
}

/// Plots the latency percentiles of each scenario, class and variant, as medians over the rounds.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw_experiment(report: &ExperimentReport, path: &Path) -> eyre::Result<()> {
    let mut series = Vec::new();
    for group in class_groups(report) {
        let rounds: Vec<&[PercentilePoint]> = group
            .classes
            .iter()
            .map(|class| class.percentiles.as_slice())
            .filter(|points| !points.is_empty())
            .collect();
        if !rounds.is_empty() {
            series.push(PlotSeries { label: group.label(), points: median_points(&rounds) });
        }
    }
    draw_chart("Latency from the intended send time, medians over the rounds", &series, path)
}

/// Returns the median point over the rounds at each percentile.
fn median_points(rounds: &[&[PercentilePoint]]) -> Vec<(f64, f64)> {
    let count = rounds.iter().map(|points| points.len()).min().unwrap_or(0);
    let median = |index: usize| {
        let mut points: Vec<PercentilePoint> = rounds.iter().map(|points| points[index]).collect();
        points.sort_by_key(|point| point.latency_us);
        chart_coordinates(&points[points.len() / 2])
    };
    (0..count).map(median).collect()
}

/// Returns a series for each class that has latencies. Labels start with `prefix`.
fn report_series(report: &RunReport, prefix: &str) -> Vec<PlotSeries> {
    let mut series = Vec::new();
    for customer in &report.customers {
        for class in customer.classes.iter().filter(|class| !class.percentiles.is_empty()) {
            series.push(PlotSeries {
                label: format!("{prefix}{}/{}", customer.customer, class.class),
                points: class.percentiles.iter().map(chart_coordinates).collect(),
            });
        }
    }
    series
}

/// Returns the chart coordinates of a point. The horizontal axis is logarithmic: 90 % is at 1, 99 %
/// at 2, 99.9 % at 3.
fn chart_coordinates(point: &PercentilePoint) -> (f64, f64) {
    let tail_share = (1.0 - point.percentile / 100.0).max(0.000_05);
    (-tail_share.log10(), point.latency_us as f64 / 1_000.0)
}

/// Formats the percentile at a position of the horizontal axis.
fn format_percentile(position: &f64) -> String {
    let percentile = 100.0 - 100.0 * 10_f64.powf(-position);
    let text = format!("{percentile:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

/// Writes an SVG chart of `series` to `path`.
fn draw_chart(title: &str, series: &[PlotSeries], path: &Path) -> eyre::Result<()> {
    let plot_error =
        |cause: &dyn std::fmt::Display| eyre!("failed to write plot {}: {cause}", path.display());
    let points = series.iter().flat_map(|line| &line.points);
    let top = points.fold(MIN_LATENCY_AXIS_MS, |top, (_, latency)| top.max(*latency));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(45)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..4.4, 0.0..top * 1.05)
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("latency, ms")
        .x_label_formatter(&format_percentile)
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))
            .map_err(|error| plot_error(&error))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| plot_error(&error))?;
    area.present().map_err(|error| plot_error(&error))
}
