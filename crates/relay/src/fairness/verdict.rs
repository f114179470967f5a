//! Input and result of the decision on a request.

/// One in this many slots is headroom. It absorbs what gateways admit before they hear of each
/// other's use. With a larger one, the account over its share gets less than 0.9 of what the others
/// leave.
const SLOTS_PER_HEADROOM: u64 = 20;
/// A service is under pressure if fewer than one in this many slots is free. With a threshold as
/// small as the headroom, a flood takes all slots before reports tell of it, and the accounts below
/// their share wait until its requests end.
const SLOTS_PER_PRESSURE: u64 = 4;

/// Slots of a service at usable targets, and their use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FairSlots {
    /// All slots.
    pub all: u64,
    /// Slots without an online request. Items give theirs up to online requests.
    pub free: u64,
    /// Online requests of all gateways, in progress or queued.
    pub online: u64,
}

impl FairSlots {
    /// Slots that are kept free, at least one.
    pub fn headroom(self) -> u64 {
        (self.all / SLOTS_PER_HEADROOM).max(1)
    }

    /// Slots that are divided among the keys. At least one if there are any.
    pub fn shared(self) -> f64 {
        (self.all - self.headroom().min(self.all)).max(self.all.min(1)) as f64
    }

    /// Whether fewer than a quarter of the slots is free, so that requests over their share are
    /// refused. Without any slot there is nothing to share, and the search for one decides.
    pub fn is_under_pressure(self) -> bool {
        self.all > 0 && self.free < (self.all / SLOTS_PER_PRESSURE).max(1)
    }
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FairVerdict {
    /// The request may search for a slot.
    Admit,
    /// The request is refused.
    Refuse {
        /// Requests of its key in progress or queued, over all gateways as far as is known. It may be below
        /// `share`, as the decision is made by the estimated use.
        used: u64,
        /// Fair share of its key, slots.
        share: f64,
    },
}
