//! Water-filling: the division of slots among demands of different sizes.

/// Fraction of the shared slots up to which remaining use is served first.
const MAX_REMAINING: f64 = 0.5;

/// Demand of one key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDemand {
    /// Slots that it uses or was refused.
    pub slots: f64,
    /// Its weight, above 0.
    pub weight: f64,
}

/// A division of slots: each key gets its demand, at most this level times its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLevel {
    /// Slots for each unit of weight; infinite if all demands fit.
    pub per_weight: f64,
    /// Slots for each unit of weight if every key asked for all slots; finite.
    pub even: f64,
}

impl ShareLevel {
    /// The highest level at which demands and remaining use together fit into `capacity`.
    ///
    /// Remaining use belongs to keys with too little use to be listed, so it is served first. If it
    /// is more than half of the capacity, it must belong to gateways that do not report keys; more
    /// than half would have the known keys refused on behalf of others.
    pub fn of(mut demands: Vec<ShareDemand>, remaining: f64, capacity: f64) -> Self {
        let mut left = capacity - remaining.min(capacity * MAX_REMAINING);
        let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
        let even = left / weight;
        let relative = |demand: &ShareDemand| demand.slots / demand.weight;
        demands.sort_by(|a, b| relative(a).total_cmp(&relative(b)));
        for demand in demands {
            let level = left / weight;
            if relative(&demand) > level {
                return Self { per_weight: level, even };
            }
            left -= demand.slots;
            weight -= demand.weight;
        }
        Self { per_weight: f64::INFINITY, even }
    }
}
