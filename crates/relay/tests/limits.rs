//! A limit shared by several gateways.

mod support;

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;
use support::{Admission, Fleet};

/// Guards against exceeding the limit when jobs arrive at all gateways at once, the first ones
/// before any gateway knows of another's, and each gateway counts only its own.
#[test]
fn jobs_at_all_gateways_at_once_stay_within_the_limit() {
    let mut fleet = Fleet::new(5, 1_000);
    let all = [true; 5];
    let ends: Vec<_> = (0..20).map(|n| fleet.admit(n % 5, 100, &all, true)).collect();
    let admitted = ends.iter().filter(|end| **end == Admission::Admitted).count();
    assert_eq!((admitted, fleet.total()), (10, 1_000), "all jobs that fit are admitted");
}

/// Guards against a store call for each job under a limit that is far from full.
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

/// Guards against jobs that are accepted late while the store is slow: under a limit that is far
/// from full, each gateway's first job after its start must not wait for a write of shares.
#[test]
fn room_is_made_before_a_job_needs_it() {
    let mut fleet = Fleet::new(3, 100_000);
    for at in 0..3 {
        let holder = &mut fleet.holders[at];
        if let Some(revision) = fleet.stored.revision {
            holder.adopt(fleet.stored.table.clone(), revision);
        }
        let proposal = holder.top_up(0, 100_000, 3).expect("no share is held yet");
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

/// Guards against exceeding a lowered limit for as long as old jobs wait: gateways hold shares
/// beyond their use, and the limit falls far below the waiting amount.
#[test]
fn a_lowered_limit_revokes_unused_shares() {
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

/// Guards against exceeding the limit, or refusing jobs that fit, after a takeover: a gateway dies,
/// another one takes its jobs over, and they must be counted exactly once.
#[test]
fn jobs_taken_over_are_counted_once() {
    let mut fleet = Fleet::new(3, 10_000);
    assert_eq!(fleet.admit(0, 9_500, &[true; 3], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 100, &[true; 3], true), Admission::Admitted);
    let links = [false, true, true];
    fleet.used[1] += 9_500;
    let proposal = fleet.holders[1].propose_for_takeover(fleet.used[1]);
    assert!(fleet.stored.write(&proposal));
    fleet.holders[1].written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(
        fleet.admit(2, 1, &links, true),
        Admission::Refused,
        "counted at both during the takeover"
    );
    fleet.used[0] = 0;
    let proposal = fleet.holders[1].propose_after_takeover(&[("g-0#1".to_owned(), 9_500)]);
    assert!(fleet.stored.write(&proposal));
    fleet.holders[1].written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(fleet.admit(2, 500, &links, true), Admission::Refused);
    assert_eq!(fleet.admit(2, 250, &links, true), Admission::Admitted, "all except the reserve");
}

/// Guards against refusing jobs that fit forever because a gateway died with an unused share.
#[test]
fn a_dead_gateways_share_is_reclaimed() {
    let at = MonoTime::from_millis;
    let timeout = Duration::from_secs(5);
    let mut fleet = Fleet::new(2, 10_000);
    assert_eq!(fleet.admit(0, 100, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 100, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    assert_eq!(holder.silent_holders(|_| false, timeout, at(1_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| true, timeout, at(7_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| false, timeout, at(8_000)), Vec::<String>::new());
    assert_eq!(holder.silent_holders(|_| false, timeout, at(13_000)), ["g-0#1"]);
    holder.lowered("g-0#1", 0, holder.revision());
    assert_eq!(fleet.admit(1, 9_900, &[false, true], true), Admission::Admitted);
}

/// Two gateways of which the first one held 40,000 of 100,000 unused while the other one took it for gone, gave that away
/// and has finished its jobs since.
fn with_dropped_share() -> Fleet {
    let mut fleet = Fleet::new(2, 100_000);
    assert_eq!(fleet.admit(0, 40_000, &[true; 2], true), Admission::Admitted);
    fleet.used[0] = 0;
    fleet.refresh(1);
    let holder = &mut fleet.holders[1];
    holder.lowered("g-0#1", 0, holder.revision());
    assert_eq!(fleet.admit(1, 70_000, &[false, true], true), Admission::Admitted);
    fleet.used[1] = 0;
    fleet.holders[1].release_unused(0);
    assert_eq!(fleet.admit(1, 10, &[false, true], true), Admission::Admitted);
    fleet
}

/// Guards against a gateway that uses a share which others have given away while it was cut off: it hears of the newer
/// table, or it is back in touch and has not heard of it yet.
#[rstest]
#[case::newer_table(|fleet: &mut Fleet| fleet.refresh(0))]
#[case::doubt(|fleet: &mut Fleet| fleet.holders[0].doubt())]
fn a_share_that_was_dropped_is_not_used(#[case] back_in_touch: fn(&mut Fleet)) {
    let mut fleet = with_dropped_share();
    back_in_touch(&mut fleet);
    assert_eq!(fleet.admit(0, 38_000, &[true; 2], true), Admission::Admitted, "it fits");
    assert_eq!(fleet.admit(1, 90_000, &[true; 2], true), Admission::Refused);
    assert!(fleet.total() <= fleet.limit, "{}", fleet.total());
}

/// Guards against exceeding the limit when a holder releases its unused share and increases its
/// share at the same time: the release must not be applied to the table after the increase.
#[test]
fn a_stale_release_does_not_lower_a_new_share() {
    let mut fleet = Fleet::new(2, 1_000);
    assert_eq!(fleet.admit(0, 100, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    let asked_at = holder.revision();
    let kept = fleet.holders[0].release_unused(fleet.used[0]);
    assert_eq!(kept, 100);
    assert_eq!(fleet.admit(0, 800, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[1];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    holder.lowered("g-0#1", kept, asked_at);
    assert!(matches!(holder.step(0, 500, 1_000, 2, true), ShareStep::Full { .. }));
}

#[test]
fn the_drain_rate_decays_when_nothing_ends() {
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
    /// For any sequence of partitions, lost store calls, job arrivals, ends and takeovers, the
    /// limit holds, and jobs that fit are admitted while nothing is partitioned.
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
                    let proposal = fleet.holders[to].propose_for_takeover(used);
                    if !fleet.stored.write(&proposal) {
                        fleet.holders[to].not_written();
                        continue;
                    }
                    let revision = fleet.stored.revision.unwrap_or(0);
                    fleet.holders[to].written(proposal, revision);
                    fleet.used[to] = used;
                    fleet.used[at] -= amount;
                    let left = fleet.used[at];
                    fleet.holders[at].release_unused(left);
                    let proposal = fleet.holders[to].propose_after_takeover(&[(format!("g-{at}#1"), amount)]);
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
}
