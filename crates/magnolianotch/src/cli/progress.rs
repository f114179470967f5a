//! Progress bars, on a terminal only.

use indicatif::{ProgressBar, ProgressStyle};
use notch_callers::view::ItemCounts;

use super::output::CommandOutput;

/// Shape of the bar for items.
const ITEM_SHAPE: &str = "{bar:40} {pos}/{len} items, {msg}";
/// Shape of the bar for bytes.
const BYTE_SHAPE: &str = "{bar:40} {bytes}/{total_bytes} sent";

fn bar(output: &CommandOutput, length: u64, shape: &str) -> ProgressBar {
    if !output.shows_progress() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(shape);
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Items of a job as they end.
pub(super) struct ItemProgress(ProgressBar);

impl ItemProgress {
    /// A bar for `total` items.
    pub(super) fn new(output: &CommandOutput, total: u32) -> Self {
        Self(bar(output, u64::from(total), ITEM_SHAPE))
    }

    /// Shows where the job is.
    pub(super) fn set(&self, items: &ItemCounts) {
        self.0.set_position(u64::from(items.ended()));
        self.0.set_message(format!("{} failed, {} running", items.failed, items.leased));
    }

    /// Takes the bar away.
    pub(super) fn end(&self) {
        self.0.finish_and_clear();
    }
}

/// Bytes of a file as they are sent. Cheap to clone; clones share the bar.
#[derive(Clone)]
pub(super) struct ByteProgress(ProgressBar);

impl ByteProgress {
    /// A bar for `total` bytes, 0 when that is not known.
    pub(super) fn new(output: &CommandOutput, total: u64) -> Self {
        Self(bar(output, total, BYTE_SHAPE))
    }

    /// Adds bytes.
    pub(super) fn add(&self, bytes: u64) {
        self.0.inc(bytes);
    }

    /// Takes the bar away.
    pub(super) fn end(&self) {
        self.0.finish_and_clear();
    }
}
