//! Checks that requests with a prompt part that crashes targets no longer reach them.

use std::time::Duration;

use notch_types::prelude::*;

/// Crash after which the part must be refused.
const CRASHES_ALLOWED: usize = 5;
/// Time after that crash from which sends count, and for which a gateway must have been undisturbed for its sends to
/// count.
const WINDOW: Duration = Duration::from_secs(3);
/// Most sends that may reach targets later.
const MAX_LATER_SENDS: usize = 3;

/// Crashes, and when gateways were disturbed.
#[derive(Debug, Default)]
pub(crate) struct PartCrashCheck {
    /// Gateway to which each attempt was sent.
    sent_to: FastMap<String, usize>,
    crashes: Vec<(String, Duration)>,
    /// Begins and ends of disturbances of each gateway.
    disturbances: Vec<(Option<usize>, Duration, bool)>,
}

impl PartCrashCheck {
    pub(crate) fn note_sent(&mut self, attempt: &str, gateway: usize) {
        self.sent_to.insert(attempt.to_owned(), gateway);
    }

    pub(crate) fn note_crash(&mut self, attempt: &str, at: Duration) {
        self.crashes.push((attempt.to_owned(), at));
    }

    pub(crate) fn note_disturbance(&mut self, gateway: Option<usize>, at: Duration, begins: bool) {
        self.disturbances.push((gateway, at, begins));
    }

    /// What is wrong if too many requests reached targets, sent by gateways in touch.
    pub(crate) fn excess(&self) -> Option<String> {
        let mut times: Vec<Duration> = self.crashes.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let fifth = *times.get(CRASHES_ALLOWED - 1)?;
        let later = self.crashes.iter().filter(|(attempt, at)| {
            let gateway = self.sent_to.get(attempt);
            *at > fifth + WINDOW && gateway.is_some_and(|gateway| self.is_in_touch(*gateway, *at))
        });
        let later: Vec<&(String, Duration)> = later.collect();
        (later.len() > MAX_LATER_SENDS)
            .then(|| format!("{} crashes, of them too late: {later:?}", times.len()))
    }

    /// Whether no disturbance of a gateway went on at any time in the window before `at`.
    fn is_in_touch(&self, gateway: usize, at: Duration) -> bool {
        let from = at.saturating_sub(WINDOW);
        let mut open = 0_u32;
        let own = self
            .disturbances
            .iter()
            .filter(|(touched, ..)| touched.is_none_or(|touched| touched == gateway));
        for (_, time, begins) in own.filter(|(_, time, _)| *time <= at) {
            match begins {
                true => open += 1,
                false => open = open.saturating_sub(1),
            }
            if *time >= from {
                return false;
            }
        }
        open == 0
    }
}
