//! One quantity measured at several sizes, and what it is at the size planned for.

use serde::Serialize;

use super::fit::{LineFit, SlopePoint};

/// The role that bears a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleName {
    /// Every gateway.
    Gateway,
    /// Every sidecar.
    Sidecar,
    /// A gateway that owns a ledger shard.
    ShardOwner,
    /// A gateway that holds the placement lease.
    PlacementHolder,
    /// The platform's object API, all nodes together.
    ObjectApi,
}

impl RoleName {
    /// The role in words.
    pub fn words(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Sidecar => "sidecar",
            Self::ShardOwner => "shard owner",
            Self::PlacementHolder => "placement holder",
            Self::ObjectApi => "object API",
        }
    }
}

/// What is measured against what.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SeriesName {
    /// Who bears it.
    pub role: RoleName,
    /// The quantity.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What is varied.
    pub against: &'static str,
}

/// A quantity at several sizes, its line, and its value at the size planned for.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeSeries {
    /// What it is.
    #[serde(flatten)]
    pub name: SeriesName,
    /// As measured.
    pub points: Vec<SlopePoint>,
    /// The line through them.
    pub fit: LineFit,
    /// The size planned for.
    pub size: f64,
    /// The value there: the point measured there, or else the line's.
    pub at_size: f64,
    /// Whether `at_size` was measured.
    pub measured: bool,
}

impl SlopeSeries {
    /// A series of `(at, value)` points.
    pub fn new(name: SeriesName, size: f64, points: &[(f64, f64)]) -> Self {
        let points: Vec<SlopePoint> =
            points.iter().map(|&(at, value)| SlopePoint { at, value }).collect();
        let fit = LineFit::through(&points);
        let there = points.iter().find(|point| point.at == size).map(|point| point.value);
        let at_size = there.unwrap_or_else(|| fit.value_at(size));
        Self { name, points, fit, size, at_size, measured: there.is_some() }
    }
}

/// A figure without a slope.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SingleFigure {
    /// Who bears it.
    pub role: RoleName,
    /// The quantity, with its circumstances.
    pub quantity: String,
    /// Its unit.
    pub unit: &'static str,
    /// The figure.
    pub value: f64,
}
