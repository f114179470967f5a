//! All series of one run, and how they are printed.

use std::fmt::Write;

use serde::Serialize;

use super::{
    machine,
    series::{RoleName, SeriesName, SingleFigure, SlopeSeries},
};

/// Gateways at which fleets are measured.
pub const NODE_COUNTS: [usize; 5] = [4, 16, 64, 256, 370];
/// Failure domains planned for.
pub const DOMAINS: usize = 5;
/// Gateways planned for.
pub const GATEWAYS: f64 = 370.0;
/// Sidecars planned for.
pub const SIDECARS: f64 = 600.0;
/// Ledger shards planned for.
pub const SHARDS: f64 = 64.0;
/// Client accounts planned for.
pub const ACCOUNTS: f64 = 11_000.0;

/// What a run has shown.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeReport {
    /// Load average of the machine at the start.
    pub load_at_start: f64,
    /// The same at the end.
    pub load_at_end: f64,
    /// Processors of the machine.
    pub processors: usize,
    /// Quantities with a slope.
    pub series: Vec<SlopeSeries>,
    /// Figures without one.
    pub figures: Vec<SingleFigure>,
}

impl SlopeReport {
    /// Nothing measured yet.
    pub fn begin() -> Self {
        let load = machine::load_average();
        Self {
            load_at_start: load,
            load_at_end: load,
            processors: machine::processors(),
            series: Vec::new(),
            figures: Vec::new(),
        }
    }

    /// Adds a series of `(at, value)` points, with the size planned for.
    pub fn add(&mut self, name: SeriesName, size: f64, points: &[(f64, f64)]) {
        self.series.push(SlopeSeries::new(name, size, points));
    }

    /// Adds a figure without a slope.
    pub fn figure(
        &mut self,
        role: RoleName,
        quantity: impl Into<String>,
        unit: &'static str,
        value: f64,
    ) {
        self.figures.push(SingleFigure { role, quantity: quantity.into(), unit, value });
    }

    /// Ends the run.
    pub fn finish(&mut self) {
        self.load_at_end = machine::load_average();
    }

    /// The run as tables for a person, and for a page.
    pub fn tables(&self) -> String {
        let mut text = String::new();
        let (start, end) = (self.load_at_start, self.load_at_end);
        let processors = self.processors;
        let _ = writeln!(
            text,
            "Load average {start:.1} at the start, {end:.1} at the end, on {processors} processors."
        );
        let mut roles: Vec<RoleName> = self.series.iter().map(|series| series.name.role).collect();
        roles.extend(self.figures.iter().map(|figure| figure.role));
        roles.sort_unstable();
        roles.dedup();
        for role in roles {
            let _ = writeln!(text, "\n## {}\n", role.words());
            self.write_series(role, &mut text);
            self.write_figures(role, &mut text);
        }
        text
    }

    fn write_series(&self, role: RoleName, text: &mut String) {
        let mut of_role = self.series.iter().filter(|series| series.name.role == role).peekable();
        if of_role.peek().is_none() {
            return;
        }
        text.push_str("| quantity | against | points (at: value) | slope | intercept | R² | worst | at size |\n");
        text.push_str("|---|---|---|---|---|---|---|---|\n");
        for series in of_role {
            let _ = writeln!(text, "{}", row(series));
        }
    }

    fn write_figures(&self, role: RoleName, text: &mut String) {
        let mut of_role = self.figures.iter().filter(|figure| figure.role == role).peekable();
        if of_role.peek().is_none() {
            return;
        }
        text.push_str("\n| figure | value |\n|---|---|\n");
        for figure in of_role {
            let _ = writeln!(
                text,
                "| {} | {} {} |",
                figure.quantity,
                number(figure.value),
                figure.unit
            );
        }
    }
}

fn row(series: &SlopeSeries) -> String {
    let SeriesName { quantity, unit, against, .. } = series.name;
    let point = |at: f64, value: f64| format!("{}: {}", number(at), number(value));
    let points: Vec<String> = series.points.iter().map(|each| point(each.at, each.value)).collect();
    let how = if series.measured { "measured" } else { "by the line" };
    format!(
        "| {quantity}, {unit} | {against} | {} | {} | {} | {:.3} | {} | {} at {}, {how} |",
        points.join("; "),
        scientific(series.fit.slope),
        number(series.fit.intercept),
        series.fit.r2,
        number(series.fit.worst),
        number(series.at_size),
        number(series.size),
    )
}

/// Few digits, none lost of a whole number.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn scientific(value: f64) -> String {
    if value == 0.0 { "0".to_owned() } else { format!("{value:.2e}") }
}
