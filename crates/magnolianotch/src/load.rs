//! Load as callers make it: requests whose right answers are known, sent and checked.

pub mod client;
pub mod prompt;
pub mod report;

pub use client::{LoadClient, OnlineReply, ReplyEnd};
pub use prompt::OnlinePrompt;
pub use report::LatencyReport;
