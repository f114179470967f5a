//! How much may be pushed.

use std::time::Duration;

use notch_types::prelude::*;

use crate::settings::CatalogueSettings;

/// Bytes of pushes that may leave: a token bucket.
///
/// A script that edits thousands of entries at once would otherwise make every node send each of
/// them to several others within a second, past the share of the network that control may take.
/// What finds no room goes by anti-entropy, which sends only what the other lacks.
#[derive(Debug)]
pub(crate) struct PushBudget {
    bytes: usize,
    filled: MonoTime,
}

impl PushBudget {
    pub(crate) fn new(settings: &CatalogueSettings) -> Self {
        Self { bytes: settings.push_burst, filled: MonoTime::default() }
    }

    /// Takes `bytes` if there is room for them.
    pub(crate) fn take(
        &mut self,
        now: MonoTime,
        bytes: usize,
        settings: &CatalogueSettings,
    ) -> bool {
        self.fill(now, settings);
        let fits = bytes <= self.bytes;
        if fits {
            self.bytes -= bytes;
        }
        fits
    }

    fn fill(&mut self, now: MonoTime, settings: &CatalogueSettings) {
        let since = now.since(self.filled);
        if since < Duration::from_millis(1) {
            return;
        }
        let gained = since.as_millis() as usize * settings.push_rate / 1_000;
        self.bytes = (self.bytes + gained).min(settings.push_burst);
        self.filled = now;
    }
}
