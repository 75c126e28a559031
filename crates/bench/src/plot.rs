//! Plots of slopes as SVG files.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::{
    BLUE, ChartBuilder, Circle, IntoDrawingArea, LineSeries, SVGBackend, WHITE,
};

use crate::report::Report;

const PLOT_PIXELS: (u32, u32) = (640, 400);

/// Draws one file for each measure that has a slope.
///
/// # Errors
/// Returns an error that names the file that can't be written.
pub(crate) fn draw_slopes(report: &Report, directory: &Path) -> Result<()> {
    std::fs::create_dir_all(directory)
        .wrap_err_with(|| format!("creating {}", directory.display()))?;
    for (measure, _) in report.slopes() {
        let points = report.points(&measure);
        let file = directory.join(format!("{measure}.svg"));
        draw(&file, &measure, &points)
            .map_err(|error| eyre!("drawing {}: {error}", file.display()))?;
    }
    Ok(())
}

fn draw(
    file: &Path,
    measure: &str,
    points: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let largest =
        |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MIN_POSITIVE, f64::max);
    let (largest_size, largest_value) = (largest(|point| point.0), largest(|point| point.1));
    let area = SVGBackend::new(file, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(measure, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..largest_size * 1.05, 0.0..largest_value * 1.1)?;
    chart.configure_mesh().draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    let dots = points.iter().map(|point| Circle::new(*point, 3, BLUE));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
