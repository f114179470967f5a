//! Callers' and operators' traffic: HTTP requests and the answers on their way.

pub mod answer_book;
pub mod answer_page;
pub mod answer_reader;
pub mod arrival_guard;
pub mod chunk_store;
pub mod front;
pub mod job_desk;
pub mod online;
pub mod operator_front;
pub mod shard_client;
