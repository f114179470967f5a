//! The command line of the gateway daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// The gateway daemon of magnolianotch: serves callers and operators on an entry VM.
/// SIGTERM or SIGINT stops it gracefully.
#[derive(FromArgs, Debug)]
pub struct GatewayOptions {
    /// settings file (INI)
    #[argh(option)]
    pub config: PathBuf,
    /// check the settings, print what is wrong, and end
    #[argh(switch)]
    pub check: bool,
}
