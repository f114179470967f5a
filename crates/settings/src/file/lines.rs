//! The lines of a settings file. Each line goes through the INI library alone, so that every
//! fault has its line and one bad line doesn't hide the next.

use std::{fs, path::Path};

use ini::{Ini, ParseOption};

use crate::error::{SettingsError, SettingsErrors, SettingsProblem};

/// How the INI library reads a line: values are taken as written.
const PARSE_OPTION: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

/// Largest settings file, bytes; a larger one is surely something else.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// One `[section]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SectionLine {
    pub(crate) line: usize,
    pub(crate) name: String,
}

/// One `key = value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyLine {
    pub(crate) line: usize,
    /// Empty when the key stands before the first section.
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// A settings file, split into sections and keys. Whether they are known and valid is told by
/// the configuration read from it, together with the file's own faults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingsFile {
    /// In line order.
    pub(crate) sections: Vec<SectionLine>,
    /// In line order.
    pub(crate) keys: Vec<KeyLine>,
    /// Lines that are none of the two, and repeated ones.
    pub(crate) errors: Vec<SettingsError>,
}

impl SettingsFile {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When it can't be read, isn't UTF-8 or is over a megabyte. Faults of its lines are told by
    /// [`GatewayConfig::from_file`](crate::GatewayConfig::from_file) and its kin.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let unreadable = |detail: String| {
            let problem = SettingsProblem::Unreadable { detail };
            let (section, key) = (String::new(), String::new());
            SettingsErrors(vec![SettingsError { line: 0, section, key, problem }])
        };
        let size =
            fs::metadata(path).map_err(|e| unreadable(format!("{}: {e}", path.display())))?;
        if size.len() > MAX_FILE_BYTES {
            return Err(unreadable(format!("{}: larger than 1 MB", path.display())));
        }
        let text =
            fs::read_to_string(path).map_err(|e| unreadable(format!("{}: {e}", path.display())))?;
        Ok(Self::parse(&text))
    }

    /// Splits `text` into sections and keys.
    pub fn parse(text: &str) -> Self {
        let mut file = Self::default();
        for (index, text_line) in text.lines().enumerate() {
            file.take_line(index + 1, text_line.trim());
        }
        file
    }

    fn take_line(&mut self, line: usize, text: &str) {
        if text.is_empty() || text.starts_with([';', '#']) {
            return;
        }
        let Ok(ini) = Ini::load_from_str_opt(text, PARSE_OPTION) else {
            return self.take_syntax_error(line, text);
        };
        let mut found = false;
        for (section, properties) in &ini {
            if let Some(name) = section {
                found = true;
                self.take_section(line, name);
            }
            for (key, value) in properties {
                found = true;
                self.take_key(line, key, value);
            }
        }
        if !found {
            self.take_syntax_error(line, text);
        }
    }

    fn take_section(&mut self, line: usize, name: &str) {
        if let Some(first) = self.sections.iter().find(|s| s.name == name) {
            let problem = SettingsProblem::Repeated { first: first.line };
            let (section, key) = (name.to_owned(), String::new());
            self.errors.push(SettingsError { line, section, key, problem });
        }
        self.sections.push(SectionLine { line, name: name.to_owned() });
    }

    fn take_key(&mut self, line: usize, key: &str, value: &str) {
        let section = self.current_section();
        if let Some(first) = self.keys.iter().find(|k| k.section == section && k.key == key) {
            let problem = SettingsProblem::Repeated { first: first.line };
            self.errors.push(SettingsError { line, section, key: key.to_owned(), problem });
            return;
        }
        self.keys.push(KeyLine { line, section, key: key.to_owned(), value: value.to_owned() });
    }

    fn take_syntax_error(&mut self, line: usize, text: &str) {
        let problem = SettingsProblem::Syntax { text: text.to_owned() };
        let (section, key) = (self.current_section(), String::new());
        self.errors.push(SettingsError { line, section, key, problem });
    }

    fn current_section(&self) -> String {
        self.sections.last().map(|s| s.name.clone()).unwrap_or_default()
    }

    /// The key's line, when it is there.
    pub(crate) fn find(&self, section: &str, key: &str) -> Option<&KeyLine> {
        self.keys.iter().find(|k| k.section == section && k.key == key)
    }
}
