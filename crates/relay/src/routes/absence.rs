//! Routes that the configuration in force lacks although owned jobs need them.

use notch_types::prelude::*;

use crate::accounts::freshness::ConfigurationProof;

/// Whether a job's route exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteState {
    /// The configuration in force contains it.
    Present,
    /// The configuration in force lacks it, but may be older than the one under which the job was accepted.
    Unconfirmed,
    /// The configuration in force lacks it and was the newest one after the job was owned here.
    Removed,
}

/// Jobs whose route the configuration in force lacks.
#[derive(Debug, Default)]
pub struct MissingRoutes {
    /// Since when, by the clock that includes suspended time. Invariant: not before the job was owned here, so that it
    /// was accepted under a configuration acknowledged before that.
    since: FastMap<String, MonoTime>,
}

impl MissingRoutes {
    /// Judges the route of an owned job. `proof` is the newest one, read before the configuration that `is_present` was
    /// looked up in.
    pub fn judge(
        &mut self,
        job: &str,
        is_present: bool,
        proof: Option<ConfigurationProof>,
        now: MonoTime,
    ) -> RouteState {
        if is_present {
            self.since.remove(job);
            return RouteState::Present;
        }
        let since = match self.since.get(job) {
            Some(since) => *since,
            None => *self.since.entry(job.to_owned()).or_insert(now),
        };
        match proof {
            Some(proof) if proof.as_of >= since => RouteState::Removed,
            _ => RouteState::Unconfirmed,
        }
    }

    /// Forgets the jobs that are not owned any more.
    pub fn retain(&mut self, is_owned: impl Fn(&str) -> bool) {
        self.since.retain(|job, _| is_owned(job));
    }
}
