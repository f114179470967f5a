//! The control thread: every decision of a gateway.

pub mod backlog_pace;
pub mod call_table;
pub mod core;
mod core_facts;
mod core_fleet;
mod core_links;
mod core_operators;
mod core_tells;
pub mod entries_view;
pub mod event;
pub mod inbox;
pub mod link_desk;
pub mod online_desk;
pub mod operator_desk;
mod permit_pause;
pub mod shard_desk;
pub mod shard_directory;
pub mod shard_host;
mod shard_replies;
pub mod step;
pub mod suspect_calls;
pub mod thread;
