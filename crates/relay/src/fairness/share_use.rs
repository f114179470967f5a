//! Use of one share key at one gateway.

/// Use of a service by one share key at one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareUse {
    /// The service.
    pub service: String,
    /// The share key.
    pub key: String,
    /// Online requests in progress or queued.
    pub online: u32,
    /// Requests refused in the last second because the key was over its share.
    pub refused: u32,
    /// Weight of the key, above 0. It is not part of messages: each gateway has it from its own
    /// configuration.
    pub weight: f64,
}

impl ShareUse {
    /// Slots that the key uses or was refused.
    pub fn demand(&self) -> u64 {
        u64::from(self.online) + u64::from(self.refused)
    }
}
