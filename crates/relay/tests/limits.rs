//! A limit that several gateways keep together.

use std::time::Duration;

use notch_relay::{limits::drain::wait_for, prelude::*};
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

/// Stands for the stored object: takes a write under the condition of its revision.
#[derive(Debug, Default)]
struct StoredTable {
    revision: Option<u64>,
    table: ShareTable,
}

impl StoredTable {
    fn write(&mut self, proposal: &ShareProposal) -> bool {
        let matches = self.revision == proposal.revision;
        if matches {
            self.revision = Some(self.revision.unwrap_or(0) + 1);
            self.table = proposal.table.clone();
        }
        matches
    }
}

/// Gateways with what each uses.
struct Fleet {
    stored: StoredTable,
    holders: Vec<ShareHolder>,
    used: Vec<u64>,
    limit: u64,
}

/// How an attempt to use more ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Admitted,
    Refused,
    /// The store can't be reached.
    Unsure,
}

impl Fleet {
    fn new(count: usize, limit: u64) -> Self {
        let holders = (0..count).map(|n| ShareHolder::new(&format!("g-{n}#1"))).collect();
        Self { stored: StoredTable::default(), holders, used: vec![0; count], limit }
    }

    fn total(&self) -> u64 {
        self.used.iter().sum()
    }

    /// What a gateway does when a job comes. `links` tells which gateways it hears; `has_store`
    /// whether it reaches the store.
    fn admit(&mut self, at: usize, amount: u64, links: &[bool], has_store: bool) -> Admission {
        let in_touch = links.iter().enumerate().all(|(n, link)| *link || n == at);
        let mut has_asked = false;
        for _ in 0..8 {
            let count = self.holders.len() as u64;
            let holder = &mut self.holders[at];
            match holder.step(self.used[at], amount, self.limit, count, in_touch) {
                ShareStep::Granted => {
                    self.used[at] += amount;
                    return Admission::Admitted;
                }
                ShareStep::Write(proposal) => {
                    if !has_store {
                        holder.not_written();
                        return Admission::Unsure;
                    }
                    if self.stored.write(&proposal) {
                        holder.written(proposal, self.stored.revision.unwrap_or(0));
                        self.used[at] += amount;
                        return Admission::Admitted;
                    }
                    holder.not_written();
                    holder.adopt(self.stored.table.clone(), self.stored.revision.unwrap_or(0));
                    has_asked = false;
                }
                ShareStep::Full { .. } if has_asked => return Admission::Refused,
                ShareStep::Full { .. } => {
                    has_asked = true;
                    if has_store && let Some(revision) = self.stored.revision {
                        holder.adopt(self.stored.table.clone(), revision);
                    }
                    let revision = holder.revision();
                    for other in (0..self.holders.len()).filter(|n| *n != at && links[*n]) {
                        let kept = self.holders[other].cede(self.used[other]);
                        self.holders[at].ceded(&format!("g-{other}#1"), kept, revision);
                    }
                }
            }
        }
        Admission::Refused
    }
}

/// A write of shares that is under way.
struct SlowWrite {
    proposal: ShareProposal,
    /// What it is for.
    amount: u64,
    /// Whether the store took it, once it came there.
    done: Option<bool>,
}

/// What is done apart while writes take long.
impl Fleet {
    fn use_held(&mut self, at: usize, amount: u64, in_touch: bool) {
        let room = self.holders[at].room(self.used[at], amount, self.limit, in_touch);
        if room == ShareRoom::Held {
            self.used[at] += amount;
        }
    }

    fn begin_write(&mut self, at: usize, amount: u64, in_touch: bool) -> Option<SlowWrite> {
        let holder = &mut self.holders[at];
        holder.not_written();
        match holder.step(self.used[at], amount, self.limit, 3, in_touch) {
            ShareStep::Write(proposal) => Some(SlowWrite { proposal, amount, done: None }),
            ShareStep::Granted => {
                self.used[at] += amount;
                None
            }
            ShareStep::Full { .. } => None,
        }
    }

