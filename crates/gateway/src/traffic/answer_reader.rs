//! Reads an answer from its page as it grows.

use std::sync::Arc;

use async_channel::Receiver;

use crate::traffic::answer_page::{AnswerPage, AnswerPart};

/// Reads one answer in order, once.
pub struct AnswerReader {
    page: Arc<AnswerPage>,
    changes: Receiver<()>,
    offset: usize,
}

impl AnswerReader {
    /// Starts at the answer's first byte.
    pub fn new(page: Arc<AnswerPage>) -> Self {
        let changes = page.watch();
        Self { page, changes, offset: 0 }
    }

    /// The next part, waiting for it: bytes, the end, or the cut. Never `Nothing`.
    pub async fn next(&mut self) -> AnswerPart {
        loop {
            match self.page.read(self.offset) {
                AnswerPart::Nothing => {}
                AnswerPart::Bytes(bytes) => {
                    self.offset += bytes.len();
                    return AnswerPart::Bytes(bytes);
                }
                end => return end,
            }
            if self.changes.recv().await.is_err() {
                return AnswerPart::Cut;
            }
        }
    }
}
