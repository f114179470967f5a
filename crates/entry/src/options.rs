//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// A process of an entry VM, or of a VM with a disk.
#[derive(Debug, FromArgs)]
pub struct EntryOptions {
    /// settings file; where it is left out, the platform's variable names it
    #[argh(option)]
    pub config: Option<PathBuf>,
    /// check the settings file, tell its faults and end
    #[argh(switch)]
    pub check: bool,
    #[argh(subcommand)]
    /// what to be
    pub role: RoleOption,
}

/// Role of the process.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RoleOption {
    /// Gateway of an entry VM.
    Gateway(GatewayRole),
    /// Process of a VM with a disk.
    Disk(DiskRole),
}

/// serve clients on an entry VM
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayRole {}

/// stand for a VM with a disk
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "disk")]
pub struct DiskRole {}
