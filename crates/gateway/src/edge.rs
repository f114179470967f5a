//! The edges that the control thread reaches the outside through.

pub mod link_sink;
pub mod platform_calls;
pub mod vm_poll;
