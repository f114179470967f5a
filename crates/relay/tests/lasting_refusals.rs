//! What is promised without an end holds however long a client goes on, and however seldom it comes.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

/// The request that crashes each target.
const CULPRIT: RequestSuspects<'_> = RequestSuspects { request: 7, parts: &[70, 71] };
/// Time after the third crash from which sends count, and how many may come.
const WINDOW: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;

/// A gateway that counts for itself, before targets that crash under [`CULPRIT`].
#[derive(Default)]
struct CrashingFleet {
    table: SuspectTable,
    /// Number of targets so far; each crash brings a new one.
    targets: usize,
    /// When targets crashed.
    crashes: Vec<MonoTime>,
}

impl CrashingFleet {
    fn crash(&mut self, now: MonoTime) {
        self.targets += 1;
        self.crashes.push(now);
        for suspect in self.table.blamed(CULPRIT, now) {
            let target = format!("t{}", self.targets);
            let (request, reached) = (CULPRIT.request, None);
            self.table.note_crash(&CrashReport { suspect, target, request, reached }, now);
        }
    }

    /// Whether the request may start as a probe, once all probes that are due were granted.
    fn is_probe(&mut self, now: MonoTime) -> bool {
        self.admission(now) == SuspectAdmission::Probe
    }

    fn admission(&mut self, now: MonoTime) -> SuspectAdmission {
        loop {
            let admission = self.table.admit(CULPRIT, false, now);
            match admission {
                SuspectAdmission::Refused { suspect, asks_probe: true, .. } => {
                    let refusal = self.table.refusal(suspect, now).expect("it is refused");
                    let reply = self.table.grant_probe(refusal, CULPRIT.request, now);
                    if reply != ProbeReply::Granted {
                        return admission;
                    }
                    self.table.note_granted(suspect, CULPRIT.request, now);
                }
                SuspectAdmission::Admitted
                | SuspectAdmission::Probe
                | SuspectAdmission::Refused { .. } => return admission,
            }
        }
    }

    /// Claims a probe as the record in the store does it.
    fn claim(&mut self, work: ProbeWork, now: MonoTime) -> bool {
        let suspect = CrashSuspect::Request(CULPRIT.request);
        let Some(refusal) = self.table.refusal(suspect, now) else { return true };
        let age = self.table.refusal_age(suspect, now);
        let Some(next) = refusal.after_probe(age, work) else { return false };
        self.table.note_probe_started(next, now);
        true
    }

    /// A client sends the request, for which the route allows this many attempts.
    fn send(&mut self, attempts: usize, now: MonoTime) {
        for _ in 0..attempts {
            match self.admission(now) {
                SuspectAdmission::Admitted => self.crash(now),
                SuspectAdmission::Probe if self.claim(ProbeWork::Request, now) => {
                    return self.crash(now);
                }
                SuspectAdmission::Probe | SuspectAdmission::Refused { .. } => return,
            }
        }
    }

    fn late(&self) -> usize {
        let third = self.crashes.get(2).copied();
        self.crashes.iter().filter(|at| third.is_some_and(|third| **at > third + WINDOW)).count()
    }
}

/// Guards against a request that crashes targets for ever: probes of it went on each two minutes, and its crashes and its
/// refusal were forgotten when it came less often than each 150 or 600 seconds.
#[rstest]
#[case::each_second(1, 1_800)]
#[case::each_40_seconds(40, 1_800)]
#[case::each_160_seconds(160, 1_800)]
#[case::each_700_seconds(700, 10_800)]
#[case::each_day(86_400, 2_592_000)]
fn a_request_that_crashes_targets_is_sent_a_few_times_however_long_it_comes(
    #[case] interval: u64,
    #[case] length: u64,
    #[values(1, 2)] attempts: usize,
) {
    let mut fleet = CrashingFleet::default();
    for second in (0..length).step_by(interval as usize) {
        fleet.send(attempts, MonoTime::from_millis((second + 1) * 1_000));
    }
    assert!(fleet.crashes.len() >= 3, "it crashes targets: {:?}", fleet.crashes);
    assert!(fleet.late() <= MAX_LATE, "{} late: {:?}", fleet.late(), fleet.crashes);
    let now = MonoTime::from_millis((length + 1_000_000) * 1_000);
    let admission = fleet.table.admit(CULPRIT, false, now);
    assert!(
        matches!(admission, SuspectAdmission::Refused { is_final: true, asks_probe: false, .. }),
        "its client is told so: {admission:?}"
    );
}

