//! Reads an engine's stream of server-sent events: its texts and its end mark.

use serde_json::Value;

/// Marks the end of an engine's stream.
const END_MARK: &[u8] = b"[DONE]";
/// Begins a line that carries data.
const DATA: &[u8] = b"data:";

/// What a stream has told so far.
///
/// Bound: holds one line at a time, at most `line_bytes`.
#[derive(Debug)]
pub(crate) struct StreamReader {
    line: Vec<u8>,
    line_bytes: usize,
    /// Whether the end mark came.
    pub(crate) is_ended: bool,
    /// Whether a line was too long or not what an engine sends.
    pub(crate) is_broken: bool,
    /// Text pieces not yet taken.
    pub(crate) texts: String,
    /// The last data object, without its text.
    pub(crate) last: Option<Value>,
    /// Why generation ended, as the engine says.
    pub(crate) finish_reason: Option<String>,
    /// Token counts, if the engine tells.
    pub(crate) usage: Option<Value>,
    /// Whether texts are wanted at all; without, only the data before the end mark is read.
    collects: bool,
    /// The newest data, unread, while texts aren't wanted.
    unread: Vec<u8>,
}

impl StreamReader {
    pub(crate) fn new(collects: bool, line_bytes: usize) -> Self {
        Self {
            line: Vec::new(),
            line_bytes,
            is_ended: false,
            is_broken: false,
            texts: String::new(),
            last: None,
            finish_reason: None,
            usage: None,
            collects,
            unread: Vec::new(),
        }
    }

    /// Takes in the next bytes.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.extend(&bytes[..end]);
            bytes = &bytes[end + 1..];
            let line = std::mem::take(&mut self.line);
            self.take_line(&line);
            self.line = line;
            self.line.clear();
        }
        self.extend(bytes);
    }

    fn extend(&mut self, bytes: &[u8]) {
        if self.line.len() + bytes.len() > self.line_bytes {
            self.is_broken = true;
            return;
        }
        self.line.extend_from_slice(bytes);
    }

    fn take_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA).map(<[u8]>::trim_ascii) else { return };
        if data == END_MARK {
            self.is_ended = true;
            if !self.unread.is_empty() {
                let last = std::mem::take(&mut self.unread);
                self.take_data(&last);
            }
        } else if self.collects {
            self.take_data(data);
        } else {
            self.unread.clear();
            self.unread.extend_from_slice(data);
        }
    }

    fn take_data(&mut self, data: &[u8]) {
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            self.is_broken = true;
            return;
        };
        if let Some(usage) = value.get("usage").filter(|usage| usage.is_object()) {
            self.usage = Some(usage.clone());
        }
        if let Some(choice) = value.get("choices").and_then(|choices| choices.get(0)) {
            if let Some(text) = choice.pointer("/delta/content").and_then(Value::as_str) {
                self.texts.push_str(text);
            }
            if let Some(reason) = choice.get("finish_reason").and_then(Value::as_str) {
                self.finish_reason = Some(reason.to_owned());
            }
        }
        self.last = Some(value);
    }

    /// The whole answer, as an engine gives it to a caller that doesn't stream.
    pub(crate) fn whole_answer(&self, text: &str) -> Value {
        let told = |field: &str| self.last.as_ref().and_then(|last| last.get(field)).cloned();
        let mut answer = serde_json::json!({
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": self.finish_reason,
            }],
        });
        for field in ["id", "created", "model"] {
            if let Some(value) = told(field) {
                answer[field] = value;
            }
        }
        if let Some(usage) = &self.usage {
            answer["usage"] = usage.clone();
        }
        answer
    }
}