    /// The answer to a write comes.
    fn end_write(&mut self, at: usize, write: SlowWrite) {
        let revision = write.proposal.revision.unwrap_or(0) + 1;
        let is_done = write.done.unwrap_or_else(|| self.stored.write(&write.proposal));
        if is_done {
            self.holders[at].written(write.proposal, revision);
            self.used[at] += write.amount;
        } else {
            self.holders[at].not_written();
            self.refresh(at);
        }
    }

    fn refresh(&mut self, at: usize) {
        if let Some(revision) = self.stored.revision {
            self.holders[at].adopt(self.stored.table.clone(), revision);
        }
    }

    fn ask(&mut self, at: usize) {
        self.refresh(at);
        let revision = self.holders[at].revision();
        for other in (0..self.holders.len()).filter(|n| *n != at) {
            let kept = self.holders[other].cede(self.used[other]);
            self.holders[at].ceded(&format!("g-{other}#1"), kept, revision);
        }
    }
}

/// Symptom: more tokens wait than the limit allows. Sequence: jobs come to all gateways at once, the
/// first ones before any gateway has heard of another's. Cause: each counts its own only.
#[test]
fn jobs_at_all_gateways_at_once_stay_within_the_limit() {
    let mut fleet = Fleet::new(5, 1_000);
    let all = [true; 5];
    let ends: Vec<_> = (0..20).map(|n| fleet.admit(n % 5, 100, &all, true)).collect();
    let admitted = ends.iter().filter(|end| **end == Admission::Admitted).count();
    assert_eq!((admitted, fleet.total()), (10, 1_000), "and nothing that fits is refused");
}

/// Symptom: under a limit that is far from full each job costs a call to the store.
#[test]
fn far_below_the_limit_few_jobs_need_a_write() {
    let mut fleet = Fleet::new(5, 2_000_000);
    for n in 0..200 {
        assert_eq!(fleet.admit(n % 5, 7_000, &[true; 5], true), Admission::Admitted);
        fleet.used[n % 5] = fleet.used[n % 5].saturating_sub(6_800);
    }
    let writes = fleet.stored.revision.unwrap_or(0);
    assert!(writes <= 10, "{writes} writes for 200 jobs");
}

/// Symptom: jobs are accepted late while the store is slow. Sequence: a limit that is far from full; each
/// gateway's first job after its start waits for a write of shares. Cause: no share was taken ahead.
#[test]
fn room_is_made_before_a_job_needs_it() {
    let mut fleet = Fleet::new(3, 100_000);
    for at in 0..3 {
        let holder = &mut fleet.holders[at];
        if let Some(revision) = fleet.stored.revision {
            holder.adopt(fleet.stored.table.clone(), revision);
        }
        let proposal = holder.top_up(0, 100_000, 3).expect("there is none yet");
        assert!(fleet.stored.write(&proposal));
        holder.written(proposal, fleet.stored.revision.unwrap_or(0));
        assert_eq!(holder.top_up(0, 100_000, 3), None, "enough");
    }
    assert_eq!(fleet.admit(1, 3_000, &[true; 3], false), Admission::Admitted, "without the store");
    let holder = &mut fleet.holders[1];
    assert!(holder.top_up(3_000, 100_000, 3).is_some(), "most of it is used");
    holder.not_written();
    assert_eq!(holder.top_up(3_000, 8_100, 3), None, "the limit is nearly used up");
}

