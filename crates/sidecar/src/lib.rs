//! The sidecar: the only way to the target beside it. One thread decides; traffic runs on tasks.

mod clock;
mod control;
pub mod error;
pub mod handle;
mod pages;
mod poller;
pub mod settings;
mod status;
mod traffic;

/// What a program needs to run a sidecar.
pub mod prelude {
    pub use crate::{error::SidecarError, handle::SidecarHandle, settings::SidecarSettings};
}
