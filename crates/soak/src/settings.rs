//! What a soak is to do.

use std::{path::PathBuf, time::Duration};

/// What a soak does.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seed of the faults and of the clients.
    pub seed: u64,
    /// How long faults come.
    pub duration: Duration,
    /// The gateways' program.
    pub program: PathBuf,
    /// Where settings and logs of the gateways are written.
    pub folder: PathBuf,
    /// How many gateways.
    pub gateways: usize,
    /// How many targets.
    pub targets: usize,
    /// How many clients send online requests; a third as many send jobs.
    pub clients: u64,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(20),
            program: PathBuf::from("notch-entry"),
            folder: PathBuf::from("soak"),
            gateways: 3,
            targets: 5,
            clients: 6,
        }
    }
}
