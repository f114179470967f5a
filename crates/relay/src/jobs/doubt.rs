//! What a confirmation of ownership is worth: only what was asked after the last doubt counts.

/// Numbers the moments from which on a job may have been another gateway's. A confirmation carries the
/// number it was asked under; no clocks of two VMs are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnershipGeneration(u64);

impl OwnershipGeneration {
    /// The number of the next doubt.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
