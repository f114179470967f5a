//! Refusals of suspects, and the probes that find out whether a refused one is sound.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use super::suspect::CrashSuspect;

/// Pauses from the refusal of a part, and from the crash of each probe, to the next probe. The first is short, as a sound
/// suspect may have been refused. There is no last one: sound requests may share the part.
pub(super) const PART_PROBE_PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(3),
    Duration::from_secs(30),
    Duration::from_secs(120),
];
/// The same for a request as a whole, by its level. They end before a job item's lifetime does.
const REQUEST_PROBE_PAUSES: [Duration; MAX_PROBES as usize] = [
    Duration::from_millis(500),
    Duration::from_secs(8),
    Duration::from_secs(16),
    Duration::from_secs(16),
];
/// Maximum number of probes of a request in the life of its refusal, all gateways and their restarts together.
const MAX_PROBES: u32 = 4;
/// Time after a refusal within which its first probe counts as one of the crashes that led to it. A later one uses up two.
const EARLY_PROBE_TIME: Duration = Duration::from_secs(2);
/// Probes of a job item, which is owed, and of a request: one fewer, in case a crash was not counted.
const ITEM_PROBES: u32 = MAX_PROBES;
const REQUEST_PROBES: u32 = MAX_PROBES - 1;
/// Time after which a probe counts as lost and another one is granted: longer than most answers take.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a due probe is kept for requests under which no target crashed. They find out more, and a request that
/// crashes targets itself would use up the probes of its parts.
pub(super) const SOUND_FIRST_TIME: Duration = Duration::from_secs(2);
/// Time for which a due probe is kept for requests all of whose other parts were answered at the gateway that asks. The crash
/// of another one says little about the refused part.
pub(super) const PROVEN_FIRST_TIME: Duration = Duration::from_millis(500);
/// Time for which one item with a refused part may run before another one may. An item is owed, so it does not wait for
/// the next probe, but several at once would crash as many targets.
const ITEM_TURN: Duration = Duration::from_secs(3);
/// Maximum number of requests remembered under which targets crashed; the oldest are evicted first.
const MAX_CRASHED_UNDER: usize = 32;
/// Minimum interval between two requests of this gateway for a probe.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a probe of a part that was granted to one request is another one's of the same gateway: the first was
/// refused before the grant arrived.
const GRANT_WAIT: Duration = Duration::from_millis(100);
/// Time after the end of its pause for which a refused part is remembered while nobody sends it. A refused request is
/// remembered until it is answered.
const PART_RETENTION: Duration = Duration::from_secs(600);

/// What probes of a suspect are sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeWork {
    /// A client's request.
    Request,
    /// An item of a job.
    Item,
}

impl ProbeWork {
    /// Number of probes after which it is refused for good.
    pub fn max_probes(self) -> u32 {
        match self {
            Self::Request => REQUEST_PROBES,
            Self::Item => ITEM_PROBES,
        }
    }
}

/// The refusal of a suspect, as announced between gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectRefusal {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Number of probes: of a part those that crashed, of a request those that were started.
    pub level: u32,
    /// Time until the next probe.
    pub left: Duration,
}

impl SuspectRefusal {
    /// The refusal after `level` probes.
    pub fn at_level(suspect: CrashSuspect, level: u32) -> Self {
        let pauses = match suspect {
            CrashSuspect::Request(_) => &REQUEST_PROBE_PAUSES,
            CrashSuspect::Part(_) => &PART_PROBE_PAUSES,
        };
        Self { suspect, level, left: pauses[(level as usize).min(pauses.len() - 1)] }
    }

    /// Whether no more probes are allowed of a request.
    pub fn is_final(&self, work: ProbeWork) -> bool {
        matches!(self.suspect, CrashSuspect::Request(_)) && self.level >= work.max_probes()
    }

