//! Upper bounds of the size of texts in JSON.

/// Longest form of a character in JSON, per UTF-16 unit: `\u` and four digits.
const ESCAPE_BYTES: usize = 6;

/// Most bytes that a text takes as a JSON string, whichever characters its writer escapes.
pub fn json_string_bytes(text: &str) -> usize {
    2 + text.chars().map(json_char_bytes).sum::<usize>()
}

/// Most bytes that a JSON document takes if its writer escapes all that is not ASCII.
pub fn json_document_bytes(document: &str) -> usize {
    let is_plain = |c: char| c.is_ascii() && c != '\u{7f}';
    let bytes = |c: char| if is_plain(c) { 1 } else { c.len_utf16() * ESCAPE_BYTES };
    document.chars().map(bytes).sum()
}

/// Splits a text into pieces of at most `bytes` each as JSON strings, but of a character at least.
pub fn split_json_string(text: &str, bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let (mut begin, mut size) = (0, 2);
    for (index, c) in text.char_indices() {
        let more = json_char_bytes(c);
        if size + more > bytes && index > begin {
            pieces.push(&text[begin..index]);
            (begin, size) = (index, 2);
        }
        size += more;
    }
    pieces.push(&text[begin..]);
    pieces
}

fn json_char_bytes(c: char) -> usize {
    match c {
        '"' | '\\' | '/' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        ' '..='~' => 1,
        _ => c.len_utf16() * ESCAPE_BYTES,
    }
}
