//! The placement lease: an object changed by conditional update only.

mod holder;
mod record;

pub use self::{
    holder::{LeaseEffect, LeaseEvent, LeaseHolder},
    record::LeaseRecord,
};
