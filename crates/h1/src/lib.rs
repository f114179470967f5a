//! HTTP/1.1 messages over TCP, for a relay. A relay has to be able to drop a connection in the middle of
//! an answer, must pass on a truncated answer as truncated, and must never deliver bytes that belong to
//! no request. So this crate handles message framing itself; `httparse` parses heads and chunk sizes.

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
        writer::{LAST_CHUNK, MessageWriter, write_all, write_chunk, write_within},
    };
}
