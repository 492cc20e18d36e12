//! Draws curves over time, of the policy and the baseline, into an SVG file.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use super::report::Curve;

/// Width and height of the drawing, in pixels.
const SIZE_PX: (u32, u32) = (960, 640);

/// Reason why the plot could not be drawn.
#[derive(Debug, Error)]
pub(crate) enum PlotError {
    /// The benchmark has no curves.
    #[error("this benchmark has no figures over time")]
    NoCurves,
    /// The drawing could not be written.
    #[error("{0}")]
    Drawing(String),
}

/// Draws each curve in its own panel into the SVG file at `path`.
pub(crate) fn draw_curves(path: &Path, curves: &[Curve]) -> Result<(), PlotError> {
    if curves.is_empty() {
        return Err(PlotError::NoCurves);
    }
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(to_plot_error)?;
    let panels = root.split_evenly((curves.len(), 1));
    for (panel, curve) in panels.iter().zip(curves) {
        draw_panel(panel, curve)?;
    }
    root.present().map_err(to_plot_error)
}

fn draw_panel(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    curve: &Curve,
) -> Result<(), PlotError> {
    let points = || curve.policy.iter().chain(&curve.baseline);
    let hours_max = points().map(|point| point.0).fold(1.0, f64::max);
    let value_max = points().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(curve.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..hours_max, 0.0..value_max * 1.05)
        .map_err(to_plot_error)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .draw()
        .map_err(to_plot_error)?;
    let lines = [
        ("policy", &curve.policy, BLUE),
        ("baseline", &curve.baseline, RED),
    ];
    for (label, points, colour) in lines {
        let series = LineSeries::new(points.iter().copied(), colour);
        chart
            .draw_series(series)
            .map_err(to_plot_error)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(to_plot_error)
}

fn to_plot_error(error: impl std::fmt::Display) -> PlotError {
    PlotError::Drawing(error.to_string())
}
