//! Format of log lines.

use std::fmt::Write;

use log::{
    Level, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as JsonValue};

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogStyle {
    /// `key=value` pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// One log line as an ordered list of pairs, with time and level first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogLine {
    pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Creates the line of `record` at `time`. `vm` and `domain` are used if the record has none.
    pub fn new(time: &str, record: &Record<'_>, vm: &str, domain: &str) -> Self {
        let mut line = Self::default();
        line.push("time", time.to_owned());
        line.push("level", level_name(record.level()).to_owned());
        let mut pairs = PairCollector::default();
        // The collector never returns an error.
        let _ = record.key_values().visit(&mut pairs);
        for (key, fallback) in [("vm", vm), ("domain", domain)] {
            let value = pairs.take(key).unwrap_or_else(|| fallback.to_owned());
            line.push(key, value);
        }
        line.pairs.append(&mut pairs.0);
        let message = record.args().to_string();
        if !message.is_empty() {
            line.push("message", message);
        }
        line
    }

    /// The line as text without a line break.
    pub fn render(&self, style: LogStyle) -> String {
        match style {
            LogStyle::Text => self.render_text(),
            LogStyle::Json => self.render_json(),
        }
    }

    fn render_text(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.pairs {
            if !text.is_empty() {
                text.push(' ');
            }
            if is_plain(value) {
                let _ = write!(text, "{key}={value}");
            } else {
                // Quoted and escaped, so that a value can't inject another pair or line.
                let _ = write!(text, "{key}={value:?}");
            }
        }
        text
    }

    fn render_json(&self) -> String {
        let pairs = self.pairs.iter().map(|(k, v)| (k.clone(), JsonValue::from(v.as_str())));
        JsonValue::Object(pairs.collect::<Map<_, _>>()).to_string()
    }

    fn push(&mut self, key: &str, value: String) {
        self.pairs.push((key.to_owned(), value));
    }
}

/// Collects the pairs of a record.
#[derive(Default)]
struct PairCollector(Vec<(String, String)>);

impl PairCollector {
    fn take(&mut self, key: &str) -> Option<String> {
        let index = self.0.iter().position(|(k, _)| k == key)?;
        Some(self.0.remove(index).1)
    }
}

impl<'kvs> VisitSource<'kvs> for PairCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn is_plain(value: &str) -> bool {
    let plain = |c: char| !c.is_control() && !c.is_whitespace() && !matches!(c, '"' | '=' | '\\');
    !value.is_empty() && value.chars().all(plain)
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
