//! Operators' edits that meet another one: what happened, shown with both sides.

use std::fmt;

use notch_types::{object::StoredObject, prelude::*};
use serde_json::Value;

/// Most lines of a text that are compared line by line; a longer one is shown as replaced.
const MAX_DIFF_LINES: usize = 2_000;

/// One line of a comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiffLine {
    /// In both texts.
    Same(String),
    /// Only in the text in force.
    Theirs(String),
    /// Only in the operator's new text.
    Mine(String),
}

/// An edit that lost against another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditConflict {
    /// The version that the edit was made from.
    pub base: Option<EntryVersion>,
    /// The version in force; `None` when there is no such entry any more.
    pub current: Option<EntryVersion>,
    /// Both sides, line by line.
    pub lines: Vec<DiffLine>,
}

impl fmt::Display for EditConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "the entry has changed since the edit began")?;
        writeln!(f, "edited from: {}", version_text(self.base))?;
        writeln!(f, "now stored:  {}", version_text(self.current))?;
        writeln!(f, "(- now stored, + your edit)")?;
        for line in &self.lines {
            match line {
                DiffLine::Same(text) => writeln!(f, "  {text}")?,
                DiffLine::Theirs(text) => writeln!(f, "- {text}")?,
                DiffLine::Mine(text) => writeln!(f, "+ {text}")?,
            }
        }
        Ok(())
    }
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// Written; this version holds the text.
    Applied(EntryVersion),
    /// Not written: the entry is as before. The same conditional edit may be sent again; it takes
    /// effect at most once, since only one write can follow the base version.
    NotApplied,
    /// Another edit stands now. The operator's own either lost or was overwritten.
    Overtaken(EditConflict),
}

/// Shows an edit of `base` to `mine` against what the store holds now.
pub fn show_conflict(
    base: Option<EntryVersion>,
    mine: &[u8],
    current: Option<&StoredObject>,
) -> EditConflict {
    let theirs = current.and_then(|object| object.value.as_deref()).unwrap_or_default();
    let lines = compare(&lines_of(theirs), &lines_of(mine));
    EditConflict { base, current: current.map(version_of), lines }
}

/// Settles an edit whose answer was lost, by what the store holds now.
///
/// Without this an operator would see a failure, edit again from the old base and be told of a
/// conflict with an unknown colleague: the edit's own first try.
pub fn settle_edit(
    base: Option<EntryVersion>,
    mine: &[u8],
    current: Option<&StoredObject>,
) -> EditOutcome {
    let version = current.map(version_of);
    if version == base {
        return EditOutcome::NotApplied;
    }
    let stored = current.and_then(|object| object.value.as_deref());
    match version {
        Some(version) if stored == Some(mine) => EditOutcome::Applied(version),
        _ => EditOutcome::Overtaken(show_conflict(base, mine, current)),
    }
}

fn version_of(object: &StoredObject) -> EntryVersion {
    EntryVersion(object.version.0)
}

fn version_text(version: Option<EntryVersion>) -> String {
    version.map_or_else(|| "no entry".to_owned(), |version| format!("version {version}"))
}

/// A JSON text by lines, one field a line however it was written; other texts as they are.
fn lines_of(text: &[u8]) -> Vec<String> {
    let parsed: Result<Value, _> = serde_json::from_slice(text);
    let pretty = parsed.and_then(|value| serde_json::to_string_pretty(&value));
    let shown = pretty.unwrap_or_else(|_| String::from_utf8_lossy(text).into_owned());
    shown.lines().map(str::to_owned).collect()
}

/// The longest common subsequence decides which lines are the same.
fn compare(theirs: &[String], mine: &[String]) -> Vec<DiffLine> {
    if theirs.len().max(mine.len()) > MAX_DIFF_LINES {
        let replaced = theirs.iter().cloned().map(DiffLine::Theirs);
        return replaced.chain(mine.iter().cloned().map(DiffLine::Mine)).collect();
    }
    let common = common_lengths(theirs, mine);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::with_capacity(theirs.len().max(mine.len()));
    while i < theirs.len() || j < mine.len() {
        if i < theirs.len() && j < mine.len() && theirs[i] == mine[j] {
            lines.push(DiffLine::Same(mine[j].clone()));
            (i, j) = (i + 1, j + 1);
        } else if j == mine.len() || (i < theirs.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(DiffLine::Theirs(theirs[i].clone()));
            i += 1;
        } else {
            lines.push(DiffLine::Mine(mine[j].clone()));
            j += 1;
        }
    }
    lines
}

/// `result[i][j]` is the length of the longest common subsequence of `theirs[i..]` and `mine[j..]`.
fn common_lengths(theirs: &[String], mine: &[String]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; mine.len() + 1]; theirs.len() + 1];
    for i in (0..theirs.len()).rev() {
        for j in (0..mine.len()).rev() {
            common[i][j] = if theirs[i] == mine[j] {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    common
}
