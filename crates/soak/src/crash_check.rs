//! Checks that what crashes targets no longer reaches them.

use std::{fmt, time::Duration};

use notch_types::prelude::*;

use crate::culprit::CrashCulprit;

/// Time after the last crash that is allowed from which sends count, and for which a gateway must have been undisturbed for its sends to
/// count.
const WINDOW: Duration = Duration::from_secs(3);
/// Most sends that may reach targets later.
const MAX_LATER_SENDS: usize = 3;

/// How often targets crashed under one culprit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashCount {
    /// The culprit.
    pub culprit: CrashCulprit,
    /// Number of crashes.
    pub crashes: usize,
    /// Those later than allowed, by gateways in touch: when, and the attempt.
    pub late: Vec<(Duration, String)>,
    /// Number of those as late by gateways that were disturbed.
    pub excused: usize,
}

impl fmt::Display for CrashCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { culprit, crashes, late, excused } = self;
        write!(f, "{culprit:?}: {crashes} crashes, {excused} late ones excused, too late: {late:?}")
    }
}

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
        let counts = self.counts().into_iter().filter(|count| count.late.len() > MAX_LATER_SENDS);
        counts.map(|count| count.to_string()).collect()
    }

    /// How often each culprit crashed targets.
    pub(crate) fn counts(&self) -> Vec<CrashCount> {
        let culprits: FastSet<CrashCulprit> =
            self.sent.values().map(|(_, culprit)| *culprit).collect();
        let mut counts: Vec<_> = culprits.into_iter().map(|culprit| self.count(culprit)).collect();
        counts.sort_by_key(|count| format!("{:?}", count.culprit));
        counts
    }

    fn count(&self, culprit: CrashCulprit) -> CrashCount {
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
        let last_allowed = crashes.get(culprit.crashes_allowed() - 1).map(|(at, ..)| *at);
        let is_later = |at: Duration| last_allowed.is_some_and(|last| at > last + WINDOW);
        let later = crashes.iter().filter(|(at, ..)| is_later(*at));
        let (late, excused): (Vec<_>, Vec<_>) =
            later.partition(|(at, _, gateway)| self.is_in_touch(*gateway, *at));
        CrashCount {
            culprit,
            crashes: crashes.len(),
            late: late.into_iter().map(|(at, attempt, _)| (at, attempt.to_owned())).collect(),
            excused: excused.len(),
        }
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
