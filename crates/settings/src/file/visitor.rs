//! Visits every field of a configuration once, to read it from a file or to write it as text; so
//! reading, writing and the list of known keys can't drift apart.

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf, time::Duration};

use notch_types::prelude::*;

use crate::{
    error::{SettingsError, SettingsErrors, SettingsProblem},
    file::{SettingsFile, parse_bytes, parse_duration, render_bytes, render_duration},
};

/// What a name may be made of: it travels in keys of objects, in labels and in log lines.
const NAME_EXPECTED: &str = "1 to 64 of a-z A-Z 0-9 . _ -";
/// Longest name, bytes.
const NAME_MAX_BYTES: usize = 64;
/// Largest number of any setting.
const NUMBER_MAX: f64 = 1e9;
/// Longest duration of any setting; a longer one is a slip of the pen.
const DURATION_MAX: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Reads or writes the fields of a configuration, section by section.
pub(crate) struct FieldVisitor<'a> {
    /// The file read; `None` when writing.
    source: Option<&'a SettingsFile>,
    section: &'static str,
    /// Every (section, key) visited: what is not here is unknown.
    known: Vec<(&'static str, &'static str)>,
    errors: Vec<SettingsError>,
    text: String,
}

impl<'a> FieldVisitor<'a> {
    pub(crate) fn read(file: &'a SettingsFile) -> Self {
        let errors = file.errors.clone();
        Self { source: Some(file), section: "", known: Vec::new(), errors, text: String::new() }
    }

    pub(crate) fn write() -> Self {
        Self {
            source: None,
            section: "",
            known: Vec::new(),
            errors: Vec::new(),
            text: String::new(),
        }
    }

    /// Turns to a section; the fields that follow are its keys.
    pub(crate) fn section(&mut self, name: &'static str) {
        self.section = name;
        if self.source.is_none() {
            let gap = if self.text.is_empty() { "" } else { "\n" };
            self.text.push_str(&format!("{gap}[{name}]\n"));
        }
    }

    pub(crate) fn duration(&mut self, key: &'static str, field: &mut Duration) {
        let read = |text: &str| parse_duration(text).filter(|d| *d <= DURATION_MAX);
        let expected = "a duration with its unit, such as 250ms or 4s";
        self.field(key, field, expected, read, |d| Some(render_duration(*d)));
    }

    pub(crate) fn bytes(
        &mut self,
        key: &'static str,
        field: &mut u64,
        bounds: RangeInclusive<u64>,
    ) {
        let expected = "bytes with their unit, such as 900B, 256KB or 1MB";
        self.field(key, field, expected, parse_bytes, |b| Some(render_bytes(*b)));
        let text = |b: u64| render_bytes(b);
        self.check_bounds(key, *field, bounds, text);
    }

    pub(crate) fn count(
        &mut self,
        key: &'static str,
        field: &mut u32,
        bounds: RangeInclusive<u64>,
    ) {
        let read = |text: &str| text.parse().ok();
        self.field(key, field, "a whole number", read, |n| Some(n.to_string()));
        self.check_bounds(key, u64::from(*field), bounds, |n| n.to_string());
    }

    pub(crate) fn small_count(
        &mut self,
        key: &'static str,
        field: &mut u16,
        bounds: RangeInclusive<u64>,
    ) {
        let mut wide = u32::from(*field);
        self.count(key, &mut wide, bounds);
        *field = u16::try_from(wide).unwrap_or(*field);
    }

    pub(crate) fn share(&mut self, key: &'static str, field: &mut f64) {
        let read = |text: &str| text.parse().ok().filter(|s| (0.0..=1.0).contains(s));
        self.field(key, field, "a share from 0 to 1", read, |s| Some(s.to_string()));
    }

    /// A number that isn't negative, with or without a fraction.
    pub(crate) fn number(&mut self, key: &'static str, field: &mut f64) {
        let read = |text: &str| text.parse().ok().filter(|n| (0.0..=NUMBER_MAX).contains(n));
        self.field(key, field, "a number from 0 to a billion", read, |n| Some(n.to_string()));
    }

    pub(crate) fn address(&mut self, key: &'static str, field: &mut SocketAddr) {
        let read = |text: &str| text.parse().ok();
        self.field(key, field, "an IP number and port, such as 10.0.0.1:7100", read, |a| {
            Some(a.to_string())
        });
    }

    pub(crate) fn name(&mut self, key: &'static str, field: &mut String) {
        self.field(key, field, NAME_EXPECTED, read_name, |n| Some(n.clone()));
    }

    /// A VM's name; must be given.
    pub(crate) fn vm(&mut self, key: &'static str, field: &mut VmName) {
        self.require(key, NAME_EXPECTED);
        let read = |text: &str| read_name(text).map(|n| VmName::new(&n));
        self.field(key, field, NAME_EXPECTED, read, |n| Some(n.to_string()));
    }

    /// A failure domain's name; must be given.
    pub(crate) fn domain(&mut self, key: &'static str, field: &mut DomainName) {
        self.require(key, NAME_EXPECTED);
        let read = |text: &str| read_name(text).map(|n| DomainName::new(&n));
        self.field(key, field, NAME_EXPECTED, read, |n| Some(n.to_string()));
    }

