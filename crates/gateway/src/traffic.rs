//! Callers' and operators' traffic: HTTP requests and the answers on their way.

pub mod answer_book;
pub mod answer_page;
pub mod front;
