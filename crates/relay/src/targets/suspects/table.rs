//! What one gateway knows of suspects.

use std::time::Duration;

use notch_types::prelude::*;

use super::{
    answers::AnswerHistory,
    refusal::{
        PROVEN_FIRST_TIME, ProbeReply, ProbeWork, RefusedSuspect, SOUND_FIRST_TIME, SuspectRefusal,
    },
    series::CrashSeries,
    suspect::{CrashReport, CrashSuspect, RequestCrashes, RequestSuspects},
};

/// Maximum number of series of each kind of suspect; those with the fewest crashes are evicted first, and of these the oldest.
const MAX_SERIES: usize = 4_096;
/// Maximum number of refused parts; those that may be probed first are evicted first.
const MAX_REFUSED_PARTS: usize = 256;
/// Maximum number of refused requests, each a fingerprint and some numbers; those with the fewest probes are evicted first,
/// and of these the oldest.
pub const MAX_REFUSED_REQUESTS: usize = 4_096;
/// Maximum number of requests whose crashes are recorded for other processes, those with the most crashes first.
const MAX_RECORDED_COUNTS: usize = 512;
/// Maximum number of reported suspects that are remembered until they are answered.
const MAX_REPORTED: usize = 1_024;

/// Whether a request may run, by its suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectAdmission {
    /// None is refused.
    Admitted,
    /// Some are refused; this request is the granted probe of all of them.
    Probe,
    /// A suspect is refused.
    Refused {
        /// The suspect.
        suspect: CrashSuspect,
        /// Time until a probe of all refused suspects of the request may be granted.
        left: Duration,
        /// Whether the gateway that counts the crashes is to be asked for a probe now.
        asks_probe: bool,
        /// Whether it is refused for good.
        is_final: bool,
    },
}

/// What an answer changed at the gateway that passed it on.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AnswerFindings {
    /// Suspects that were refused and are not any more.
    pub cleared: Vec<CrashSuspect>,
    /// Other suspects that this gateway has reported: the gateways that count for them need to know.
    pub reported: Vec<CrashSuspect>,
}

/// What one gateway knows of suspects. For each of them one gateway, chosen by its fingerprint, counts the crashes for all
/// and grants the probes.
#[derive(Debug, Default)]
pub struct SuspectTable {
    answers: AnswerHistory,
    series: FastMap<CrashSuspect, CrashSeries>,
    refused: FastMap<CrashSuspect, RefusedSuspect>,
    /// Suspects that this gateway has reported since they were answered. Invariant: at most [`MAX_REPORTED`].
    reported: FastSet<CrashSuspect>,
}

