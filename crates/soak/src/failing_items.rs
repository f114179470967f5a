//! Jobs whose items fail at each run.

/// Items that fail at each run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailingItems {
    /// Each run is answered with a failure that may pass.
    Failed,
    /// Each run is answered with a failure that is final.
    Impossible,
}

impl FailingItems {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Failed, Self::Impossible];

    /// Beginning of the ids of such jobs.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Failed => "failed-",
            Self::Impossible => "impossible-",
        }
    }

    /// Status with which targets answer.
    pub fn status(self) -> u16 {
        match self {
            Self::Failed => 500,
            Self::Impossible => 422,
        }
    }

    /// The kind of an item or of a job; `None` for one that doesn't fail.
    pub fn of(id: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|items| id.starts_with(items.prefix()))
    }

    /// Most runs of an item with `attempts` attempts: three times those that it has without the loss of a gateway.
    pub fn most_runs(self, attempts: usize) -> usize {
        match self {
            Self::Failed => 3 * attempts,
            Self::Impossible => 3,
        }
    }
}
