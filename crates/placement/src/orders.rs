//! Orders without an answer.

mod book;
mod reason;

pub(crate) use self::{
    book::{OpenOrder, OrderBook, OrderStage},
    reason::MoveReason,
};
