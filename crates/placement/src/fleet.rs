//! The fleet as its sidecars report it.

mod target;
mod view;

pub(crate) use self::{target::TargetState, view::FleetView};