    /// The refusal of a request once another probe is started; `age` is the time since its last crash was counted. `None` if
    /// no more are allowed.
    pub fn after_probe(&self, age: Duration, work: ProbeWork) -> Option<Self> {
        if self.is_final(work) {
            return None;
        }
        let is_late = self.level == 0 && age >= EARLY_PROBE_TIME;
        Some(Self::at_level(self.suspect, self.level + 1 + u32::from(is_late)))
    }
}

/// What the gateway that counts for a suspect answers to one that asks for a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReply {
    /// The request may run.
    Granted,
    /// The suspect was answered a moment ago and is not refused.
    Sound,
    /// No probe is due for this request, or one is running.
    NotNow,
}

/// A refused suspect, as known to one gateway.
#[derive(Debug, Clone)]
pub struct RefusedSuspect {
    level: u32,
    /// When the last crash was counted.
    crashed_at: MonoTime,
    /// When the next probe may be granted.
    until: MonoTime,
    /// Until when a probe granted to any gateway may be running; only known at the counting gateway.
    probed_until: MonoTime,
    /// The request that this gateway may start as a probe, and until when.
    granted: Option<(u64, MonoTime)>,
    /// Whether this gateway claimed a probe of which nothing reached a target.
    has_unspent_claim: bool,
    /// The item of this gateway that may run with the suspect, and until when no other one may.
    item_turn: Option<(u64, MonoTime)>,
    asked_at: MonoTime,
    /// Requests under which targets crashed, as far as known here. Invariant: distinct, at most [`MAX_CRASHED_UNDER`].
    crashed_under: VecDeque<u64>,
}

impl RefusedSuspect {
    /// A suspect that is refused for a crash counted at `crashed_at`.
    pub fn new(refusal: SuspectRefusal, crashed_at: MonoTime, now: MonoTime) -> Self {
        Self {
            level: refusal.level,
            crashed_at,
            until: now + refusal.left,
            probed_until: MonoTime::default(),
            granted: None,
            has_unspent_claim: false,
            item_turn: None,
            asked_at: MonoTime::default(),
            crashed_under: VecDeque::new(),
        }
    }

    /// Applies a later refusal. An earlier one that arrives late changes nothing.
    pub fn update(&mut self, refusal: SuspectRefusal, crashed_at: MonoTime, now: MonoTime) {
        let until = now + refusal.left;
        if (self.level, self.until) <= (refusal.level, until) {
            let crashed_under = std::mem::take(&mut self.crashed_under);
            let Self { asked_at, item_turn, .. } = *self;
            *self =
                Self { asked_at, item_turn, crashed_under, ..Self::new(refusal, crashed_at, now) };
        }
    }

    /// The refusal, as announced to other gateways.
    pub fn refusal(&self, suspect: CrashSuspect, now: MonoTime) -> SuspectRefusal {
        SuspectRefusal { suspect, level: self.level, left: self.until.since(now) }
    }

    /// Number of probes.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// When the last crash was counted.
    pub fn crashed_at(&self) -> MonoTime {
        self.crashed_at
    }

    /// When the next probe may be granted.
    pub fn until(&self) -> MonoTime {
        self.until
    }

    /// Whether nobody has sent it for so long that it is forgotten. A request never is: that it may be sent only a few
    /// times more has no end.
    pub fn is_forgotten(&self, suspect: CrashSuspect, now: MonoTime) -> bool {
        matches!(suspect, CrashSuspect::Part(_)) && now.since(self.until) >= PART_RETENTION
    }

    /// The level after a crash under the suspect at `now`; `None` for a crash of a request that was running when the
    /// suspect was refused. A crash after the pause is that of a probe, granted by this gateway or by the one that
    /// counted before. Another crash under the same request, which is refused for itself soon, is no more evidence
    /// against its parts. A probe of a whole request was counted when it started.
    pub fn level_after_crash(
        &self,
        suspect: CrashSuspect,
        is_known: bool,
        now: MonoTime,
    ) -> Option<u32> {
        let is_probe = now < self.probed_until || now >= self.until;
        let level = match suspect {
            CrashSuspect::Request(_) => self.level,
            CrashSuspect::Part(_) if is_known => self.level.max(1),
            CrashSuspect::Part(_) => self.level + 1,
        };
        is_probe.then_some(level)
    }

