//! Checks that targets aren't handed more time than clients have left.

use std::time::Duration;

use notch_types::prelude::*;

/// By how much the time handed on may exceed what the client has left.
const TOLERANCE: Duration = Duration::from_millis(500);
/// Most runs that may be handed more, if they are more than a share of all.
const MAX_EXCEEDING: usize = 20;
/// Divisor of the number of runs: the share that may be handed more.
const EXCEEDING_DIVISOR: usize = 5;

/// What a client sent.
#[derive(Debug)]
struct SentDeadline {
    gateway: usize,
    /// Time since the soak test started.
    at: Duration,
    deadline: Duration,
}

/// What a target was handed.
#[derive(Debug)]
struct HandedDeadline {
    /// Time since the soak test started.
    at: Duration,
    left: Option<Duration>,
}

/// Deadlines that clients sent and that targets were handed.
#[derive(Debug, Default)]
pub(crate) struct DeadlineCheck {
    sent: FastMap<String, SentDeadline>,
    /// By attempt.
    handed: FastMap<String, Vec<HandedDeadline>>,
}

impl DeadlineCheck {
    pub(crate) fn note_sent(
        &mut self,
        attempt: &str,
        gateway: usize,
        (at, deadline): (Duration, Duration),
    ) {
        self.sent.insert(attempt.to_owned(), SentDeadline { gateway, at, deadline });
    }

    pub(crate) fn note_handed(&mut self, attempt: &str, at: Duration, left: Option<Duration>) {
        self.handed.entry(attempt.to_owned()).or_default().push(HandedDeadline { at, left });
    }

    /// Runs that were handed too much time by gateways for which `is_in_touch` holds, if they are too many.
    pub(crate) fn excess(
        &mut self,
        is_in_touch: impl Fn(usize, Duration) -> bool,
    ) -> Option<String> {
        let (mut counted, mut exceeding) = (0, Vec::new());
        for (attempt, sent) in &self.sent {
            let Some(runs) = self.handed.get_mut(attempt) else { continue };
            runs.sort_unstable_by_key(|run| run.at);
            let mut first: Option<(Duration, Duration)> = None;
            for HandedDeadline { at, left } in runs {
                let (first_at, first_end) =
                    *first.get_or_insert((*at, *at + left.unwrap_or_default()));
                if !is_in_touch(sent.gateway, *at) {
                    continue;
                }
                counted += 1;
                let is_exceeding = left.is_none_or(|left| {
                    let is_late_repeat = *at > first_at + TOLERANCE;
                    let last_end = first_end.max(sent.at + sent.deadline);
                    left > sent.deadline + TOLERANCE
                        || (is_late_repeat && *at + left > last_end + TOLERANCE)
                });
                if is_exceeding {
                    exceeding.push((attempt, *at, *left, sent.deadline));
                }
            }
        }
        let is_broken = exceeding.len() > MAX_EXCEEDING.max(counted / EXCEEDING_DIVISOR);
        is_broken.then(|| {
            let shown = &exceeding[..MAX_EXCEEDING];
            format!("{} of {counted} runs were handed more time: {shown:?}", exceeding.len())
        })
    }
}