impl SuspectTable {
    /// Whether any suspect is refused.
    pub fn has_refusals(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Whether any part is refused.
    pub fn has_refused_parts(&self) -> bool {
        self.refused.keys().any(|suspect| matches!(suspect, CrashSuspect::Part(_)))
    }

    /// Whether this gateway may start a refused request as a probe.
    pub fn is_granted(&self, request: u64, now: MonoTime) -> bool {
        let refused = self.refused.get(&CrashSuspect::Request(request));
        refused.is_some_and(|refused| refused.is_granted(request, now))
    }

    /// Whether an item that is not refused for its parts may run at `now`, by what crashed under itself.
    pub fn admit_item(&mut self, item: u64, now: MonoTime) -> SuspectAdmission {
        let suspects = RequestSuspects { request: item, parts: &[] };
        self.admit_for(suspects, false, ProbeWork::Item, now)
    }

    /// Whether a request with these suspects may run at `now`. One whose answer has begun is only refused as a whole: its
    /// parts could be answered.
    pub fn admit(
        &mut self,
        suspects: RequestSuspects<'_>,
        has_begun: bool,
        now: MonoTime,
    ) -> SuspectAdmission {
        self.admit_for(suspects, has_begun, ProbeWork::Request, now)
    }

    fn admit_for(
        &mut self,
        suspects: RequestSuspects<'_>,
        has_begun: bool,
        work: ProbeWork,
        now: MonoTime,
    ) -> SuspectAdmission {
        if self.refused.is_empty() {
            return SuspectAdmission::Admitted;
        }
        let applies = |suspect: &CrashSuspect| match suspect {
            CrashSuspect::Request(_) => true,
            CrashSuspect::Part(_) => !has_begun,
        };
        let refused = || {
            let refused = |suspect| self.refused.get(&suspect).map(|refused| (suspect, refused));
            suspects.iter().filter(applies).filter_map(refused)
        };
        let Some(last_until) = refused().map(|(_, refused)| refused.until()).max() else {
            return SuspectAdmission::Admitted;
        };
        // Gateways ask for the parts of a request one after the other, so that none waits for a probe that another one
        // can't use.
        let may_inherit = self.probe_delay(suspects).is_zero();
        let is_granted = |suspect: CrashSuspect, refused: &RefusedSuspect| {
            let inherits = may_inherit && matches!(suspect, CrashSuspect::Part(_));
            refused.is_granted(suspects.request, now)
                || (inherits && refused.inherits_grant(suspects.request, now))
        };
        let blocking = refused().find(|(suspect, refused)| !is_granted(*suspect, refused));
        let Some((suspect, _)) = blocking else {
            for suspect in suspects.iter() {
                self.refused.get_mut(&suspect).into_iter().for_each(RefusedSuspect::use_grant);
            }
            return SuspectAdmission::Probe;
        };
        let is_due = match self.probe_delay(suspects) {
            Duration::ZERO => last_until <= now,
            delay => last_until.max(self.answers.part_cleared_at()) + delay <= now,
        };
        let is_final = self.is_final(suspects.request, work, now);
        let blocking = self.refused.get_mut(&suspect);
        let asks_probe = is_due
            && !is_final
            && blocking.is_some_and(|refused| refused.asks_probe(suspect, work, now));
        // A request without a probe left takes none of its parts.
        let suspect = if is_final { CrashSuspect::Request(suspects.request) } else { suspect };
        SuspectAdmission::Refused { suspect, left: last_until.since(now), asks_probe, is_final }
    }

    fn is_final(&self, request: u64, work: ProbeWork, now: MonoTime) -> bool {
        let refusal = self.refusal(CrashSuspect::Request(request), now);
        refusal.is_some_and(|refusal| refusal.is_final(work))
    }

    /// How long this gateway keeps a due probe of a refused part for requests that find out more than this one.
    fn probe_delay(&self, suspects: RequestSuspects<'_>) -> Duration {
        let is_refused_itself = self.refused.contains_key(&CrashSuspect::Request(suspects.request));
        let (mut refused_parts, mut has_crashed, mut is_unproven) = (0, false, false);
        for part in suspects.parts {
            match self.refused.get(&CrashSuspect::Part(*part)) {
                Some(refused) => {
                    refused_parts += 1;
                    has_crashed |= refused.has_crashed_under(suspects.request);
                }
                None => is_unproven |= self.answers.part(*part).is_none(),
            }
        }
        match refused_parts {
            0 => Duration::ZERO,
            1 if is_refused_itself || has_crashed => SOUND_FIRST_TIME,
            1 if is_unproven => PROVEN_FIRST_TIME,
            1 => Duration::ZERO,
            _ => SOUND_FIRST_TIME,
        }
    }

    /// Time until an item may run at `now`, by the parts of its prompt; zero if it may now. It is handed in for later and owed,
    /// so of those with a refused part one runs at a time, whose answer ends the refusal.
    pub fn item_wait(&mut self, item: RequestSuspects<'_>, now: MonoTime) -> Duration {
        let parts = || item.parts.iter().map(|part| CrashSuspect::Part(*part));
        let refused = parts().filter_map(|part| self.refused.get(&part));
        let wait = refused.map(|refused| refused.item_wait(item.request, now)).max();
        let wait = wait.unwrap_or_default();
        if wait.is_zero() {
            for part in parts() {
                if let Some(refused) = self.refused.get_mut(&part) {
                    refused.take_item_turn(item.request, now);
                }
            }
        }
        wait
    }

    /// Records a complete successful answer to a request with these suspects.
    pub fn note_answer(&mut self, suspects: RequestSuspects<'_>, now: MonoTime) -> AnswerFindings {
        self.answers.note(suspects, now);
        let mut findings = AnswerFindings::default();
        if self.series.is_empty() && self.refused.is_empty() && self.reported.is_empty() {
            return findings;
        }
        for suspect in suspects.iter() {
            self.series.remove(&suspect);
            let was_reported = self.reported.remove(&suspect);
            if self.refused.remove(&suspect).is_some() {
                self.answers.note_cleared(suspect, now);
                findings.cleared.push(suspect);
            } else if was_reported {
                findings.reported.push(suspect);
            }
        }
        findings
    }

    /// The suspects of a request that may have caused the crash of its target: the request, and those of its parts that
    /// were answered longest ago or never. What was answered a moment ago is not blamed, nor are parts of a request that
    /// is refused for itself.
    pub fn blamed(&self, suspects: RequestSuspects<'_>, now: MonoTime) -> Vec<CrashSuspect> {
        let RequestSuspects { request, parts } = suspects;
        let whole = CrashSuspect::Request(request);
        if self.answers.is_fresh(whole, now) {
            return Vec::new();
        }
        if self.refused.contains_key(&whole) {
            return vec![whole];
        }
        let oldest = parts.iter().map(|part| self.answers.part(*part)).min().flatten();
        let is_blamed = |part: &u64| {
            self.answers.part(*part) == oldest
                && !self.answers.is_fresh(CrashSuspect::Part(*part), now)
        };
        let blamed = parts.iter().copied().filter(is_blamed).map(CrashSuspect::Part);
        std::iter::once(whole).chain(blamed).collect()
    }

    /// Records that this gateway has reported a crash under a suspect.
    pub fn note_reported(&mut self, suspect: CrashSuspect) {
        if self.reported.len() >= MAX_REPORTED {
            self.reported.clear();
        }
        self.reported.insert(suspect);
    }

    /// Records a crash on behalf of all gateways. Returns the refusal if the suspect is refused from now on, or for
    /// longer.
    pub fn note_crash(&mut self, report: &CrashReport, now: MonoTime) -> Option<SuspectRefusal> {
        let suspect = report.suspect;
        if let Some(refused) = self.refused.get_mut(&suspect) {
            let is_known = refused.has_crashed_under(report.request);
            // Also of a request that was running when the suspect was refused: it may be the one to blame.
            refused.note_crashed_under(suspect, [report.request]);
            let level = refused.level_after_crash(suspect, is_known, now)?;
            return Some(self.refuse(suspect, level, now));
        }
        if self.answers.is_fresh(suspect, now) {
            return None;
        }
        self.evict_series(suspect, now);
        let series = self.series.entry(suspect).or_insert_with(|| CrashSeries::new(now));
        if !series.note(report, now) {
            return None;
        }
        Some(self.refuse(suspect, 0, now))
    }

    /// Counts on from what another process counted. Returns whether the request is refused now.
    pub fn restore_count(&mut self, count: &RequestCrashes, now: MonoTime) -> bool {
        let suspect = CrashSuspect::Request(count.request);
        if self.refused.contains_key(&suspect) || self.answers.last(suspect).is_some() {
            return false;
        }
        self.evict_series(suspect, now);
        let series = self.series.entry(suspect).or_insert_with(|| CrashSeries::new(now));
        let is_refused = series.join(count, now);
        if is_refused {
            self.refuse(suspect, 0, now);
        }
        is_refused
    }

    /// Crashes under requests that are not refused yet, as far as they are recorded.
    pub fn counts(&self) -> Vec<RequestCrashes> {
        let of_request = |(suspect, series): (&CrashSuspect, _)| match suspect {
            CrashSuspect::Request(id) => Some((*id, series)),
            CrashSuspect::Part(_) => None,
        };
        let mut counts: Vec<(u64, &CrashSeries)> =
            self.series.iter().filter_map(of_request).collect();
        counts.sort_unstable_by_key(|(_, series)| std::cmp::Reverse(series.eviction_order()));
        counts.truncate(MAX_RECORDED_COUNTS);
        counts.into_iter().map(|(id, series)| series.count(id)).collect()
    }

    /// Records that a probe of a request starts, which this or another gateway has claimed.
    pub fn note_probe_started(&mut self, refusal: SuspectRefusal, now: MonoTime) {
        let age = self.refusal_age(refusal.suspect, now);
        self.apply_refusal_of(refusal, now - age, now);
    }

    /// Records that nothing of a claimed probe reached a target.
    pub fn note_unspent_probe(&mut self, request: u64, now: MonoTime) {
        if let Some(refused) = self.refused.get_mut(&CrashSuspect::Request(request)) {
            refused.note_unspent(request, now);
        }
    }

    /// Takes the claim of a probe of which nothing reached a target, if this gateway has one.
    pub fn take_unspent_claim(&mut self, request: u64) -> bool {
        let refused = self.refused.get_mut(&CrashSuspect::Request(request));
        refused.is_some_and(RefusedSuspect::take_unspent_claim)
    }

    fn refuse(&mut self, suspect: CrashSuspect, level: u32, now: MonoTime) -> SuspectRefusal {
        let refusal = SuspectRefusal::at_level(suspect, level);
        self.apply_refusal(refusal, now);
        refusal
    }

    /// Applies a refusal, as determined by this or another gateway just now. False if this gateway has answered a request
    /// with the suspect a moment ago, so that it is sound.
    pub fn apply_refusal(&mut self, refusal: SuspectRefusal, now: MonoTime) -> bool {
        self.apply_refusal_of(refusal, now, now)
    }

    /// The same for a refusal whose last crash was counted `age` ago. False also if the suspect was answered later than
    /// that: the gateway that tells of the refusal was out of contact when it ended.
    pub fn apply_told_refusal(
        &mut self,
        refusal: SuspectRefusal,
        age: Duration,
        now: MonoTime,
    ) -> bool {
        let crashed_at = now - age;
        let known = self.refused.get(&refusal.suspect).map(RefusedSuspect::crashed_at);
        let is_over = self.answers.last(refusal.suspect).is_some_and(|at| {
            // What is known of the refusal may be newer than both.
            at > crashed_at && known.is_none_or(|known| at > known)
        });
        !is_over && self.apply_refusal_of(refusal, crashed_at, now)
    }

    fn apply_refusal_of(
        &mut self,
        refusal: SuspectRefusal,
        crashed_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let suspect = refusal.suspect;
        if refusal.level == 0 && self.answers.is_fresh(suspect, now) {
            return false;
        }
        self.evict_refused(suspect, now);
        let anew = || RefusedSuspect::new(refusal, crashed_at, now);
        let refused = self.refused.entry(suspect).or_insert_with(anew);
        refused.update(refusal, crashed_at, now);
        if let Some(series) = self.series.remove(&suspect) {
            refused.note_crashed_under(suspect, series.requests());
        }
        true
    }

    /// Records requests under which targets crashed with a refused suspect, as told by another gateway.
    pub fn note_crashed_under(&mut self, suspect: CrashSuspect, requests: &[u64]) {
        if let Some(refused) = self.refused.get_mut(&suspect) {
            refused.note_crashed_under(suspect, requests.iter().copied());
        }
    }

    /// Requests under which targets are known to have crashed with a refused suspect.
    pub fn crashed_under(&self, suspect: CrashSuspect) -> Vec<u64> {
        let refused = self.refused.get(&suspect);
        refused.map(|refused| refused.crashed_under().collect()).unwrap_or_default()
    }

    /// Ends the refusal of a suspect that another gateway has answered, and discards what was counted against it.
    pub fn clear(&mut self, suspect: CrashSuspect) {
        self.refused.remove(&suspect);
        self.series.remove(&suspect);
    }

    /// The same for a suspect that was answered at `now`, which is remembered against older refusals.
    pub fn note_cleared(&mut self, suspect: CrashSuspect, now: MonoTime) {
        self.clear(suspect);
        self.answers.note_elsewhere(suspect, now);
    }

    /// Decides, at the counting gateway, whether a gateway may probe a suspect by a request; `refusal` is what that
    /// gateway knows, as this one may have just started.
    pub fn grant_probe(
        &mut self,
        refusal: SuspectRefusal,
        request: u64,
        now: MonoTime,
    ) -> ProbeReply {
        let suspect = refusal.suspect;
        if !self.refused.contains_key(&suspect) {
            // The other gateway may have heard that the suspect is sound before it heard of the refusal.
            if self.answers.is_fresh(suspect, now) {
                return ProbeReply::Sound;
            }
            self.apply_refusal(refusal, now);
        }
        match self.refused.get_mut(&suspect).map(|refused| refused.grant_probe(request, now)) {
            Some(true) => ProbeReply::Granted,
            Some(false) | None => ProbeReply::NotNow,
        }
    }

    /// Records that this gateway may start the request as a probe of the suspect.
    pub fn note_granted(&mut self, suspect: CrashSuspect, request: u64, now: MonoTime) {
        if let Some(refused) = self.refused.get_mut(&suspect) {
            refused.note_granted(request, now);
        }
    }

    /// All refused suspects.
    pub fn refusals(&self, now: MonoTime) -> impl Iterator<Item = SuspectRefusal> {
        self.refused.iter().map(move |(suspect, refused)| refused.refusal(*suspect, now))
    }

    /// Time since the last crash was counted against a refused suspect.
    pub fn refusal_age(&self, suspect: CrashSuspect, now: MonoTime) -> Duration {
        let refused = self.refused.get(&suspect);
        refused.map(|refused| now.since(refused.crashed_at())).unwrap_or_default()
    }

    /// What is known of a refused suspect.
    pub fn refusal(&self, suspect: CrashSuspect, now: MonoTime) -> Option<SuspectRefusal> {
        self.refused.get(&suspect).map(|refused| refused.refusal(suspect, now))
    }

    fn evict_series(&mut self, added: CrashSuspect, now: MonoTime) {
        self.series.retain(|suspect, series| !series.is_over(*suspect, now));
        let same = || self.series.iter().filter(|(suspect, _)| suspect.is_same_kind(added));
        if !self.series.contains_key(&added)
            && same().count() >= MAX_SERIES
            && let Some((oldest, _)) = same().min_by_key(|(_, series)| series.eviction_order())
        {
            let oldest = *oldest;
            self.series.remove(&oldest);
        }
    }

    fn evict_refused(&mut self, added: CrashSuspect, now: MonoTime) {
        self.refused.retain(|suspect, refused| !refused.is_forgotten(*suspect, now));
        let most = match added {
            CrashSuspect::Request(_) => MAX_REFUSED_REQUESTS,
            CrashSuspect::Part(_) => MAX_REFUSED_PARTS,
        };
        let same = || self.refused.iter().filter(|(suspect, _)| suspect.is_same_kind(added));
        let order = |refused: &RefusedSuspect| match added {
            CrashSuspect::Request(_) => (refused.level(), refused.until()),
            CrashSuspect::Part(_) => (0, refused.until()),
        };
        if !self.refused.contains_key(&added)
            && same().count() >= most
            && let Some((oldest, _)) = same().min_by_key(|(_, refused)| order(refused))
        {
            let oldest = *oldest;
            self.refused.remove(&oldest);
        }
    }
}
