//! A small JSON reader and writer.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as written.
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    space(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(b, at);
                if b.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                let key = string(b, at)?;
                space(b, at);
                if b.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, value(b, at)?));
                space(b, at);
                if b.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(b, at);
                if b.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::Arr(list));
                }
                list.push(value(b, at)?);
                space(b, at);
                if b.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        _ => {
            let from = *at;
            while *at < b.len() && !b",]}".contains(&b[*at]) && !b[*at].is_ascii_whitespace() {
                *at += 1;
            }
            match std::str::from_utf8(&b[from..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => Some(Json::Num(number.to_owned())),
            }
        }
    }
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if b.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out: Vec<u8> = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let c = *b.get(*at + 1)?;
                *at += 2;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

/// The fields of an object with the texts of their values, unread.
pub fn raw_fields(text: &str) -> Option<Vec<(String, String)>> {
    let b = text.as_bytes();
    let mut at = 0;
    space(b, &mut at);
    if b.get(at)? != &b'{' {
        return None;
    }
    at += 1;
    let mut fields = Vec::new();
    loop {
        space(b, &mut at);
        if b.get(at)? == &b'}' {
            return Some(fields);
        }
        let key = string(b, &mut at)?;
        space(b, &mut at);
        at += 1;
        space(b, &mut at);
        let from = at;
        skip(b, &mut at)?;
        fields.push((key, text[from..at].to_owned()));
        space(b, &mut at);
        if b.get(at)? == &b',' {
            at += 1;
        }
    }
}

fn skip(b: &[u8], at: &mut usize) -> Option<()> {
    let mut depth = 0;
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                while *b.get(*at)? != b'"' {
                    *at += if b[*at] == b'\\' { 2 } else { 1 };
                }
                *at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                *at += 1;
            }
            b'}' | b']' => {
                if depth == 0 {
                    return Some(());
                }
                depth -= 1;
                *at += 1;
            }
            b',' if depth == 0 => return Some(()),
            _ => *at += 1,
        }
        if depth == 0 && matches!(b.get(*at), Some(b',' | b'}' | b']') | None) {
            return Some(());
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = SET[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
