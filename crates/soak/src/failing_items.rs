//! Jobs whose items fail at each run.

use notch_platform_standins::target::FailureEnd;

/// Whether a failure may pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// It may pass: the item may be tried again.
    Passing,
    /// It is final.
    Final,
}

/// Items that fail at each run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailingItems {
    /// How each run is answered.
    pub kind: FailureKind,
    /// How that answer ends.
    pub end: FailureEnd,
}

impl FailingItems {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self { kind: FailureKind::Passing, end: FailureEnd::Whole },
        Self { kind: FailureKind::Final, end: FailureEnd::Whole },
        Self { kind: FailureKind::Passing, end: FailureEnd::Cut },
        Self { kind: FailureKind::Final, end: FailureEnd::Cut },
        Self { kind: FailureKind::Passing, end: FailureEnd::Withheld },
        Self { kind: FailureKind::Final, end: FailureEnd::Withheld },
    ];

    /// Beginning of the ids of such jobs.
    pub fn prefix(self) -> &'static str {
        match (self.kind, self.end) {
            (FailureKind::Passing, FailureEnd::Whole) => "failed-",
            (FailureKind::Final, FailureEnd::Whole) => "impossible-",
            (FailureKind::Passing, FailureEnd::Cut) => "cut-failed-",
            (FailureKind::Final, FailureEnd::Cut) => "cut-impossible-",
            (FailureKind::Passing, FailureEnd::Withheld) => "withheld-failed-",
            (FailureKind::Final, FailureEnd::Withheld) => "withheld-impossible-",
        }
    }

    /// Status with which targets answer.
    pub fn status(self) -> u16 {
        match self.kind {
            FailureKind::Passing => 500,
            FailureKind::Final => 422,
        }
    }

    /// The kind of an item or of a job; `None` for one that doesn't fail.
    pub fn of(id: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|items| id.starts_with(items.prefix()))
    }

    /// Most runs of an item with `attempts` attempts: three times those that it has without the loss of a gateway.
    pub fn most_runs(self, attempts: usize) -> usize {
        match self.kind {
            FailureKind::Passing => 3 * attempts,
            FailureKind::Final => 3,
        }
    }
}
