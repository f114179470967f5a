//! Limits that all gateways keep together: what each may use without asking, and when all is lent.

pub mod count;
pub mod drain;
pub mod holder;
pub mod table;
pub mod waiting_limit;
