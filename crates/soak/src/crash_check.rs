//! Checks that what crashes targets no longer reaches them.

use std::time::Duration;

use notch_types::prelude::*;

use crate::culprit::CrashCulprit;

/// Time after the last crash that is allowed from which sends count, and for which a gateway must have been undisturbed for its sends to
/// count.
const WINDOW: Duration = Duration::from_secs(3);
/// Most sends that may reach targets later.
const MAX_LATER_SENDS: usize = 3;

/// Crashes, and when gateways were disturbed.
#[derive(Debug, Default)]
pub(crate) struct CrashCheck {
    /// Gateway to which each attempt was sent, `None` for items, and what of it crashes targets.
    sent: FastMap<String, (Option<usize>, CrashCulprit)>,
    crashes: Vec<(String, Duration)>,
    /// Begins and ends of disturbances of each gateway.
    disturbances: Vec<(Option<usize>, Duration, bool)>,
}

impl CrashCheck {
    pub(crate) fn note_sent(
        &mut self,
        attempt: &str,
        gateway: Option<usize>,
        culprit: CrashCulprit,
    ) {
        self.sent.insert(attempt.to_owned(), (gateway, culprit));
    }

    pub(crate) fn note_crash(&mut self, attempt: &str, at: Duration) {
        self.crashes.push((attempt.to_owned(), at));
    }

    pub(crate) fn note_disturbance(&mut self, gateway: Option<usize>, at: Duration, begins: bool) {
        self.disturbances.push((gateway, at, begins));
    }

    /// What is wrong where too many requests reached targets, sent by gateways in touch.
    pub(crate) fn excesses(&self) -> Vec<String> {
        let culprits: FastSet<CrashCulprit> =
            self.sent.values().map(|(_, culprit)| *culprit).collect();
        culprits.into_iter().filter_map(|culprit| self.excess(culprit)).collect()
    }

    fn excess(&self, culprit: CrashCulprit) -> Option<String> {
        let mut crashes: Vec<(Duration, &str, Option<usize>)> = Vec::new();
        for (attempt, at) in &self.crashes {
            match self.sent.get(attempt) {
                Some((gateway, other)) if *other == culprit => {
                    crashes.push((*at, attempt, *gateway));
                }
                Some(_) | None => {}
            }
        }
        crashes.sort_unstable();
        let (last_allowed, ..) = *crashes.get(culprit.crashes_allowed() - 1)?;
        let later = crashes.iter().filter(|(at, _, gateway)| {
            *at > last_allowed + WINDOW && self.is_in_touch(*gateway, *at)
        });
        let later: Vec<_> = later.collect();
        (later.len() > MAX_LATER_SENDS)
            .then(|| format!("{culprit:?}: {} crashes, of them too late: {later:?}", crashes.len()))
    }

    /// Whether no disturbance of a gateway, or of any if it isn't known, went on at any time in the window before `at`.
    pub(crate) fn is_in_touch(&self, gateway: Option<usize>, at: Duration) -> bool {
        let from = at.saturating_sub(WINDOW);
        let mut open = 0_u32;
        let own = self
            .disturbances
            .iter()
            .filter(|(touched, ..)| gateway.is_none() || touched.is_none() || *touched == gateway);
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
