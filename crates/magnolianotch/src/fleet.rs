//! A whole small fleet inside this process: the platform's stand-in, engines, sidecars, gateways.
//! For the demo, for measurements and for tests; every part is the real daemon's library.

pub mod local_fleet;
pub mod profile;

pub use local_fleet::{FleetError, FleetSettings, LocalFleet};
pub use profile::FleetProfile;
