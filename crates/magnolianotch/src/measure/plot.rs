//! The figures as a picture.

use std::{error::Error, path::Path};

use plotters::prelude::*;

use crate::{
    load::LatencyReport,
    measure::report::{OnlineReport, ProfileReport},
};

/// Size of the picture, pixels.
const SIZE: (u32, u32) = (1_000, 420);
/// Points of a curve.
const POINTS: u32 = 200;
/// Room for the numbers beside and below the axes, pixels.
const LABEL_ROOM: u32 = 45;
/// Space around each plot, pixels.
const MARGIN: u32 = 15;
/// Height of titles.
const TITLE_SIZE: u32 = 18;

/// Writes the share of online requests by time to first token, a plot for each profile.
///
/// # Errors
/// When the file can't be written.
pub fn write_plot(report: &OnlineReport, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((1, report.profiles.len().max(1)));
    for (area, profile) in areas.iter().zip(&report.profiles) {
        draw(area, profile)?;
    }
    root.present()?;
    Ok(())
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &PlotArea<'_>, profile: &ProfileReport) -> Result<(), Box<dyn Error>> {
    let variants = [
        ("online alone", &profile.alone, BLACK),
        ("with batch, this policy", &profile.policy, BLUE),
        ("with batch, first come first served", &profile.naive, RED),
    ];
    let longest = variants.iter().map(|(_, segment, _)| {
        let report = &segment.online.first_token_of_all;
        if report.is_empty() { 0.0 } else { report.at(0.99) }
    });
    let longest = longest.fold(1.0, f64::max);
    let title = format!("{}: share of requests by time to first token", profile.profile.name);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(LABEL_ROOM)
        .y_label_area_size(LABEL_ROOM)
        .build_cartesian_2d(0.0..longest, 0.0..1.0)?;
    chart.configure_mesh().x_desc("milliseconds").draw()?;
    for (name, segment, color) in variants {
        let line = LineSeries::new(curve(&segment.online.first_token_of_all), &color);
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color);
        chart.draw_series(line)?.label(name).legend(key);
    }
    let position = SeriesLabelPosition::LowerRight;
    chart.configure_series_labels().position(position).background_style(WHITE).draw()?;
    Ok(())
}

fn curve(report: &LatencyReport) -> Vec<(f64, f64)> {
    let share = |point| f64::from(point) / f64::from(POINTS);
    let points = (1..POINTS).map(|point| (report.at(share(point)), share(point)));
    if report.is_empty() { Vec::new() } else { points.collect() }
}
