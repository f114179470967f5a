//! Limits that all gateways enforce together: the shares that gateways may use without asking, and
//! counts when the limit is fully allocated.

pub mod count;
pub mod drain;
pub mod holder;
pub mod table;
pub mod waiting_limit;
