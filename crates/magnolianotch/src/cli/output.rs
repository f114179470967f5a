//! Where commands write. Results go to standard output, everything else to standard error.

use std::io::{self, IsTerminal, Write};

use serde::Serialize;
use serde_json::json;

use super::error::CliError;

/// A command's two streams. A closed pipe behind them ends nothing: there is no one left to tell.
pub struct CommandOutput {
    results: Box<dyn Write + Send>,
    notes: Box<dyn Write + Send>,
    /// Whether results are JSON.
    json: bool,
    /// Whether a person sees the notes as they come.
    terminal: bool,
}

impl CommandOutput {
    /// The process's own streams.
    pub fn standard() -> Self {
        Self {
            results: Box::new(io::stdout()),
            notes: Box::new(io::stderr()),
            json: false,
            terminal: io::stderr().is_terminal(),
        }
    }

    /// Other streams, no terminal behind them.
    pub fn to_streams(results: Box<dyn Write + Send>, notes: Box<dyn Write + Send>) -> Self {
        Self { results, notes, json: false, terminal: false }
    }

    /// Sets whether results are JSON.
    pub(super) fn set_json(&mut self, json: bool) {
        self.json = json;
    }

    /// Whether results are JSON.
    pub(super) fn is_json(&self) -> bool {
        self.json
    }

    /// Whether a progress bar makes sense.
    pub(super) fn shows_progress(&self) -> bool {
        self.terminal && !self.json
    }

    /// Writes one line of results.
    pub fn line(&mut self, text: &str) {
        let _ = writeln!(self.results, "{}", text.trim_end());
    }

    /// Writes a value as one line of JSON.
    pub fn json(&mut self, value: &impl Serialize) {
        if let Ok(text) = serde_json::to_string(value) {
            self.line(&text);
        }
    }

    /// Writes bytes of results as they are.
    ///
    /// # Errors
    /// When nobody takes them any more: the rest of a long answer is not worth fetching.
    pub fn bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.results.write_all(bytes)?;
        self.results.flush()
    }

    /// Writes one line for a person.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.notes, "{}", text.trim_end());
    }

    /// Tells why a command failed: for a person, and on standard output for a script.
    pub fn error(&mut self, error: &CliError) {
        self.note(&format!("magnolianotch: {error}"));
        if self.json && !matches!(error, CliError::Told) {
            let fields = json!({ "code": error.code(), "message": error.to_string() });
            self.json(&json!({ "error": fields }));
        }
    }
}
