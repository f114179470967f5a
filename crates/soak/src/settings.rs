//! Settings of a soak test.

use std::{path::PathBuf, time::Duration};

use crate::culprit::{CrashCulprit, ResendInterval};

/// Settings of a soak test.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seed of the random faults and client behaviour.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Folder for the settings and logs of the gateways.
    pub folder: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets.
    pub targets: usize,
    /// Whether gateways evict each other. One is frozen for longer than that takes when injection begins, and resumed.
    pub evicts_gateways: bool,
    /// Whether there are also accounts with a limit, one of which sends several times its limit for some seconds at a
    /// time, while more gateways are killed, frozen and cut off from each other.
    pub limits_accounts: bool,
    /// Whether home gateways offer slots for items, and are frozen. Jobs have more items, and these take longer.
    pub offers_items: bool,
    /// Whether targets have two versions of their software, and clients take broken streams up.
    pub mixes_versions: bool,
    /// Whether targets are replaced by ones of a later version, each time beside a gateway that is cut off or stands still,
    /// and clients take broken streams up.
    pub releases_versions: bool,
    /// Whether there are also jobs whose items fail at each run, while more gateways are killed.
    pub fails_items: bool,
    /// Whether all gateways are killed at once from time to time.
    pub kills_all: bool,
    /// Whether some requests have a prompt part that crashes targets.
    pub crashes_parts: bool,
    /// Whether two requests that crash targets come again and again, and share prompt parts with sound ones.
    pub crashes_requests: bool,
    /// Whether requests that crash targets come again at intervals of up to minutes, and jobs have items that crash them.
    pub resends_crashing: bool,
    /// Whether clients name the time that they wait.
    pub names_deadlines: bool,
    /// Longest time from one fault to the next; `None` for one that makes faults overlap.
    pub fault_gap: Option<Duration>,
    /// Whether most new connections come to one gateway at times, of which thousands stay open.
    pub floods_gateways: bool,
    /// Number of clients that send online requests; a third as many send jobs.
    pub clients: u64,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(20),
            program: PathBuf::from("notch-entry"),
            folder: PathBuf::from("soak"),
            gateways: 3,
            targets: 5,
            evicts_gateways: false,
            limits_accounts: false,
            offers_items: false,
            mixes_versions: false,
            releases_versions: false,
            fails_items: false,
            kills_all: false,
            crashes_parts: false,
            crashes_requests: false,
            resends_crashing: false,
            names_deadlines: false,
            fault_gap: None,
            floods_gateways: false,
            clients: 6,
        }
    }
}

impl SoakSettings {
    /// Whether targets differ in the version of their software.
    pub(crate) fn has_versions(&self) -> bool {
        self.mixes_versions || self.releases_versions
    }

    /// What crashes targets.
    pub(crate) fn culprits(&self) -> Vec<CrashCulprit> {
        let part = self.crashes_parts.then_some(CrashCulprit::Part);
        let requests = if self.crashes_requests { CrashCulprit::REQUESTS } else { 0 };
        let resent = ResendInterval::ALL.map(CrashCulprit::Resent);
        let slow = resent.into_iter().chain([CrashCulprit::Item(0)]);
        let requests = (0..requests).map(CrashCulprit::Request);
        part.into_iter().chain(requests).chain(slow.filter(|_| self.resends_crashing)).collect()
    }
}
