//! A limit that several gateways keep together, while writes of their shares are under way.

mod support;

use notch_relay::prelude::*;
use proptest::prelude::*;
use support::{Admission, Fleet, SlowWrite};

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
    assert_eq!(holder.availability(1_000, 25, 8_000, true), ShareAvailability::Held);
    assert_eq!(
        holder.availability(1_000, 26, 8_000, true),
        ShareAvailability::Free,
        "the write is for another"
    );
    assert_eq!(
        holder.availability(1_000, 7_001, 8_000, true),
        ShareAvailability::Missing(1),
        "whatever is written"
    );
    holder.not_written();
    assert_eq!(holder.availability(1_000, 400, 8_000, true), ShareAvailability::Held);
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
    let kept = fleet.holders[1].release_unused(fleet.used[1]);
    let holder = &mut fleet.holders[0];
    holder.lowered("g-1#1", kept, holder.revision());
    assert!(fleet.stored.write(&proposal));
    holder.written(proposal, fleet.stored.revision.unwrap_or(0));
    assert_eq!(holder.availability(0, 900, 1_000, true), ShareAvailability::Free);
    assert_eq!(holder.availability(0, 901, 1_000, true), ShareAvailability::Missing(1));
    assert_eq!(fleet.admit(0, 900, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.admit(1, 1, &[true; 2], true), Admission::Refused);
}

proptest! {
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
}
