//! What a job consists of.

use std::time::Duration;

use notch_types::prelude::*;

/// Terms of a batch route, fixed for a job when it is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobTerms {
    /// All results are due this long after the job was first sent.
    pub due: Duration,
    /// An item may be given up this long after the job was first sent.
    pub item_lifetime: Duration,
    /// Runs of an item that end in failure before it is given up.
    pub max_attempts: u32,
}

/// What is said of the size of an item's answer, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerSize {
    /// The client's estimate: right at the median, but often far off.
    pub estimate: Option<u32>,
    /// The most that the answer may have.
    pub limit: Option<u32>,
}

impl AnswerSize {
    /// Tokens that the answer is expected to have: the estimate within the limit; 0 where nothing is
    /// said.
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
    /// Unique in the job; its runs at targets carry it.
    pub id: String,
    /// The path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request.
    pub body: Vec<u8>,
    /// What it says of its answer's size.
    pub answer: AnswerSize,
    /// Tokens that count against its route's limit while it waits: those of its prompt and the most
    /// that its answer may have.
    pub limit_tokens: u64,
}

/// Name of the limit on waiting tokens of a route, which each account has for itself.
pub fn limit_name(route: &str, account: &str) -> String {
    if account.is_empty() { route.to_owned() } else { format!("{route}/{account}") }
}

/// One job as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// The client's id of the job: a resend carries the same.
    pub id: String,
    /// Host that the job was sent to; its items run on routes of this host.
    pub host: String,
    /// Path that the job was sent to.
    pub path: String,
    /// The route by which it was accepted: its limit counts the job until it ends.
    pub route: String,
    /// The account that sent it; empty for none.
    pub account: String,
    /// When it was first accepted, by the accepting gateway's wall clock.
    pub accepted_at: WallTime,
    /// Its terms.
    pub terms: JobTerms,
    /// The items, in the client's order.
    pub items: Vec<ItemSpec>,
}

impl JobSpec {
    /// Name of the limit on waiting tokens that counts it.
    pub fn limit_name(&self) -> String {
        limit_name(&self.route, &self.account)
    }

    /// Tokens of all its items against the route's limit.
    pub fn limit_tokens(&self) -> u64 {
        self.items.iter().fold(0, |sum, item| sum.saturating_add(item.limit_tokens))
    }

    /// Bytes that the job holds in memory, about.
    pub fn approx_bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len() + item.path.len() + 512).sum()
    }
}
