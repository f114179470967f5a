//! HTTP/1.1 messages over a socket, with exact framing: for relaying, where a connection must be
//! dropped in the middle of an answer, an answer cut short must look cut, and bytes that belong to
//! no request must never reach anyone. `httparse` does the parsing.

pub mod body;
pub mod error;
pub mod head;
pub mod headers;
pub mod reader;
pub mod writer;

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        body::{BodyFraming, BodyProgress},
        error::WireError,
        head::{RequestHead, ResponseHead},
        headers::HeaderList,
        reader::WireReader,
        writer::{MessageWriter, write_all, write_chunk},
    };
}
