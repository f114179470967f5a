//! The digest by which prompts with the same head are known.

use notch_types::hash::stable_hash64;
use serde::Deserialize;

/// Words of a prompt's head: one block of an engine's prefix cache.
const HEAD_WORDS: usize = 16;

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// The digest of the head of a chat's prompt, as engines name the first block of a cached prefix.
/// `None` for a prompt shorter than a block, or a body that is no chat.
pub fn prompt_head(body: &[u8]) -> Option<u64> {
    let chat: ChatBody = serde_json::from_slice(body).ok()?;
    let words = chat.messages.iter().flat_map(|message| message.content.split_whitespace());
    let head: Vec<&str> = words.take(HEAD_WORDS).collect();
    let none_before = 0_u64.to_le_bytes();
    (head.len() == HEAD_WORDS).then(|| stable_hash64(&[&none_before, head.join(" ").as_bytes()]))
}