    /// A target's catalogue name; must be given.
    pub(crate) fn target(&mut self, key: &'static str, field: &mut TargetName) {
        self.require(key, NAME_EXPECTED);
        let read = |text: &str| read_name(text).map(|n| TargetName::new(&n));
        self.field(key, field, NAME_EXPECTED, read, |n| Some(n.to_string()));
    }

    pub(crate) fn optional_path(&mut self, key: &'static str, field: &mut Option<PathBuf>) {
        let read = |text: &str| (!text.is_empty()).then(|| Some(PathBuf::from(text)));
        self.field(key, field, "a path", read, |p| p.as_ref().map(|p| p.display().to_string()));
    }

    pub(crate) fn optional_text(&mut self, key: &'static str, field: &mut Option<String>) {
        let read = |text: &str| (!text.is_empty()).then(|| Some(text.to_owned()));
        self.field(key, field, "text", read, Clone::clone);
    }

    /// One of a closed set of words.
    pub(crate) fn choice<T: Copy + PartialEq>(
        &mut self,
        key: &'static str,
        field: &mut T,
        choices: &[(&'static str, T)],
        expected: &'static str,
    ) {
        let read = |text: &str| choices.iter().find(|(n, _)| *n == text).map(|(_, v)| *v);
        let write = |value: &T| {
            choices.iter().find(|(_, v)| v == value).map(|(name, _)| (*name).to_owned())
        };
        self.field(key, field, expected, read, write);
    }

    /// Whether the file read has this key.
    pub(crate) fn is_given(&self, key: &str) -> bool {
        self.source.is_some_and(|file| file.find(self.section, key).is_some())
    }

    /// Tells of two values that can't stand together, at the line of `key` when it is written.
    pub(crate) fn clash(&mut self, key: &'static str, detail: &str) {
        let line = self.line_of(key);
        self.error(line, key, SettingsProblem::Clash { detail: detail.to_owned() });
    }

    /// Ends a reading: unknown sections and keys join the faults found so far.
    pub(crate) fn finish(mut self) -> Result<(), SettingsErrors> {
        self.find_unknown();
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|e| e.line);
        Err(SettingsErrors(self.errors))
    }

    /// Ends a writing.
    pub(crate) fn into_text(self) -> String {
        self.text
    }

    fn field<T>(
        &mut self,
        key: &'static str,
        field: &mut T,
        expected: &'static str,
        read: impl Fn(&str) -> Option<T>,
        write: impl Fn(&T) -> Option<String>,
    ) {
        self.known.push((self.section, key));
        let Some(file) = self.source else {
            if let Some(value) = write(field) {
                self.text.push_str(&format!("{key} = {value}\n"));
            }
            return;
        };
        let Some(entry) = file.find(self.section, key) else { return };
        match read(&entry.value) {
            Some(value) => *field = value,
            None => {
                let value = entry.value.clone();
                self.error(entry.line, key, SettingsProblem::Invalid { value, expected });
            }
        }
    }

    fn require(&mut self, key: &'static str, expected: &'static str) {
        let Some(file) = self.source else { return };
        if file.find(self.section, key).is_none() {
            self.error(0, key, SettingsProblem::Missing { expected });
        }
    }

    fn check_bounds(
        &mut self,
        key: &'static str,
        value: u64,
        bounds: RangeInclusive<u64>,
        text: impl Fn(u64) -> String,
    ) {
        if self.source.is_none() || bounds.contains(&value) {
            return;
        }
        let (low, high) = (text(*bounds.start()), text(*bounds.end()));
        let problem = SettingsProblem::OutOfRange {
            value: text(value),
            bounds: format!("from {low} to {high}"),
        };
        self.error(self.line_of(key), key, problem);
    }

    fn find_unknown(&mut self) {
        let Some(file) = self.source else { return };
        for section in &file.sections {
            if !self.known.iter().any(|(s, _)| *s == section.name) {
                self.errors.push(SettingsError {
                    line: section.line,
                    section: section.name.clone(),
                    key: String::new(),
                    problem: SettingsProblem::UnknownSection,
                });
            }
        }
        for entry in &file.keys {
            let known_section = self.known.iter().any(|(s, _)| *s == entry.section);
            let known_key = self.known.iter().any(|(s, k)| *s == entry.section && *k == entry.key);
            if (known_section || entry.section.is_empty()) && !known_key {
                self.errors.push(SettingsError {
                    line: entry.line,
                    section: entry.section.clone(),
                    key: entry.key.clone(),
                    problem: SettingsProblem::UnknownKey,
                });
            }
        }
    }

    fn line_of(&self, key: &str) -> usize {
        self.source.and_then(|f| f.find(self.section, key)).map_or(0, |entry| entry.line)
    }

    fn error(&mut self, line: usize, key: &str, problem: SettingsProblem) {
        let section = self.section.to_owned();
        self.errors.push(SettingsError { line, section, key: key.to_owned(), problem });
    }
}

fn read_name(text: &str) -> Option<String> {
    let fits = (1..=NAME_MAX_BYTES).contains(&text.len());
    let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    (fits && plain).then(|| text.to_owned())
}
