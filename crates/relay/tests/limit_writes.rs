//! A limit shared by several gateways while writes of their shares are in progress.

mod support;

use notch_relay::prelude::*;
use proptest::prelude::*;
use support::{Admission, Fleet, SlowWrite};

/// Guards against exceeding the limit, and against jobs that wait for a slow store although they
/// fit: while a write of shares for one job is in progress, other jobs may use what is held, but
/// not the part that the write is for.
#[test]
fn a_held_share_is_usable_during_a_write() {
    let mut fleet = Fleet::new(2, 8_000);
    assert_eq!(fleet.admit(0, 1_000, &[true; 2], true), Admission::Admitted);
    assert_eq!(fleet.stored.table.share("g-0#1").lent, 1_400);
    let holder = &mut fleet.holders[0];
    let ShareStep::Write(proposal) = holder.step(1_000, 6_900, 8_000, 2, true) else {
        panic!("expected a write: more than is held, but free");
    };
    assert_eq!(proposal.table.share("g-0#1").lent, 7_925);
    assert_eq!(holder.availability(1_000, 25, 8_000, true), ShareAvailability::Held);
    assert_eq!(
        holder.availability(1_000, 26, 8_000, true),
        ShareAvailability::Free,
        "reserved for the job of the write"
    );
    assert_eq!(
        holder.availability(1_000, 7_001, 8_000, true),
        ShareAvailability::Missing(1),
        "independent of the write"
    );
    holder.not_written();
    assert_eq!(holder.availability(1_000, 400, 8_000, true), ShareAvailability::Held);
}

/// Guards against asking twice for jobs that fit: other gateways release unused shares while a
/// write is in progress, and the completed write restores the table from before the releases.
#[test]
fn shares_released_during_a_write_stay_released() {
    let mut fleet = Fleet::new(2, 1_000);
    assert_eq!(fleet.admit(1, 500, &[true; 2], true), Admission::Admitted);
    let holder = &mut fleet.holders[0];
    holder.adopt(fleet.stored.table.clone(), fleet.stored.revision.unwrap_or(0));
    let proposal = holder.top_up(0, 1_000, 2).expect("no share is held yet");
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
    /// Writes may be slow, take effect after they were abandoned, and be answered late, while jobs
    /// arrive, end and cause requests for unused shares. The limit holds, and each gateway stays
    /// within its stored share.
    #[test]
    fn the_limit_holds_during_writes(steps in proptest::collection::vec(
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