/// Symptom: a limit that was lowered is exceeded for as long as old jobs wait. Sequence: gateways hold
/// shares beyond their use; the limit falls far below what waits. Cause: the shares were still used.
#[test]
fn a_lowered_limit_voids_what_was_lent_beyond_use() {
    let mut fleet = Fleet::new(3, 100_000);
    for at in 0..3 {
        assert_eq!(fleet.admit(at, 5_000, &[true; 3], true), Admission::Admitted);
    }
    fleet.limit = 2_000;
    for at in 0..3 {
        assert_eq!(fleet.admit(at, 100, &[true; 3], true), Admission::Refused);
    }
    fleet.used = vec![0, 500, 0];
    assert_eq!(fleet.admit(2, 1_500, &[true; 3], true), Admission::Admitted, "it fits again");
    assert_eq!(fleet.admit(0, 1, &[true; 3], true), Admission::Refused);
    fleet.limit = 50_000;
    assert_eq!(fleet.admit(0, 40_000, &[true; 3], true), Admission::Admitted, "raised");
}

/// Symptom: after a takeover more waits than the limit allows, or jobs that fit are refused. Sequence: a
/// gateway dies; another one takes its jobs. Cause: they were counted nowhere, or at both.
#[test]
fn jobs_taken_over_are_counted_once() {
    let mut fleet = Fleet::new(3, 10_000);
    assert_eq!(fleet.admit(0, 9_500, &[true; 3], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 100, &[true; 3], true), Admission::Admitted);
    let links = [false, true, true];
    fleet.used[1] += 9_500;
    let proposal = fleet.holders[1].cover(fleet.used[1]);
    assert!(fleet.stored.write(&proposal));
    fleet.holders[1].written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(fleet.admit(2, 1, &links, true), Admission::Refused, "at both while it moves");
    fleet.used[0] = 0;
    let proposal = fleet.holders[1].release(&[("g-0#1".to_owned(), 9_500)]);
    assert!(fleet.stored.write(&proposal));
    fleet.holders[1].written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(fleet.admit(2, 500, &links, true), Admission::Refused);
    assert_eq!(fleet.admit(2, 250, &links, true), Admission::Admitted, "all but the spare");
}

