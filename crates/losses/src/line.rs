//! One line of a process's log.

use notch_types::prelude::*;

/// One line of a process's log, with the time at which it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since the day began.
    pub at: f64,
    /// The process's VM.
    pub vm: String,
    /// What happened.
    pub event: String,
    fields: FastMap<String, String>,
}

impl LogLine {
    /// Reads a line that begins with its time in seconds and its VM, as they stand where the logs of
    /// several processes are joined; `None` when it is none.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let at = words.next()?.parse().ok()?;
        let vm = words.next()?.to_owned();
        let fields: FastMap<String, String> = fields(text).collect();
        let event = fields.get("event")?.clone();
        Some(Self { at, vm, event, fields })
    }

    /// A field's text; empty when it isn't there.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Every field with its text.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(name, text)| (name.as_str(), text.as_str()))
    }

    /// A field's number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.text(name).parse().ok()
    }
}

/// Pairs of a name and a value; a value with spaces stands in quotes.
fn fields(text: &str) -> impl Iterator<Item = (String, String)> {
    let mut rest = text;
    std::iter::from_fn(move || {
        loop {
            rest = rest.trim_start();
            let end = rest.find([' ', '='])?;
            let (name, tail) = rest.split_at(end);
            let Some(value) = tail.strip_prefix('=') else {
                rest = tail;
                continue;
            };
            let (value, tail) = match value.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => value.split_at(value.find(' ').unwrap_or(value.len())),
            };
            rest = tail;
            return Some((name.to_owned(), value.to_owned()));
        }
    })
}
