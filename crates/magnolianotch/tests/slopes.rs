//! The line through measured points, and the value at the size planned for.

use magnolianotch::slopes::{
    fit::{LineFit, SlopePoint},
    part_names,
    series::{RoleName, SeriesName, SlopeSeries},
    unknown_part,
};
use rstest::rstest;

const NAME: SeriesName =
    SeriesName { role: RoleName::Gateway, quantity: "bytes", unit: "B/s", against: "gateways" };

fn points(of: &[(f64, f64)]) -> Vec<SlopePoint> {
    of.iter().map(|&(at, value)| SlopePoint { at, value }).collect()
}

/// The sum of squares that a line leaves.
fn left(points: &[SlopePoint], slope: f64, intercept: f64) -> f64 {
    points.iter().map(|point| (point.value - intercept - slope * point.at).powi(2)).sum()
}

#[rstest]
#[case::rising(&[(4.0, 13.0), (16.0, 37.0), (64.0, 133.0)], 2.0, 5.0)]
#[case::flat(&[(4.0, 7.0), (370.0, 7.0)], 0.0, 7.0)]
#[case::one_point(&[(4.0, 7.0)], 0.0, 7.0)]
#[case::one_place(&[(4.0, 6.0), (4.0, 8.0)], 0.0, 7.0)]
fn points_on_a_line_give_it(
    #[case] given: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
) {
    let fit = LineFit::through(&points(given));
    assert!((fit.slope - slope).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - intercept).abs() < 1e-9, "{fit:?}");
}

#[test]
fn no_line_near_it_leaves_less() {
    let points = points(&[(4.0, 9.0), (16.0, 2.0), (64.0, 40.0), (256.0, 90.0), (370.0, 160.0)]);
    let fit = LineFit::through(&points);
    let least = left(&points, fit.slope, fit.intercept);
    for (slope, intercept) in [(0.001, 0.0), (-0.001, 0.0), (0.0, 0.1), (0.0, -0.1), (0.001, -0.1)]
    {
        assert!(left(&points, fit.slope + slope, fit.intercept + intercept) > least);
    }
    let distance = |point: &SlopePoint| (point.value - fit.value_at(point.at)).abs();
    assert!(points.iter().all(|point| distance(point) <= fit.worst));
    assert!(points.iter().any(|point| distance(point) == fit.worst));
    assert!((0.9..1.0).contains(&fit.r2), "{fit:?}");
}

#[test]
fn the_value_at_size_is_the_measured_one_where_there_is_one() {
    let given = [(4.0, 10.0), (64.0, 70.0), (370.0, 300.0)];
    let measured = SlopeSeries::new(NAME, 370.0, &given);
    assert_eq!((measured.at_size, measured.measured), (300.0, true));
    let read_off = SlopeSeries::new(NAME, 600.0, &given);
    assert_eq!((read_off.at_size, read_off.measured), (read_off.fit.value_at(600.0), false));
}

#[test]
fn a_part_that_is_not_there_is_named() {
    let parts: Vec<String> = part_names().into_iter().map(str::to_owned).collect();
    assert_eq!(unknown_part(&parts), None);
    assert_eq!(unknown_part(&["wire".to_owned(), "wires".to_owned()]), Some("wires"));
}
