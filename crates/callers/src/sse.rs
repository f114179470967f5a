//! Server-sent events of a streamed answer.

use notch_types::prelude::*;

use crate::refusal::ErrorView;

/// The last event of a whole answer. An answer that does not end with it is not whole.
pub const DONE_MARK: &[u8] = b"data: [DONE]\n\n";
/// The content type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The event that ends an answer which breaks off: an `error` event and no [`DONE_MARK`].
///
/// The parts before it may have ended inside an event; the blank line first keeps a client from
/// reading the two as one.
pub fn refusal_event(refusal: &Refusal) -> Vec<u8> {
    let fields = serde_json::to_string(&ErrorView::from(refusal));
    // Plain text and numbers always serialize; JSON holds no line break that could end the event.
    let fields = fields.expect("an error view is serializable");
    format!("\n\nevent: error\ndata: {fields}\n\n").into_bytes()
}

/// Whether a streamed answer that ended here is whole.
pub fn is_whole(answer: &[u8]) -> bool {
    answer.trim_ascii_end().ends_with(DONE_MARK.trim_ascii_end())
}
