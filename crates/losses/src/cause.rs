//! Why one online request earned less than it could.

use crate::{line::LogLine, occupancy::OccupancyMap};

/// Why a request earned less than it could.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LossCause {
    /// None: it was in time.
    InTime,
    /// Late: an attempt at a target that failed or went silent came before.
    FailedTarget,
    /// Late: all places were taken.
    AllPlacesTaken,
    /// Late behind an item of a job, while places were free elsewhere.
    BehindItem,
    /// Late, though a place was free somewhere.
    BlindChoice,
    /// Late at a target with a place free: the target was slow, or the gateway.
    SlowTarget,
    /// Broken off by its target, or cut short.
    BrokenByTarget,
    /// Told to come back.
    TurnedAway,
    /// Its client left before the answer.
    Abandoned,
    /// Not served for another reason.
    Other,
}

impl LossCause {
    /// Stable name for tables.
    pub fn code(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::FailedTarget => "late: failed or silent target first",
            Self::AllPlacesTaken => "late: all places taken",
            Self::BehindItem => "late: behind an item",
            Self::BlindChoice => "late: a place was free elsewhere",
            Self::SlowTarget => "late: at a target with a place free",
            Self::BrokenByTarget => "broken by a target",
            Self::TurnedAway => "told to come back",
            Self::Abandoned => "client left",
            Self::Other => "not served",
        }
    }
}

/// The cause of an online request's end; `objective` in milliseconds to the first event.
pub fn judge_request(line: &LogLine, objective: f64, occupancy: &OccupancyMap) -> LossCause {
    if line.event == "request_abandoned" {
        return LossCause::Abandoned;
    }
    match line.text("outcome") {
        "answered" => judge_answer(line, objective, occupancy),
        "no_place" => LossCause::TurnedAway,
        "cut_answer" | "closed_before_answer" | "stalled_answer" | "target_restarted" => {
            LossCause::BrokenByTarget
        }
        _ => LossCause::Other,
    }
}

fn judge_answer(line: &LogLine, objective: f64, occupancy: &OccupancyMap) -> LossCause {
    let first = line.number("first_ms").unwrap_or(f64::MAX);
    if first <= objective {
        return LossCause::InTime;
    }
    if !line.text("failures").is_empty() {
        return LossCause::FailedTarget;
    }
    let began = line.at - line.number("ms").unwrap_or_default() / 1_000.0;
    let (online, items) = occupancy.at(line.text("target"), began);
    let was_full = online + items >= occupancy.slots();
    match (was_full, occupancy.free_places(began) > 0) {
        (false, _) => LossCause::SlowTarget,
        (true, false) => LossCause::AllPlacesTaken,
        (true, true) if items > 0 => LossCause::BehindItem,
        (true, true) => LossCause::BlindChoice,
    }
}
