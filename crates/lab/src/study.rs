//! Studies of single decisions: populations of requests against the decision that ships and, beside it,
//! against doing without it.

pub mod crashing_part;
pub mod crowded_gateway;
pub mod taken_up;
