//! `[memory]`: how much memory the process may use.

use crate::file::FieldVisitor;

/// How much memory the process may use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemorySettings {
    /// Bytes that the process may use in all; 0 where no limit is known. A part of it is spent on data held for
    /// others, such as answers that clients read slowly.
    pub process_limit: u64,
}

impl MemorySettings {
    /// Bytes that the process may use in all; `None` where no limit is known.
    pub fn limit(&self) -> Option<usize> {
        usize::try_from(self.process_limit).ok().filter(|bytes| *bytes > 0)
    }

    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("memory");
        fields.bytes("process_limit", &mut self.process_limit, 0..=1 << 40);
    }
}
