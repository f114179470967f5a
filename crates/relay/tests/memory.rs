//! The budget of memory held for others.

use notch_relay::prelude::*;
use rstest::rstest;

const PROCESS_BYTES: usize = 120 << 20;
const LARGE: usize = 900 << 10;
const SMALL: usize = 4 << 10;
const USES: [MemoryUse; 3] = [MemoryUse::RequestBody, MemoryUse::JobPage, MemoryUse::TargetAnswer];

fn budget() -> MemoryBudget {
    MemoryBudget::of_process(Some(PROCESS_BYTES))
}

/// Reserves pieces of `bytes` for a use until one is refused; returns how many were granted.
fn fill(budget: &mut MemoryBudget, kind: MemoryUse, bytes: usize) -> usize {
    std::iter::from_fn(|| budget.try_reserve(kind, bytes).then_some(())).count()
}

#[test]
fn a_process_holds_at_most_a_quarter_of_its_memory_for_others() {
    let mut budget = budget();
    for kind in USES {
        fill(&mut budget, kind, LARGE);
        fill(&mut budget, kind, SMALL);
        fill(&mut budget, kind, 1);
    }
    assert!(budget.used() <= PROCESS_BYTES / 4);
    assert!(budget.used() >= PROCESS_BYTES / 4 - USES.len(), "{}", budget.used());
}

/// Guards against clients that don't read job results keeping out online requests, and the other way round.
#[rstest]
fn no_use_takes_the_memory_of_another(
    #[values(MemoryUse::RequestBody, MemoryUse::JobPage, MemoryUse::TargetAnswer)] full: MemoryUse,
) {
    let mut budget = budget();
    fill(&mut budget, full, SMALL);
    for kind in USES {
        assert_eq!(budget.try_reserve(kind, LARGE), kind != full, "{kind:?}");
    }
}

/// Guards against a few clients that send large bodies slowly keeping out small requests.
#[rstest]
fn large_reservations_leave_room_for_small_ones(
    #[values(MemoryUse::RequestBody, MemoryUse::JobPage, MemoryUse::TargetAnswer)] kind: MemoryUse,
) {
    let mut budget = budget();
    assert!(fill(&mut budget, kind, LARGE) > 0);
    assert!(fill(&mut budget, kind, SMALL) > 400);
}

#[test]
fn released_bytes_can_be_reserved_again() {
    let mut budget = budget();
    let granted = fill(&mut budget, MemoryUse::JobPage, LARGE);
    budget.release(MemoryUse::JobPage, LARGE);
    assert!(budget.try_reserve(MemoryUse::JobPage, LARGE));
    for _ in 0..granted {
        budget.release(MemoryUse::JobPage, LARGE);
    }
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_refused_reservation_changes_nothing() {
    let mut budget = budget();
    let part = budget.part(MemoryUse::RequestBody);
    assert!(!budget.try_reserve(MemoryUse::RequestBody, part + 1));
    assert_eq!(budget.used(), 0);
}
