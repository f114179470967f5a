//! The edges that the control thread reaches the outside through.

pub mod link_sink;
pub mod list_pace;
pub mod platform_calls;
pub mod vm_poll;
