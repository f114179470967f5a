//! Why an online request lowered the score.

use crate::{line::LogLine, occupancy::OccupancyMap};

/// Why an online request lowered the score.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LossCause {
    /// No loss: the first event was in time.
    InTime,
    /// Late: an earlier attempt failed, or its target went silent.
    FailedTarget,
    /// Late: all slots of all targets were taken.
    AllSlotsTaken,
    /// Late: the target was full with at least one job item, while another target had a free slot.
    BehindItem,
    /// Late: the target was full with online requests, while another target had a free slot.
    FreeSlotElsewhere,
    /// Late although the chosen target had a free slot: the target or the gateway was slow.
    SlowTarget,
    /// The target interrupted the answer or cut it short.
    InterruptedByTarget,
    /// Rejected with a retry hint.
    Rejected,
    /// The client disconnected before the answer.
    Abandoned,
    /// Failed for another reason.
    Other,
}

impl LossCause {
    /// Stable name for the printed tables.
    pub fn code(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::FailedTarget => "late: failed or silent target first",
            Self::AllSlotsTaken => "late: all places taken",
            Self::BehindItem => "late: behind an item",
            Self::FreeSlotElsewhere => "late: a place was free elsewhere",
            Self::SlowTarget => "late: at a target with a place free",
            Self::InterruptedByTarget => "broken by a target",
            Self::Rejected => "told to come back",
            Self::Abandoned => "client left",
            Self::Other => "not served",
        }
    }
}

/// Classifies an online request by its last log line. `objective` is the latency objective to the first event,
/// in milliseconds.
pub fn classify_request(line: &LogLine, objective: f64, occupancy: &OccupancyMap) -> LossCause {
    if line.event == "request_abandoned" {
        return LossCause::Abandoned;
    }
    match line.text("outcome") {
        "answered" => classify_answer(line, objective, occupancy),
        "no_place" | "over_fair_share" => LossCause::Rejected,
        "cut_answer" | "closed_before_answer" | "stalled_answer" | "target_restarted" => {
            LossCause::InterruptedByTarget
        }
        _ => LossCause::Other,
    }
}

fn classify_answer(line: &LogLine, objective: f64, occupancy: &OccupancyMap) -> LossCause {
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
    match (was_full, occupancy.free_slots(began) > 0) {
        (false, _) => LossCause::SlowTarget,
        (true, false) => LossCause::AllSlotsTaken,
        (true, true) if items > 0 => LossCause::BehindItem,
        (true, true) => LossCause::FreeSlotElsewhere,
    }
}