    /// Records requests under which targets crashed, for a part. Only the request itself can probe a refused request.
    pub fn note_crashed_under(
        &mut self,
        suspect: CrashSuspect,
        requests: impl IntoIterator<Item = u64>,
    ) {
        for request in requests {
            let is_part = matches!(suspect, CrashSuspect::Part(_));
            if !is_part || self.has_crashed_under(request) {
                continue;
            }
            if self.crashed_under.len() >= MAX_CRASHED_UNDER {
                self.crashed_under.pop_front();
            }
            self.crashed_under.push_back(request);
        }
    }

    /// Requests under which targets crashed, the oldest first.
    pub fn crashed_under(&self) -> impl Iterator<Item = u64> {
        self.crashed_under.iter().copied()
    }

    /// Whether a target is known to have crashed under the request.
    pub fn has_crashed_under(&self, request: u64) -> bool {
        self.crashed_under.contains(&request)
    }

    /// Whether this gateway may start the request now.
    pub fn is_granted(&self, request: u64, now: MonoTime) -> bool {
        self.granted.is_some_and(|(granted, until)| granted == request && until > now)
    }

    /// Whether this gateway may start the request with the probe that it was granted for another one, which did not use it.
    pub fn inherits_grant(&self, request: u64, now: MonoTime) -> bool {
        let is_unused = |(_, until): (u64, MonoTime)| {
            until > now && now.since(until - PROBE_TIMEOUT) >= GRANT_WAIT
        };
        self.granted.is_some_and(is_unused) && !self.has_crashed_under(request)
    }

    /// Whether this gateway may ask for a probe now. Once it has, it waits for the answer.
    pub fn asks_probe(&mut self, suspect: CrashSuspect, work: ProbeWork, now: MonoTime) -> bool {
        let is_due = self.until <= now && !self.refusal(suspect, now).is_final(work);
        let asks = is_due && now.since(self.asked_at) >= ASK_INTERVAL;
        if asks {
            self.asked_at = now;
        }
        asks
    }

    /// Grants a probe to the request, at the counting gateway. False if none is due for it or one is running.
    pub fn grant_probe(&mut self, request: u64, now: MonoTime) -> bool {
        let comes_last = self.has_crashed_under(request);
        let due = if comes_last { self.until + SOUND_FIRST_TIME } else { self.until };
        let is_granted = due <= now && self.probed_until <= now;
        if is_granted {
            self.probed_until = now + PROBE_TIMEOUT;
        }
        is_granted
    }

    /// Records that this gateway may start the request.
    pub fn note_granted(&mut self, request: u64, now: MonoTime) {
        self.granted = Some((request, now + PROBE_TIMEOUT));
    }

    /// Time until an item may run with the suspect; zero if it may now.
    pub fn item_wait(&self, item: u64, now: MonoTime) -> Duration {
        let turn = self.item_turn.filter(|(holder, _)| *holder != item);
        turn.map_or(Duration::ZERO, |(_, until)| until.since(now))
    }

    /// Records that nothing of a claimed probe reached a target: the request may start another one for it.
    pub fn note_unspent(&mut self, request: u64, now: MonoTime) {
        self.note_granted(request, now);
        self.has_unspent_claim = true;
    }

    /// Takes the claim of a probe of which nothing reached a target, if there is one.
    pub fn take_unspent_claim(&mut self) -> bool {
        std::mem::take(&mut self.has_unspent_claim)
    }

    /// Gives an item the turn to run with the suspect, unless it has it.
    pub fn take_item_turn(&mut self, item: u64, now: MonoTime) {
        let has_turn = self.item_turn.is_some_and(|(holder, until)| holder == item && until > now);
        if !has_turn {
            self.item_turn = Some((item, now + ITEM_TURN));
        }
    }

    /// Records that the granted probe was started.
    pub fn use_grant(&mut self) {
        self.granted = None;
    }
}
