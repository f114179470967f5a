//! What the demo prints.

use std::fmt;

use serde_json::{Value, json};

use crate::demo::{batch::JobOutcome, online::OnlineOutcome};

/// The demo's result.
#[derive(Debug, Clone)]
pub struct DemoSummary {
    /// The job.
    pub job: JobOutcome,
    /// The online callers.
    pub online: OnlineOutcome,
    /// Whether every part that was stopped in the end stopped gracefully.
    pub graceful: bool,
    /// How long it all took, seconds.
    pub seconds: f64,
}

impl DemoSummary {
    /// Whether every accepted item has exactly one result, and no caller got a wrong answer.
    pub fn holds(&self) -> bool {
        let job = &self.job;
        let items = job.lost == 0 && job.duplicated == 0 && job.completed == job.accepted;
        let online = self.online.wrong == 0 && self.online.unanswered == 0;
        items && online && job.accepted > 0 && self.online.right > 0
    }

    /// Batch items a second.
    pub fn items_per_s(&self) -> f64 {
        self.job.completed as f64 * 1_000.0 / self.job.took_ms.max(1) as f64
    }

    /// One JSON object.
    pub fn to_json(&self) -> Value {
        json!({
            "accepted": self.job.accepted,
            "completed": self.job.completed,
            "lost": self.job.lost,
            "duplicated": self.job.duplicated,
            "failed": self.job.failed,
            "online_sent": self.online.sent,
            "online_right": self.online.right,
            "online_wrong": self.online.wrong,
            "online_refused": self.online.refused,
            "online_unanswered": self.online.unanswered,
            "online_caller_retries": self.online.retries,
            "online_ttft_p50_ms": self.online.first_token.at(0.50),
            "online_ttft_p95_ms": self.online.first_token.at(0.95),
            "online_ttft_p99_ms": self.online.first_token.at(0.99),
            "online_gap_p95_ms": self.online.gaps.at(0.95),
            "batch_items_per_s": self.items_per_s(),
            "graceful_stop": self.graceful,
            "seconds": self.seconds,
            "holds": self.holds(),
        })
    }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (job, online) = (&self.job, &self.online);
        writeln!(f, "batch job")?;
        writeln!(f, "  items accepted        {:>8}", job.accepted)?;
        writeln!(f, "  one right result      {:>8}", job.completed)?;
        writeln!(f, "  lost                  {:>8}", job.lost)?;
        writeln!(f, "  duplicated            {:>8}", job.duplicated)?;
        writeln!(f, "  failed                {:>8}", job.failed)?;
        writeln!(f, "  items per second      {:>8.1}", self.items_per_s())?;
        writeln!(f, "online requests")?;
        writeln!(f, "  sent                  {:>8}", online.sent)?;
        writeln!(f, "  right answers         {:>8}", online.right)?;
        writeln!(f, "  wrong answers         {:>8}", online.wrong)?;
        writeln!(f, "  refused to the end    {:>8}", online.refused)?;
        writeln!(f, "  unanswered            {:>8}", online.unanswered)?;
        writeln!(f, "  callers' retries      {:>8}", online.retries)?;
        writeln!(f, "  first token p50       {:>8.1} ms", online.first_token.at(0.50))?;
        writeln!(f, "  first token p95       {:>8.1} ms", online.first_token.at(0.95))?;
        writeln!(f, "  between tokens p95    {:>8.1} ms", online.gaps.at(0.95))?;
        writeln!(f, "graceful stop           {:>8}", if self.graceful { "yes" } else { "no" })?;
        writeln!(f, "took                    {:>8.1} s", self.seconds)?;
        let verdict = if self.holds() { "every item has exactly one result" } else { "NOT HELD" };
        write!(f, "{verdict}")
    }
}