/// Symptom: jobs that fit are refused for good. Sequence: a gateway dies with a share that it didn't use.
/// Cause: nobody gave it back.
#[test]
fn a_dead_gateways_share_lapses() {
    let at = MonoTime::from_millis;
    let patience = Duration::from_secs(5);
    let mut fleet = Fleet::new(2, 10_000);
    assert_eq!(fleet.admit(0, 100, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 100, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    assert_eq!(holder.silent_holders(|_| false, patience, at(1_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| true, patience, at(7_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| false, patience, at(8_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| false, patience, at(13_000)), ["g-0#1"]);
    holder.ceded("g-0#1", 0, holder.revision());
    assert_eq!(fleet.admit(1, 9_900, &[false, true], true), Admission::Admitted);
}

/// Symptom: the limit is exceeded. Sequence: a holder gives back what it doesn't use and takes more at
/// the same time; the asker writes the table with what was given back. Cause: the word of the giving back
/// outlived the write that followed it.
#[test]
fn a_share_taken_meanwhile_is_not_given_back() {
    let mut fleet = Fleet::new(2, 1_000);
    assert_eq!(fleet.admit(0, 100, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    let asked_at = holder.revision();
    let kept = fleet.holders[0].cede(fleet.used[0]);
    assert_eq!(kept, 100);
    assert_eq!(fleet.admit(0, 800, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    holder.ceded("g-0#1", kept, asked_at);
    assert!(matches!(holder.step(0, 500, 1_000, 2, true), ShareStep::Full { .. }));
}

/// Symptom: the limit is exceeded, or jobs that fit wait for a slow store. Sequence: a write of shares for
/// one job is under way; others come that fit what is held. Cause: what the write was for was used by the
/// others too, or nothing was.
#[test]
fn what_is_held_is_used_while_a_write_is_under_way() {
    let mut fleet = Fleet::new(2, 8_000);
    assert_eq!(fleet.admit(0, 1_000, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.stored.table.share("g-0#1").lent, 1_400);
    let holder = &mut fleet.holders[0];
    let ShareStep::Write(proposal) = holder.step(1_000, 6_900, 8_000, 2, true) else {
        panic!("more than is held, and free");
    };
    assert_eq!(proposal.table.share("g-0#1").lent, 7_925);
    assert_eq!(holder.room(1_000, 25, 8_000, true), ShareRoom::Held);
    assert_eq!(holder.room(1_000, 26, 8_000, true), ShareRoom::Free, "the write is for another");
    assert_eq!(
        holder.room(1_000, 7_001, 8_000, true),
        ShareRoom::Missing(1),
        "whatever is written"
    );
    holder.not_written();
    assert_eq!(holder.room(1_000, 400, 8_000, true), ShareRoom::Held);
}

/// Symptom: jobs that fit are asked about twice. Sequence: others give back what they don't use while a
/// write of shares is under way; it is done. Cause: the table as it was before was taken for news.
#[test]
fn what_is_given_back_during_a_write_stays_so() {
    let mut fleet = Fleet::new(2, 1_000);
    assert_eq!(fleet.admit(1, 500, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[0];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    let proposal = holder.top_up(0, 1_000, 2).expect("there is none yet");
    fleet.used[1] = 100;
    let kept = fleet.holders[1].cede(fleet.used[1]);
    let holder = &mut fleet.holders[0];
    holder.ceded("g-1#1", kept, holder.revision());
    assert!(fleet.stored.write(&proposal));
    holder.written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(holder.room(0, 900, 1_000, true), ShareRoom::Free);
    assert_eq!(holder.room(0, 901, 1_000, true), ShareRoom::Missing(1));
    assert_eq!(fleet.admit(0, 900, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 1, &[true; 2], true), Admission::Refused);
}

#[rstest]
#[case::soon(1_000, 4_000.0, Duration::from_millis(300))]
#[case::in_a_while(4_000, 2_000.0, Duration::from_secs(2))]
#[case::nothing_ends(10, 0.0, Duration::from_secs(5))]
#[case::far_off(1_000_000, 10.0, Duration::from_secs(5))]
fn a_refused_client_is_told_when_enough_has_ended(
    #[case] missing: u64,
    #[case] per_second: f64,
    #[case] wait: Duration,
) {
    assert_eq!(wait_for(missing, per_second), wait);
}

/// What is free when asked at `millis`: 100 of 1,000.
fn counted_at(millis: u64) -> RoomCount {
    let asked_at = MonoTime::from_millis(millis);
    RoomCount { asked_at, limit: 1_000, free: 100, ended_per_second: 10.0 }
}

/// Symptom: in a burst gateways ask each other for every job. Sequence: a limit is used up; a job comes
/// each millisecond. Cause: each was counted for.
#[test]
fn in_a_burst_a_count_serves_until_the_next_is_due() {
    let mut pace = CountPace::default();
    let mut counts = Vec::new();
    for millis in 10_000..20_000 {
        let now = MonoTime::from_millis(millis);
        match pace.refusal(101, 1_000, now, now) {
            Some(wait) => assert_eq!(wait, Duration::from_millis(300)),
            None => {
                pace.note_asked(now);
                pace.note_count(counted_at(millis));
                counts.push(millis);
            }
        }
    }
    // Eight at once, and two in each second.
    assert_eq!(counts.len(), 27, "{counts:?}");
    let gaps = counts.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(gaps.max(), Some(500), "a count that is older serves no more");
}

#[test]
fn jobs_that_come_together_share_a_count() {
    let at = MonoTime::from_millis;
    let mut pace = CountPace::default();
    assert_eq!(pace.refusal(101, 1_000, at(990), at(1_000)), None, "nothing is known");
    pace.note_asked(at(1_000));
    pace.note_count(counted_at(1_000));
    assert!(pace.refusal(101, 1_000, at(1_000), at(1_010)).is_some(), "it came before the count");
    assert_eq!(pace.refusal(101, 1_000, at(1_001), at(1_010)), None, "after it");
    assert_eq!(pace.refusal(100, 1_000, at(990), at(1_010)), None, "it fitted");
    assert_eq!(pace.refusal(101, 2_000, at(990), at(1_010)), None, "another limit");
    assert_eq!(pace.refusal(101, 1_000, at(990), at(1_500)), None, "too old");
}

/// Symptom: nothing is admitted for long after a burst. Sequence: gateways were asked many times and never
/// answered, or the table changed each time. Cause: the questions were paid for one by one.
#[test]
fn counts_that_fail_put_off_no_later_one() {
    let at = MonoTime::from_millis;
    let mut pace = CountPace::default();
    for _ in 0..1_000 {
        pace.note_asked(at(1_000));
        assert_eq!(pace.refusal(1_000, 1_000, at(1_000), at(1_000)), None);
    }
    pace.note_count(counted_at(1_000));
    assert!(pace.refusal(101, 1_000, at(1_499), at(1_499)).is_some());
    assert_eq!(pace.refusal(101, 1_000, at(1_500), at(1_500)), None);
}

#[test]
fn a_rate_fades_when_nothing_ends() {
    let at = MonoTime::from_millis;
    let mut rate = DrainRate::default();
    for second in 0..40 {
        rate.note(1_000, at(second * 1_000));
    }
    let steady = rate.per_second(at(39_500));
    assert!((800.0..1_200.0).contains(&steady), "{steady}");
    assert!(rate.per_second(at(60_000)) < 20.0);
}

proptest! {
    /// Whatever links and calls are cut, and however jobs come, end and move: the limit holds, and
    /// what fits is admitted where nothing is cut.
    #[test]
    fn the_limit_holds(steps in proptest::collection::vec(
        (0_usize..4, 0_u8..8, 1_u64..400, any::<[bool; 4]>(), any::<bool>()), 1..120,
    )) {
        let mut fleet = Fleet::new(4, 1_000);
        for (at, action, amount, links, has_store) in steps {
            match action {
                0..4 => {
                    let before = fleet.total();
                    let end = fleet.admit(at, amount, &links, has_store);
                    let is_whole = has_store && links.iter().enumerate().all(|(n, l)| *l || n == at);
                    let fits = before + amount <= fleet.limit;
                    prop_assert!(end != Admission::Admitted || fits);
                    prop_assert!(!is_whole || (end == Admission::Admitted) == fits);
                }
                4..6 => fleet.used[at] = fleet.used[at].saturating_sub(amount),
                6 => {
                    let (holder, table) = (&mut fleet.holders[at], fleet.stored.table.clone());
                    if let Some(revision) = fleet.stored.revision {
                        holder.adopt(table, revision);
                    }
                }
                _ => {
                    let to = (at + 1) % 4;
                    let amount = amount.min(fleet.used[at]);
                    let used = fleet.used[to] + amount;
                    let proposal = fleet.holders[to].cover(used);
                    if !fleet.stored.write(&proposal) {
                        fleet.holders[to].not_written();
                        continue;
                    }
                    let revision = fleet.stored.revision.unwrap_or(0);
                    fleet.holders[to].written(proposal, revision);
                    fleet.used[to] = used;
                    fleet.used[at] -= amount;
                    let left = fleet.used[at];
                    fleet.holders[at].cede(left);
                    let proposal = fleet.holders[to].release(&[(format!("g-{at}#1"), amount)]);
                    if has_store && fleet.stored.write(&proposal) {
                        let revision = fleet.stored.revision.unwrap_or(0);
                        fleet.holders[to].written(proposal, revision);
                    } else {
                        fleet.holders[to].not_written();
                    }
                }
            }
            let shares = fleet.holders.iter().enumerate();
            for (n, _) in shares {
                let share = fleet.stored.table.share(&format!("g-{n}#1")).lent;
                prop_assert!(fleet.used[n] <= share, "{n} uses {} of {share}", fleet.used[n]);
            }
        }
    }

    /// Writes may take long, land after they were given up, and be answered late; jobs come, end and are
    /// asked about meanwhile: the limit holds, and each gateway stays within its stored share.
    #[test]
    fn the_limit_holds_while_writes_are_under_way(steps in proptest::collection::vec(
        (0_usize..3, 0_u8..12, 1_u64..300, any::<bool>()), 1..160,
    )) {
        let mut fleet = Fleet::new(3, 1_000);
        let mut writes = [const { None::<SlowWrite> }; 3];
        let mut given_up = Vec::new();
        for (at, action, amount, in_touch) in steps {
            match action {
                0..3 => fleet.use_held(at, amount, in_touch),
                3..5 if writes[at].is_none() => {
                    writes[at] = fleet.begin_write(at, amount, in_touch);
                }
                5 if writes[at].is_none() => {
                    fleet.holders[at].not_written();
                    let proposal = fleet.holders[at].top_up(fleet.used[at], fleet.limit, 3);
                    writes[at] = proposal.map(|p| SlowWrite { proposal: p, amount: 0, done: None });
                }
                6 => if let Some(write) = &mut writes[at] {
                    write.done.get_or_insert_with(|| fleet.stored.write(&write.proposal));
                },
                7 => if let Some(write) = writes[at].take() {
                    fleet.end_write(at, write);
                },
                8 => given_up.extend(writes[at].take().filter(|write| write.done.is_none())),
                9 => if let Some(write) = given_up.pop() {
                    fleet.stored.write(&write.proposal);
                },
                10 => fleet.used[at] = fleet.used[at].saturating_sub(amount),
                _ => fleet.ask(at),
            }
            prop_assert!(fleet.total() <= fleet.limit, "{}", fleet.total());
            for n in 0..3 {
                let share = fleet.stored.table.share(&format!("g-{n}#1")).lent;
                prop_assert!(fleet.used[n] <= share, "{n} uses {} of {share}", fleet.used[n]);
            }
        }
    }

    /// Whatever comes, a job refused by a count didn't fit at some moment of the last half second.
    #[test]
    fn a_count_refuses_nothing_that_fits_for_long(steps in proptest::collection::vec(
        (0_usize..3, any::<bool>(), 1_u64..300, 0_u64..120), 1..200,
    )) {
        let mut fleet = Fleet::new(3, 1_000);
        let mut paces = [CountPace::default(); 3];
        let mut totals = vec![(0, 0)];
        let mut millis = 1_000;
        for (at, is_job, amount, pause) in steps {
            millis += pause;
            let now = MonoTime::from_millis(millis);
            if is_job {
                let room = fleet.holders[at].room(fleet.used[at], amount, fleet.limit, true);
                let refusal = paces[at].refusal(amount, fleet.limit, now, now);
                if matches!(room, ShareRoom::Missing(_)) && refusal.is_some() {
                    let older = totals.iter().rposition(|(at, _)| *at + 500 <= millis);
                    let mut late = totals.iter().skip(older.unwrap_or(0));
                    prop_assert!(late.any(|(_, total)| total + amount > fleet.limit));
                    continue;
                }
                if matches!(room, ShareRoom::Missing(_)) {
                    paces[at].note_asked(now);
                    fleet.ask(at);
                    let used = fleet.holders[at].used_by_all(fleet.used[at]);
                    paces[at].note_count(RoomCount {
                        asked_at: now,
                        limit: fleet.limit,
                        free: fleet.limit.saturating_sub(used),
                        ended_per_second: 0.0,
                    });
                }
                let fits = fleet.total() + amount <= fleet.limit;
                let end = fleet.admit(at, amount, &[true; 3], true);
                prop_assert_eq!(end == Admission::Admitted, fits);
            } else {
                fleet.used[at] = fleet.used[at].saturating_sub(amount);
            }
            totals.push((millis, fleet.total()));
        }
    }
}
