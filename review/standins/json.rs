//! As much of JSON as the stand-ins need: members of an object as raw text.

/// Members of the JSON object `raw`, each with its value's text; none if it isn't an object.
pub fn members(raw: &str) -> Vec<(&str, &str)> {
    let bytes = raw.as_bytes();
    let mut list = Vec::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return list;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = skip_value(bytes, at);
        let key = &raw[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            break;
        }
        let begin = skip_space(bytes, at + 1);
        let end = skip_value(bytes, begin);
        list.push((key, &raw[begin..end]));
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            break;
        }
        at = skip_space(bytes, at + 1);
    }
    list
}

/// The text of the member `name` of the object `raw`.
pub fn member<'a>(raw: &'a str, name: &str) -> Option<&'a str> {
    members(raw).into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Elements of the JSON array `raw`.
pub fn elements(raw: &str) -> Vec<&str> {
    let bytes = raw.as_bytes();
    let mut list = Vec::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'[') {
        return list;
    }
    at = skip_space(bytes, at + 1);
    while at < bytes.len() && bytes[at] != b']' {
        let end = skip_value(bytes, at);
        list.push(&raw[at..end]);
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            break;
        }
        at = skip_space(bytes, at + 1);
    }
    list
}

/// The string that the text `raw` of a JSON string stands for.
pub fn unquoted(raw: &str) -> String {
    let inner = raw.trim().trim_start_matches('"');
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    let mut text = String::new();
    let mut chars = inner.chars();
    while let Some(c) = chars.next() {
        if c != '\\' {
            text.push(c);
            continue;
        }
        match chars.next() {
            Some('n') => text.push('\n'),
            Some('r') => text.push('\r'),
            Some('t') => text.push('\t'),
            Some('b') => text.push('\u{8}'),
            Some('f') => text.push('\u{c}'),
            Some('u') => {
                let code: String = chars.by_ref().take(4).collect();
                let code = u32::from_str_radix(&code, 16).ok().and_then(char::from_u32);
                text.push(code.unwrap_or('?'));
            }
            Some(other) => text.push(other),
            None => {}
        }
    }
    text
}

/// `text` as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while at < bytes.len() && bytes[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Position after the value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    let mut in_string = false;
    while at < bytes.len() {
        let byte = bytes[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
            at += 1;
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' | b':' if depth == 0 => return at,
            byte if byte.is_ascii_whitespace() && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
