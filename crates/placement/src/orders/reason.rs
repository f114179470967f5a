//! Why an order is given.

/// Why an order is given; its code stands in notes for `explain`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MoveReason {
    /// The model has fewer copies than it should.
    Repair,
    /// The model has fewer copies than its least number.
    BelowMinimum,
    /// A better served model gives its slot up.
    Displaced,
    /// The model has more copies than it should.
    Surplus,
    /// The catalogue has retired the model.
    Retired,
    /// The catalogue wants another version, adapters or role.
    Rollout,
    /// The copies are spread badly over the failure domains.
    Spread,
    /// The target must be empty before it can change its role.
    RoleFirst,
}

impl MoveReason {
    /// The stable code.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Repair => "repair",
            Self::BelowMinimum => "below_minimum",
            Self::Displaced => "displaced",
            Self::Surplus => "surplus",
            Self::Retired => "retired",
            Self::Rollout => "rollout",
            Self::Spread => "spread",
            Self::RoleFirst => "role_first",
        }
    }
}
