//! What `--check` prints: every fault of a file, or that there is none.

use std::path::Path;

use crate::{
    config::{GatewayConfig, SidecarConfig},
    error::SettingsErrors,
    file::SettingsFile,
};

/// Which program a file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramKind {
    /// `gateway`
    Gateway,
    /// `sidecar`
    Sidecar,
}

/// Checks the file at `path` for `program`; the text is what a person reads.
///
/// # Errors
/// Every fault of the file, in line order.
pub fn check_file(program: ProgramKind, path: &Path) -> Result<String, SettingsErrors> {
    let file = SettingsFile::load(path)?;
    let node = match program {
        ProgramKind::Gateway => GatewayConfig::from_file(&file)?.node,
        ProgramKind::Sidecar => SidecarConfig::from_file(&file)?.node,
    };
    Ok(format!("{}: valid, for VM {} in failure domain {}", path.display(), node.vm, node.domain))
}
