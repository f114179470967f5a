//! Answers that a checker can work out: words drawn from the prompt's hash.

use notch_types::hash::stable_hash64;

/// Words a token can be.
const WORDS: [&str; 32] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "harbor", "inlet", "juniper",
    "kelp", "lagoon", "meadow", "nectar", "orchard", "prairie", "quartz", "ridge", "summit",
    "timber", "upland", "valley", "willow", "yarrow", "zephyr", "birch", "canyon", "dune",
    "estuary", "fern", "glade", "heath",
];

/// Words in one block of the prefix cache.
pub(super) const BLOCK_TOKENS: usize = 16;

/// The prompt of a chat: its messages' contents, a line each.
pub fn prompt_text<'a>(contents: impl IntoIterator<Item = &'a str>) -> String {
    contents.into_iter().collect::<Vec<_>>().join("\n")
}

/// The whole answer to `prompt` with `max_tokens` tokens.
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let digest = prompt_digest(prompt);
    (0..max_tokens).map(|index| token_text(digest, index)).collect()
}

/// What the tokens of an answer depend on.
pub(super) fn prompt_digest(prompt: &str) -> u64 {
    stable_hash64(&[b"prompt", prompt.as_bytes()])
}

/// Token `index` of the answer; all but the first begin with a space.
pub(super) fn token_text(digest: u64, index: u32) -> String {
    let word = WORDS[(mixed(digest, index) % WORDS.len() as u64) as usize];
    if index == 0 { word.to_string() } else { format!(" {word}") }
}

/// Tokens of a text: its words.
pub(super) fn token_count(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Digests of the prompt's heads of 16, 32, 48, … words. Cache events name them.
pub fn prompt_digests(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut digest = 0_u64;
    let blocks = words.chunks_exact(BLOCK_TOKENS);
    let digests = blocks.map(|block| {
        digest = stable_hash64(&[&digest.to_le_bytes(), block.join(" ").as_bytes()]);
        digest
    });
    digests.collect()
}

/// SplitMix64's output function.
fn mixed(digest: u64, index: u32) -> u64 {
    let mut state = digest.wrapping_add(u64::from(index).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    state = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    state ^ (state >> 31)
}
