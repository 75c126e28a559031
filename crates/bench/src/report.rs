//! Measured figures and their slopes, written as JSON lines or as a table.

use std::io::Write;

use eyre::Result;
use serde::Serialize;

use crate::latencies::Latencies;

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// Name of the measure.
    pub measure: String,
    /// Conditions of the measurement.
    pub case: String,
    /// System size for figures that belong to a slope, otherwise 0.
    pub size: u64,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// Least-squares line through the figures of one measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub per_unit: f64,
    /// Growth over the last interval divided by growth over the first; 1 for a line.
    pub growth_ratio: f64,
}

/// Figures in the order of their measurement.
#[derive(Clone, Debug, Default)]
pub struct Report {
    figures: Vec<Figure>,
}

impl Report {
    /// Creates an empty report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a figure without a size.
    pub fn add(&mut self, measure: &str, case: &str, value: f64, unit: &'static str) {
        self.add_sized(measure, case, 0, value, unit);
    }

    /// Adds a figure that belongs to a slope.
    pub fn add_sized(
        &mut self,
        measure: &str,
        case: &str,
        size: u64,
        value: f64,
        unit: &'static str,
    ) {
        self.figures.push(Figure {
            measure: measure.to_owned(),
            case: case.to_owned(),
            size,
            value,
            unit,
        });
    }

    /// Adds percentiles in milliseconds and the number of latencies.
    pub fn add_latencies(&mut self, measure: &str, case: &str, latencies: &Latencies) {
        let percentiles = [("p50", 50.0), ("p95", 95.0), ("p99", 99.0), ("max", 100.0)];
        for (name, percent) in percentiles {
            let value = latencies.percentile_ms(percent);
            self.add(&format!("{measure}_{name}"), case, value, "ms");
        }
        self.add(
            &format!("{measure}_count"),
            case,
            latencies.count() as f64,
            "",
        );
    }

    /// All figures added so far.
    pub fn figures(&self) -> &[Figure] {
        &self.figures
    }

    /// Fits a slope to each measure that has at least two sizes.
    pub fn slopes(&self) -> Vec<(String, Slope)> {
        let mut names: Vec<&str> = Vec::new();
        for figure in self.figures.iter().filter(|figure| figure.size > 0) {
            if !names.contains(&figure.measure.as_str()) {
                names.push(&figure.measure);
            }
        }
        let slopes = names.into_iter().filter_map(|name| {
            let points = self.points(name);
            fit_slope(&points).map(|slope| (name.to_owned(), slope))
        });
        slopes.collect()
    }

    /// Returns sizes and values of one measure.
    pub fn points(&self, measure: &str) -> Vec<(f64, f64)> {
        let sized = self
            .figures
            .iter()
            .filter(|figure| figure.measure == measure && figure.size > 0);
        sized
            .map(|figure| (figure.size as f64, figure.value))
            .collect()
    }

    /// Adds the parameters of each slope as figures.
    pub fn add_slopes(&mut self) {
        for (name, slope) in self.slopes() {
            let unit = self
                .figures
                .iter()
                .find(|figure| figure.measure == name)
                .map_or("", |figure| figure.unit);
            self.add(&name, "slope: at size 0", slope.intercept, unit);
            self.add(&name, "slope: per unit of size", slope.per_unit, unit);
            self.add(
                &name,
                "slope: last over first interval",
                slope.growth_ratio,
                "",
            );
        }
    }

    /// Writes one JSON object per line.
    ///
    /// # Errors
    /// Returns an error if `out` can't be written.
    pub fn write_json_lines(&self, out: &mut impl Write) -> Result<()> {
        for figure in &self.figures {
            serde_json::to_writer(&mut *out, figure)?;
            out.write_all(b"\n")?;
        }
        Ok(())
    }

    /// Writes a table.
    ///
    /// # Errors
    /// Returns an error if `out` can't be written.
    pub fn write_table(&self, out: &mut impl Write) -> Result<()> {
        let width = |length_of: fn(&Figure) -> usize| self.figures.iter().map(length_of).max();
        let measure_width = width(|figure| figure.measure.len()).unwrap_or_default();
        let case_width = width(|figure| figure.case.len()).unwrap_or_default();
        for figure in &self.figures {
            let Figure {
                measure,
                case,
                size,
                value,
                unit,
            } = figure;
            writeln!(
                out,
                "{measure:<measure_width$}  {case:<case_width$}  {size:>6}  {value:>14.3} {unit}"
            )?;
        }
        Ok(())
    }
}

/// Fits a least-squares line to points; `None` for fewer than two sizes.
pub fn fit_slope(points: &[(f64, f64)]) -> Option<Slope> {
    let count = points.len() as f64;
    let (first, last) = (points.first()?, points.last()?);
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let squared_deviations: f64 = points
        .iter()
        .map(|(size, _)| (size - mean_size).powi(2))
        .sum();
    if points.len() < 2 || first.0 == last.0 {
        return None;
    }
    let cross_deviations: f64 = points
        .iter()
        .map(|(size, value)| (size - mean_size) * (value - mean_value))
        .sum();
    let per_unit = cross_deviations / squared_deviations;
    let growth = |pair: &[(f64, f64)]| (pair[1].1 - pair[0].1) / (pair[1].0 - pair[0].0);
    let growth_ratio = growth(&points[points.len() - 2..]) / growth(&points[..2]);
    Some(Slope {
        intercept: mean_value - per_unit * mean_size,
        per_unit,
        growth_ratio,
    })
}
