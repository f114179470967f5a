//! Prompts with known answers.

use notch_standins::expected_text;
use serde_json::json;

/// Words that all prompts of a profile begin with, as a system prompt does.
const HEAD: &str = "you answer briefly and in the language of the person who writes";

/// One online request's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnlinePrompt {
    /// The text of its one message.
    pub text: String,
    /// Tokens of its answer.
    pub answer_tokens: u32,
}

impl OnlinePrompt {
    /// Prompt `number` with about `tokens` words.
    pub fn numbered(kind: &str, number: u64, tokens: usize, answer_tokens: u32) -> Self {
        let filler = (0..tokens.saturating_sub(14)).map(|word| format!("w{}", word % 7));
        let filler = filler.collect::<Vec<_>>().join(" ");
        Self { text: format!("{HEAD} {filler} {kind} {number}"), answer_tokens }
    }

    /// The body of its request.
    pub fn body(&self, model: &str, stream: bool) -> String {
        json!({
            "model": model,
            "messages": [{ "role": "user", "content": self.text }],
            "max_tokens": self.answer_tokens,
            "stream": stream,
        })
        .to_string()
    }

    /// The only right answer.
    pub fn expected(&self) -> String {
        expected_text(&self.text, self.answer_tokens)
    }
}
