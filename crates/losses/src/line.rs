//! Parser for the log lines of a process.

use notch_types::prelude::*;

/// One log line of a process, with the time at which it was written.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since the day began.
    pub at: f64,
    /// VM of the process.
    pub vm: String,
    /// Name of the logged event.
    pub event: String,
    fields: FastMap<String, String>,
}

impl LogLine {
    /// Parses a line that begins with its time in seconds and its VM, the format in which the logs of several
    /// processes are joined. `None` if the text isn't such a line.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        let at = words.next()?.parse().ok()?;
        let vm = words.next()?.to_owned();
        let fields: FastMap<String, String> = fields(text).collect();
        let event = fields.get("event")?.clone();
        Some(Self { at, vm, event, fields })
    }

    /// Text of a field; empty if the line has no such field.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// All fields with their texts.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(name, text)| (name.as_str(), text.as_str()))
    }

    /// Numeric value of a field; `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.text(name).parse().ok()
    }
}

/// Splits a line into its `name=value` pairs. Values that contain spaces are quoted.
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