/// Guards against an item that crashes targets until its lifetime is over: it is owed, but reaches only a few more.
#[test]
fn an_item_that_crashes_targets_reaches_a_few() {
    let mut fleet = CrashingFleet::default();
    for tenth in 1..700 {
        let now = MonoTime::from_millis(tenth * 100);
        match fleet.table.admit_item(CULPRIT.request, now) {
            SuspectAdmission::Admitted => fleet.crash(now),
            SuspectAdmission::Refused { suspect, asks_probe: true, .. } => {
                let refusal = fleet.table.refusal(suspect, now).expect("it is refused");
                if fleet.table.grant_probe(refusal, CULPRIT.request, now) == ProbeReply::Granted {
                    fleet.table.note_granted(suspect, CULPRIT.request, now);
                    let admission = fleet.table.admit_item(CULPRIT.request, now);
                    assert_eq!(admission, SuspectAdmission::Probe);
                    assert!(fleet.claim(ProbeWork::Item, now));
                    fleet.crash(now);
                }
            }
            SuspectAdmission::Probe | SuspectAdmission::Refused { .. } => {}
        }
    }
    assert!(fleet.late() <= MAX_LATE, "{} late: {:?}", fleet.late(), fleet.crashes);
}

/// Guards against a sound request that stays refused: its targets crashed for another reason.
#[test]
fn a_sound_request_is_served_by_its_first_probe() {
    let mut fleet = CrashingFleet::default();
    for millis in [0, 100, 200] {
        fleet.crash(MonoTime::from_millis(millis));
    }
    let now = MonoTime::from_millis(800);
    assert!(fleet.is_probe(now) && fleet.claim(ProbeWork::Request, now));
    fleet.table.note_answer(CULPRIT, now);
    assert_eq!(fleet.table.admit(CULPRIT, false, now), SuspectAdmission::Admitted);
}

/// Guards against a count that is lost with the processes that counted: what they recorded is counted on.
#[test]
fn crashes_that_were_recorded_are_counted_on() {
    let mut fleet = CrashingFleet::default();
    fleet.crash(MonoTime::from_millis(0));
    fleet.crash(MonoTime::from_millis(160_000));
    let counts = fleet.table.counts();
    fleet.table = SuspectTable::default();
    for count in counts.iter().chain(&counts) {
        assert!(!fleet.table.restore_count(count, MonoTime::from_millis(0)), "each target once");
    }
    fleet.crash(MonoTime::from_millis(10));
    let admission = fleet.table.admit(CULPRIT, false, MonoTime::from_millis(20));
    assert!(matches!(admission, SuspectAdmission::Refused { .. }), "{admission:?}");
}

/// Guards against a probe that is used up although nothing of it reached a target.
#[test]
fn a_claimed_probe_that_reached_no_target_is_not_used_up() {
    let mut fleet = CrashingFleet::default();
    for millis in [0, 100, 200] {
        fleet.crash(MonoTime::from_millis(millis));
    }
    let now = MonoTime::from_millis(800);
    assert!(fleet.is_probe(now) && fleet.claim(ProbeWork::Request, now));
    assert!(!fleet.is_probe(now), "it was granted once");
    fleet.table.note_unspent_probe(CULPRIT.request, now);
    assert!(fleet.is_probe(now));
    assert!(fleet.table.take_unspent_claim(CULPRIT.request));
    assert!(!fleet.table.take_unspent_claim(CULPRIT.request), "once");
}

/// Guards against refusals of requests that are displaced: those with the most probes stay.
#[test]
fn a_request_that_is_refused_for_good_outlasts_many_others() {
    let mut table = SuspectTable::default();
    let refuse = |table: &mut SuspectTable, request, level, now| {
        let suspect = CrashSuspect::Request(request);
        table.apply_refusal(SuspectRefusal::at_level(suspect, level), MonoTime::from_millis(now));
    };
    refuse(&mut table, 7, 3, 0);
    for other in 0..MAX_REFUSED_REQUESTS as u64 + 100 {
        refuse(&mut table, other + 100, 0, 1_000);
    }
    let now = MonoTime::from_millis(2_000);
    assert!(table.refusals(now).count() <= MAX_REFUSED_REQUESTS);
    assert!(matches!(table.admit(CULPRIT, false, now), SuspectAdmission::Refused { .. }));
}

/// Guards against a request that crashes one target again and again: it came back under its name before that was known.
#[test]
fn each_crash_of_a_target_that_came_back_counts() {
    let mut table = SuspectTable::default();
    let suspect = CrashSuspect::Request(CULPRIT.request);
    let report = CrashReport { suspect, target: "t".to_owned(), request: 7, reached: None };
    for millis in [1_000, 1_010, 1_020, 2_000, 2_010] {
        assert!(table.note_crash(&report, MonoTime::from_millis(millis)).is_none(), "{millis}");
    }
    let mut restored = SuspectTable::default();
    for count in table.counts().iter().chain(&table.counts()) {
        assert!(!restored.restore_count(count, MonoTime::from_millis(0)), "it crashed twice");
    }
    for table in [&mut table, &mut restored] {
        assert!(table.note_crash(&report, MonoTime::from_millis(3_000)).is_some());
    }
}
