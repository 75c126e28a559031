//! Fitting of slopes and output of reports.

use parsleylatch_bench::report::{Report, fit_slope};
use test_case::test_case;

#[test_case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 3.0, 2.0, 1.0 ; "line")]
#[test_case(&[(0.0, 4.0), (10.0, 4.0)], 4.0, 0.0, f64::NAN ; "flat")]
fn fit_slope_points(points: &[(f64, f64)], intercept: f64, per_unit: f64, growth_ratio: f64) {
    let slope = fit_slope(points).unwrap();
    assert!((slope.intercept - intercept).abs() < 1e-9, "{slope:?}");
    assert!((slope.per_unit - per_unit).abs() < 1e-9, "{slope:?}");
    let same_growth_ratio = (slope.growth_ratio - growth_ratio).abs() < 1e-9
        || slope.growth_ratio.is_nan() && growth_ratio.is_nan();
    assert!(same_growth_ratio, "{slope:?}");
}

#[test]
fn fit_slope_curved_points() {
    let slope = fit_slope(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)]).unwrap();
    assert!((slope.growth_ratio - 5.0 / 3.0).abs() < 1e-9, "{slope:?}");
}

#[test_case(&[] ; "none")]
#[test_case(&[(1.0, 2.0)] ; "one")]
#[test_case(&[(1.0, 2.0), (1.0, 3.0)] ; "one size")]
fn fit_slope_too_few_sizes(points: &[(f64, f64)]) {
    assert_eq!(fit_slope(points), None);
}

#[test]
fn report_slopes_of_sized_figures() {
    let mut report = Report::new();
    report.add("plain", "alone", 1.0, "ms");
    for size in [3, 6, 9] {
        report.add_sized("sized", "by nodes", size, size as f64 * 2.0, "ms");
    }
    let slopes = report.slopes();
    assert_eq!(slopes.len(), 1);
    assert_eq!(slopes[0].0, "sized");
    assert!((slopes[0].1.per_unit - 2.0).abs() < 1e-9);
}

#[test]
fn report_json_lines() {
    let mut report = Report::new();
    report.add("resume_p50", "kill", 61.5, "ms");
    let mut out = Vec::new();
    report.write_json_lines(&mut out).unwrap();
    let line: serde_json::Value = serde_json::from_slice(&out).unwrap();
    assert_eq!(line["measure"], "resume_p50");
    assert_eq!(line["value"], 61.5);
}
