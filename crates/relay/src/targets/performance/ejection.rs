//! Ejection of a target that fails too many requests, its probes, and its readmission.

use std::time::Duration;

use notch_types::prelude::*;

/// How long an ejection lasts at gateways that its home does not repeat it to.
const NOTICE_LIFETIME: Duration = Duration::from_secs(3);
/// Interval at which a home repeats an ejection.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval from a failed probe to the next one. A recovered target is readmitted within 2 s
/// of it if probes take 0.7 s, and a failing one gets half as many probes as with the interval above.
const FAILED_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a target waits for a probe by an online request before a job item may be one. Items run
/// for seconds, so their result comes late.
const ITEM_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Successful probes in a row for a readmission.
const PROBES: u32 = 3;
/// The same for a target that failed again soon after a readmission. A target that fails 45% of its
/// requests passes three probes in a row after eleven of them on average, and five after 42.
const PROBES_AFTER_RELAPSE: u32 = 5;
/// How long an ejected target that no request could probe stays ejected. Without requests that may
/// run twice it would stay out of use for good; on trial, it costs one request if it still fails.
const UNPROBED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after a readmission in which another ejection is a relapse.
const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// Time over which the share of a readmitted target grows.
const SLOW_START: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, Default)]
enum EjectionPhase {
    #[default]
    Admitted,
    Ejected {
        /// Whether this gateway decided it as the target's home.
        is_decided_here: bool,
        /// When it ends if it is not repeated.
        until: MonoTime,
        /// When it is to be announced again.
        next_notice: MonoTime,
        /// When the next probe may be sent.
        next_probe: MonoTime,
        /// Successful probes since the last failure.
        successes: u32,
        /// Successful probes that are needed for a readmission.
        needed: u32,
    },
    SlowStart {
        since: MonoTime,
    },
}

/// Ejection state of one target at one gateway.
///
/// It is designed for targets that fail a part of their requests, or go down and come up in turns,
/// where four of five requests must not run twice.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetEjection {
    phase: EjectionPhase,
    /// When this gateway last readmitted the target.
    readmitted: Option<MonoTime>,
    /// Share of failures when the target was ejected.
    failure_rate: f64,
}

impl TargetEjection {
    /// Whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.phase, EjectionPhase::Ejected { .. })
    }

    /// Whether this gateway ejected the target as its home.
    pub fn is_decided_here(&self) -> bool {
        matches!(self.phase, EjectionPhase::Ejected { is_decided_here: true, .. })
    }

    /// Whether the target is ejected, or its share still grows after a readmission.
    pub fn is_restricted(&self) -> bool {
        !matches!(self.phase, EjectionPhase::Admitted)
    }

    /// Share of failures when the target was ejected.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether one more failure ejects the target: its share still grows after a readmission.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.phase, EjectionPhase::SlowStart { .. })
    }

    /// Ejects the target as its home.
    pub fn eject(&mut self, failure_rate: f64, now: MonoTime) {
        let is_relapse = self.readmitted.is_some_and(|at| now.since(at) < RELAPSE_TIME);
        self.failure_rate = failure_rate;
        self.phase = EjectionPhase::Ejected {
            is_decided_here: true,
            until: now + NOTICE_LIFETIME,
            next_notice: now,
            next_probe: now + PROBE_INTERVAL,
            successes: 0,
            needed: if is_relapse { PROBES_AFTER_RELAPSE } else { PROBES },
        };
    }

    /// Applies what the target's home announced.
    pub fn apply(&mut self, is_ejected: bool, failure_rate: f64, now: MonoTime) {
        if is_ejected {
            self.failure_rate = failure_rate;
            self.phase = EjectionPhase::Ejected {
                is_decided_here: false,
                until: now + NOTICE_LIFETIME,
                next_notice: now,
                next_probe: now,
                successes: 0,
                needed: PROBES,
            };
        } else if self.is_ejected() {
            self.phase = EjectionPhase::SlowStart { since: now };
        }
    }

    /// Whether a probe may be sent at `now`. Job items wait longer.
    pub fn is_probe_due(&self, is_item: bool, now: MonoTime) -> bool {
        let wait = if is_item { ITEM_PROBE_DELAY } else { Duration::ZERO };
        match self.phase {
            EjectionPhase::Ejected { next_probe, .. } => now >= next_probe + wait,
            EjectionPhase::Admitted | EjectionPhase::SlowStart { .. } => false,
        }
    }

    /// Records that a probe is sent at `now`.
    pub fn start_probe(&mut self, now: MonoTime) {
        if let EjectionPhase::Ejected { next_probe, .. } = &mut self.phase {
            *next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Records the outcome of a request at an ejected target. A success counts only if the request
    /// was a probe. Returns true if the target is readmitted.
    pub fn note(&mut self, is_failure: bool, is_probe: bool, now: MonoTime) -> bool {
        let EjectionPhase::Ejected { is_decided_here, successes, needed, next_probe, .. } =
            &mut self.phase
        else {
            return false;
        };
        if is_failure {
            *successes = 0;
            *next_probe = now + FAILED_PROBE_INTERVAL;
            return false;
        }
        if !is_probe || !*is_decided_here {
            return false;
        }
        *successes += 1;
        if *successes < *needed {
            return false;
        }
        self.phase = EjectionPhase::SlowStart { since: now };
        self.readmitted = Some(now);
        true
    }

    /// Ends an ejection that was not repeated or could not be probed, and a slow start that is
    /// complete. Returns true if this gateway has to announce a readmission as the target's home.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        match self.phase {
            EjectionPhase::Ejected { until, .. } if now >= until => {
                self.phase = EjectionPhase::SlowStart { since: now };
                false
            }
            EjectionPhase::Ejected { is_decided_here: true, next_probe, .. }
                if now >= next_probe + UNPROBED_TIMEOUT =>
            {
                self.phase = EjectionPhase::SlowStart { since: now };
                self.readmitted = Some(now);
                true
            }
            EjectionPhase::SlowStart { since } if now.since(since) >= SLOW_START => {
                self.phase = EjectionPhase::Admitted;
                false
            }
            _ => false,
        }
    }

    /// Whether this gateway, as the target's home, has to announce the ejection at `now`. Then it
    /// lasts longer here as well.
    pub fn take_notice(&mut self, now: MonoTime) -> bool {
        let EjectionPhase::Ejected { is_decided_here: true, until, next_notice, .. } =
            &mut self.phase
        else {
            return false;
        };
        if now < *next_notice {
            return false;
        }
        *next_notice = now + NOTICE_INTERVAL;
        *until = now + NOTICE_LIFETIME;
        true
    }

    /// Number of `slots` slots that count as taken at `now` while the target's share grows.
    pub fn closed_slots(&self, slots: u32, now: MonoTime) -> u32 {
        let EjectionPhase::SlowStart { since } = self.phase else { return 0 };
        let share = now.since(since).as_secs_f64() / SLOW_START.as_secs_f64();
        let open = (f64::from(slots) * share.min(1.0)).ceil().max(1.0) as u32;
        slots.saturating_sub(open)
    }
}
