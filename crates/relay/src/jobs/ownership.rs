//! Generations of ownership confirmations.

/// Generation number that advances whenever another gateway may have taken over a job. A
/// confirmation of ownership carries the generation in which it was requested and only counts if no
/// later generation is required, so the clocks of two VMs are never compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnershipGeneration(u64);

impl OwnershipGeneration {
    /// Returns the next generation.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
