//! Definition of a job.

use std::time::Duration;

use notch_types::prelude::*;

/// Terms of a batch route, fixed for a job when it is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobTerms {
    /// Time after the job was first sent at which all results are due.
    pub due: Duration,
    /// Time after the job was first sent at which an item may be given up.
    pub item_lifetime: Duration,
    /// Number of failed runs after which an item is given up.
    pub max_attempts: u32,
}

/// What the client states about the size of an item's answer, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerSize {
    /// The client's estimate: right at the median, but often far off.
    pub estimate: Option<u32>,
    /// Maximum size of the answer.
    pub limit: Option<u32>,
}

impl AnswerSize {
    /// Expected size of the answer: the estimate, capped at the limit; 0 if nothing is stated.
    pub fn expected(self) -> u32 {
        match (self.estimate, self.limit) {
            (Some(estimate), Some(limit)) => estimate.min(limit),
            (Some(tokens), None) | (None, Some(tokens)) => tokens,
            (None, None) => 0,
        }
    }
}

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemSpec {
    /// Id of the item, unique in the job and sent with its runs at targets.
    pub id: String,
    /// Path of the item's request.
    pub path: String,
    /// Headers of the item's request.
    pub headers: Vec<(String, String)>,
    /// Body of the item's request.
    pub body: Vec<u8>,
    /// Stated size of the answer.
    pub answer: AnswerSize,
    /// Tokens that count against the route's limit while the item waits: those of its prompt and
    /// the maximum of its answer.
    pub limit_tokens: u64,
}

/// Name of a route's limit on waiting tokens; each account has its own.
pub fn limit_name(route: &str, account: &str) -> String {
    if account.is_empty() { route.to_owned() } else { format!("{route}/{account}") }
}

/// A job as accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Id chosen by the client. A resent job has the same id.
    pub id: String,
    /// Host that the job was sent to. Its items run on routes of this host.
    pub host: String,
    /// Path that the job was sent to.
    pub path: String,
    /// Route by which the job was accepted and whose limit counts it until it ends.
    pub route: String,
    /// Account that sent the job; empty if there is none.
    pub account: String,
    /// When the job was first accepted, by the accepting gateway's wall clock.
    pub accepted_at: WallTime,
    /// Terms of the job.
    pub terms: JobTerms,
    /// Items in the client's order.
    pub items: Vec<ItemSpec>,
}

impl JobSpec {
    /// Name of the limit on waiting tokens that counts the job.
    pub fn limit_name(&self) -> String {
        limit_name(&self.route, &self.account)
    }

    /// Tokens of all items that count against the route's limit.
    pub fn limit_tokens(&self) -> u64 {
        self.items.iter().fold(0, |sum, item| sum.saturating_add(item.limit_tokens))
    }

    /// Approximate size of the job in memory, in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len() + item.path.len() + 512).sum()
    }
}
