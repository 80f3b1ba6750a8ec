//! Plots of latency over time as SVG, with the steps of the scenario marked.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, IntoLogRange, LineSeries, PathElement, SVGBackend, Text,
    WHITE,
};
use plotters::style::{Color, IntoFont, Palette, Palette99};

use super::outcome::{KindOutcome, Outcome};

/// The time over which the percentile of one point is taken, in milliseconds.
const BUCKET_MS: u32 = 250;

/// Draws the 99th percentile of the latency of each kind, a point each quarter second.
///
/// Fails if the file can't be written.
pub(super) fn draw(outcome: &Outcome, path: &Path) -> Result<()> {
    let area = SVGBackend::new(path, (1_200, 600)).into_drawing_area();
    let plot_error = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let end_s = outcome.duration_ms as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(&area)
        .caption(outcome.scenario.as_str(), ("sans-serif", 24))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, (1.0..60_000.0).log_scale())
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("p99 latency, ms")
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (index, kind) in outcome.requests.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(p99_points(kind), color))
            .map_err(|error| plot_error(&error))?
            .label(kind.kind.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    for (index, mark) in outcome.events.iter().enumerate() {
        let at_s = mark.at_ms as f64 / 1_000.0;
        let line = PathElement::new([(at_s, 1.0), (at_s, 60_000.0)], BLACK.mix(0.4));
        let height = 50_000.0 / 1.6_f64.powi(i32::try_from(index % 8).unwrap_or(0));
        let font = ("sans-serif", 12).into_font();
        let text = Text::new(mark.label.to_string(), (at_s, height), font);
        chart
            .draw_series([line])
            .map_err(|error| plot_error(&error))?;
        chart
            .draw_series([text])
            .map_err(|error| plot_error(&error))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| plot_error(&error))?;
    area.present().map_err(|error| plot_error(&error))
}

/// Returns the points of one kind: seconds after the load began, and milliseconds.
fn p99_points(kind: &KindOutcome) -> Vec<(f64, f64)> {
    let mut buckets = std::collections::BTreeMap::<u32, Vec<u32>>::new();
    for sample in &kind.samples {
        let bucket = buckets.entry(sample.at_ms / BUCKET_MS).or_default();
        bucket.push(sample.latency_us);
    }
    buckets
        .into_iter()
        .filter_map(|(bucket, mut latencies)| {
            latencies.sort_unstable();
            let p99_us = *latencies.get(latencies.len() * 99 / 100)?;
            let at_s = f64::from(bucket * BUCKET_MS) / 1_000.0;
            Some((at_s, (f64::from(p99_us) / 1_000.0).max(1.0)))
        })
        .collect()
}
