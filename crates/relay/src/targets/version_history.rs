//! Software versions of the targets of each service in the recent past.

use std::time::Duration;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How long a version counts after its last target was removed: longer than a removed target goes on
/// serving and a client waits before it takes a broken stream up again.
const VERSION_RETENTION: Duration = Duration::from_secs(20);

/// What a gateway knows of the software versions at which recent streams of a service may have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionView {
    /// Nothing.
    #[default]
    Unknown,
    /// All targets have this version, but earlier ones may have had another: the gateway has just
    /// started.
    Current(String),
    /// Only this one, for as long as a stream can last.
    Sole(String),
    /// Several.
    Several,
}

impl VersionView {
    /// What this view tells a gateway that knows the targets itself for `known`, if it was confirmed `age` ago (`None` for
    /// never). An older one misses the versions in between; what it has seen it has seen.
    pub fn confirmed(self, age: Option<Duration>, known: Duration) -> Self {
        match self {
            Self::Current(_) | Self::Sole(_) if age.is_none_or(|age| age > known) => Self::Unknown,
            view => view,
        }
    }

    /// The only version at which a stream may have begun, by the view of this gateway and those that
    /// others told. At least one of them must know the recent past: if all have just started, a version
    /// that has left may have begun the stream.
    pub fn agreed(&self, told: &[Self]) -> Option<String> {
        let (Self::Current(version) | Self::Sole(version)) = self else { return None };
        let is_compatible = |view: &Self| match view {
            Self::Unknown => true,
            Self::Current(other) | Self::Sole(other) => other == version,
            Self::Several => false,
        };
        let is_known = told.iter().chain([self]).any(|view| matches!(view, Self::Sole(_)));
        (is_known && told.iter().all(is_compatible)).then(|| version.clone())
    }
}

/// Targets of one version.
#[derive(Debug, Default)]
struct VersionUse {
    targets: u32,
    /// When the last target was removed. Only valid while there is none.
    left_at: MonoTime,
}

impl VersionUse {
    fn is_recent(&self, now: MonoTime) -> bool {
        self.targets > 0 || now.since(self.left_at) < VERSION_RETENTION
    }
}

/// Software versions of the targets of each service.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the first target became known; `None` before.
    since: Option<MonoTime>,
    services: FastMap<String, FastMap<String, VersionUse>>,
    /// Services of which the versions of the time before the start were read from a record.
    restored: FastSet<String>,
    /// Whether there is nothing before the start.
    is_first: bool,
}

impl VersionHistory {
    /// Records a target of `service` with software `version`.
    pub fn add(&mut self, service: &str, version: &str, now: MonoTime) {
        self.since.get_or_insert(now);
        let versions = self.services.entry(service.to_owned()).or_default();
        versions.entry(version.to_owned()).or_default().targets += 1;
    }

    /// Records that such a target was removed or has changed.
    pub fn remove(&mut self, service: &str, version: &str, now: MonoTime) {
        let Some(versions) = self.services.get_mut(service) else { return };
        if let Some(used) = versions.get_mut(version) {
            used.targets = used.targets.saturating_sub(1);
            used.left_at = now;
        }
        versions.retain(|_, used| used.is_recent(now));
    }

    /// What is known of the versions of `service` at `now`.
    pub fn view(&self, service: &str, now: MonoTime) -> VersionView {
        let versions = self.services.get(service).into_iter().flatten();
        let mut recent = versions.filter(|(_, used)| used.is_recent(now));
        let Some((version, _)) = recent.next() else { return VersionView::Unknown };
        if recent.next().is_some() {
            return VersionView::Several;
        }
        match self.is_complete(service, now) {
            true => VersionView::Sole(version.clone()),
            false => VersionView::Current(version.clone()),
        }
    }

    /// Whether all versions of `service` are known at which a stream that can be taken up at `now` may have begun.
    pub fn is_complete(&self, service: &str, now: MonoTime) -> bool {
        let is_long = self.since.is_some_and(|since| now.since(since) >= VERSION_RETENTION);
        is_long || self.is_first || self.restored.contains(service)
    }

    /// For how long the targets have been known at `now`.
    pub fn known_for(&self, now: MonoTime) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records that no gateway served anything before this one started.
    pub fn note_first_start(&mut self) {
        self.is_first = true;
    }

    /// Restores the versions of `service` from before the start, as recorded by gateways that ran then.
    pub fn restore(&mut self, service: &str, recorded: &[String], now: MonoTime) {
        let versions = self.services.entry(service.to_owned()).or_default();
        for version in recorded {
            let used = versions.entry(version.clone()).or_default();
            used.left_at = used.left_at.max(now);
        }
        self.restored.insert(service.to_owned());
    }

    /// The versions of `service` at which streams that can be taken up may have begun, sorted.
    pub fn recent(&self, service: &str, now: MonoTime) -> Vec<String> {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, used)| used.is_recent(now));
        let mut recent: Vec<String> = recent.map(|(version, _)| version.clone()).collect();
        recent.sort_unstable();
        recent
    }

    /// All services of which a version is or was known.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }
}
