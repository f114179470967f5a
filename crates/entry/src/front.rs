//! Clients' connections, and what the platform asks of this VM.

pub mod answer;
pub mod connection;
pub mod listener;
pub mod pages;
