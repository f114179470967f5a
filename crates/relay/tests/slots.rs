//! Slots that the home gateway of a target grants to other gateways.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const NOW: MonoTime = MonoTime(1_000_000);
const SLOTS: u32 = 4;

fn entry(id: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        software_version: "v1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: domain.to_owned(),
        slots: SLOTS,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

fn query(work: WorkKind, queue: QueueLimit) -> TargetQuery<'static> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    TargetQuery { service: "llm", work, avoid: &[], queue, version: None, prompt: &NO_PROMPT }
}

fn online() -> TargetQuery<'static> {
    query(WorkKind::Online, QueueLimit::Any)
}

fn pair(name: &str, domain: &str) -> (String, String) {
    (name.to_owned(), domain.to_owned())
}

/// The table of `own` with two targets whose home gateways are g1 and g2, in this order.
fn table_of(own: &str) -> TargetTable {
    let mut table = TargetTable::new("a");
    table.put(entry("t1", "a"), NOW);
    table.put(entry("t2", "b"), NOW);
    table.assign_homes(own, &[pair("g1", "a"), pair("g2", "b")]);
    table
}

fn grant(table: &mut TargetTable, peer: &str, may_displace: bool) -> Option<SlotGrant> {
    table.grant(&VmName::new(peer), &online(), may_displace, NOW)
}

fn free_place(id: &str) -> Option<SlotGrant> {
    Some(SlotGrant { id: id.to_owned(), preempted: None })
}

fn report(table: &mut TargetTable, peer: &str, id: &str, online: u32, batch: u32) {
    let uses = [(id.to_owned(), TargetUse { online, batch })];
    table.take_report(&VmName::new(peer), uses.into_iter().collect(), NOW);
}

// Guards against granting more slots than there are because reports are a tenth of a second old.
#[test]
fn a_home_gateway_grants_each_slot_once() {
    let mut home = table_of("g1");
    for peer in ["g2", "g3", "g2", "g3"] {
        assert_eq!(grant(&mut home, peer, false), free_place("t1"));
    }
    assert_eq!(grant(&mut home, "g2", true), None, "there is no item to preempt");
    assert_eq!(
        home.pick_own(&online(), NOW, || 0.0),
        None,
        "no slot is left for this gateway either"
    );
    home.note_peer_use(&VmName::new("g3"), "t1", WorkKind::Online, UseChange::End, NOW);
    assert_eq!(grant(&mut home, "g2", false), free_place("t1"));
}

// Guards against counting a granted slot twice, or no longer, after a report.
#[test]
fn a_report_replaces_the_grants_before_it() {
    let mut home = table_of("g1");
    grant(&mut home, "g2", false).expect("slots are free");
    grant(&mut home, "g2", false).expect("slots are free");
    report(&mut home, "g2", "t1", 2, 0);
    assert_eq!(grant(&mut home, "g2", false), free_place("t1"));
    assert_eq!(grant(&mut home, "g2", false), free_place("t1"));
    assert_eq!(grant(&mut home, "g2", false), None);
}

// Guards against an end reported for a slot that was not counted.
#[test]
fn an_end_without_a_begin_frees_no_slot() {
    let mut home = table_of("g1");
    report(&mut home, "g2", "t1", 4, 0);
    home.note_peer_use(&VmName::new("g3"), "t1", WorkKind::Online, UseChange::End, NOW);
    assert_eq!(grant(&mut home, "g3", false), None);
}

// Guards against online requests that wait behind items although these can be preempted.
#[test]
fn items_are_preempted_only_with_may_displace() {
    let mut home = table_of("g1");
    home.choose(&query(WorkKind::Batch, QueueLimit::Any), NOW, || 0.0).expect("a slot is free");
    report(&mut home, "g2", "t1", 3, 0);
    assert_eq!(grant(&mut home, "g3", false), None);
    let yielded = SlotGrant { id: "t1".to_owned(), preempted: Some(PreemptedItem::Own) };
    assert_eq!(grant(&mut home, "g3", true), Some(yielded));
    assert_eq!(grant(&mut home, "g3", true), None, "an item is preempted only once");
}

// Guards against items of other gateways that keep slots through a peak.
#[test]
fn a_peers_item_is_preempted_if_there_is_no_own_item() {
    let mut home = table_of("g1");
    report(&mut home, "g2", "t1", 1, 1);
    report(&mut home, "g3", "t1", 0, 2);
    let preempted = |grant: Option<SlotGrant>| grant.and_then(|grant| grant.preempted);
    let of = |peer: &str| Some(PreemptedItem::Peer(VmName::new(peer)));
    assert_eq!(preempted(grant(&mut home, "g4", true)), of("g3"), "g3 has the most items there");
    let (_, own) =
        home.pick_preemptible(&online(), NOW).expect("items are preempted for own requests too");
    assert!([of("g2"), of("g3")].contains(&Some(own)));
}

// Guards against grants at targets that belong to another home gateway or cannot run the request.
#[rstest]
#[case::not_home("g2")]
#[case::unknown_gateway("g9")]
fn only_the_home_gateway_grants(#[case] own: &str) {
    let mut table = table_of(own);
    table.remove("t2", NOW);
    assert_eq!(grant(&mut table, "g3", true), None);
}

#[test]
fn a_leaving_or_failed_target_is_not_granted() {
    let mut home = table_of("g1");
    let choice = home.choose(&online(), NOW, || 0.0).expect("a slot is free");
    let failure = Some(Err(AttemptFailure::CutAnswer));
    home.finish(&choice.id, WorkKind::Online, failure, NOW);
    assert_eq!(grant(&mut home, "g2", false), None, "the target has just failed");
    let mut home = table_of("g1");
    home.put(TargetEntry { state: TargetState::Draining, ..entry("t1", "a") }, NOW);
    assert_eq!(grant(&mut home, "g2", false), None, "the target is draining");
}

// Guards against asking a gateway that is known to have no slot, and against a gateway asking
// itself.
#[test]
fn a_home_gateway_is_asked_until_it_denies() {
    let mut table = table_of("g1");
    let ask = |table: &TargetTable, may_displace, now| {
        table.home_to_ask(&online(), may_displace, now, || 0.0)
    };
    assert_eq!(ask(&table, false, NOW), Some(VmName::new("g2")));
    let later = NOW + Duration::from_millis(50);
    table.note_denied(&VmName::new("g2"), later);
    assert_eq!(ask(&table, true, NOW), None);
    assert_eq!(ask(&table, false, later), Some(VmName::new("g2")));
    report(&mut table, "g2", "t2", SLOTS, 0);
    assert_eq!(ask(&table, false, later), None, "the target is known to be full");
    assert_eq!(ask(&table, true, later), Some(VmName::new("g2")), "an item may be preempted");
}

#[rstest]
#[case::shorter(1, 2, true)]
#[case::as_long(2, 2, false)]
#[case::too_late(3, 9, false)]
fn an_offered_queue_is_used_if_shorter_and_in_time(
    #[case] offered: u32,
    #[case] own: u32,
    #[case] taken: bool,
) {
    let mut table = table_of("g1");
    table.note_online_run("llm", Duration::from_millis(400), Some(Duration::from_millis(20)));
    report(&mut table, "g2", "t1", SLOTS + own, 0);
    let offer = QueueOffer { id: "t2".to_owned(), waiting: offered };
    let within = QueueLimit::Within(Duration::from_millis(300));
    let choice = table.pick_offered(&query(WorkKind::Online, within), &offer, NOW);
    assert_eq!(choice.map(|choice| choice.id), taken.then(|| "t2".to_owned()));
}

fn homes(own: &str, targets: usize, gateways: &[(String, String)]) -> Vec<String> {
    let mut table = TargetTable::new("a");
    for number in 0..targets {
        table.put(entry(&format!("t{number:03}"), "a"), NOW);
    }
    table.assign_homes(own, gateways);
    let granted = std::iter::from_fn(|| grant(&mut table, "peer", false));
    let mut ids: Vec<String> = granted.map(|grant| grant.id).collect();
    ids.sort();
    ids.dedup();
    ids
}

// Guards against reassigning many targets, with the loss of their counts, when one gateway leaves.
#[test]
fn few_targets_change_their_home_when_a_gateway_leaves() {
    let all: Vec<_> = (0..6).map(|n| pair(&format!("g{n}"), "a")).collect();
    let left = &all[1..];
    let mut moved = 0;
    for (name, _) in left {
        let before = homes(name, 60, &all);
        let after = homes(name, 60, left);
        assert!(before.len() <= 10 && after.len() <= 12, "no gateway exceeds its equal part");
        moved += before.iter().filter(|id| !after.contains(id)).count();
    }
    assert!(moved <= 12, "{moved} of 50 moved between gateways that stay");
}

#[test]
fn targets_of_a_domain_without_a_gateway_have_a_home_elsewhere() {
    let gateways = [pair("g1", "b"), pair("g2", "c")];
    let shared = homes("g1", 10, &gateways).len() + homes("g2", 10, &gateways).len();
    assert_eq!(shared, 10);
}

/// Event at a home gateway.
#[derive(Debug, Clone, Copy)]
enum HomeEvent {
    Ask(u8),
    End(u8),
    Report(u8),
    Own,
}

fn any_event() -> impl Strategy<Value = HomeEvent> {
    prop_oneof![
        (0..3_u8).prop_map(HomeEvent::Ask),
        (0..3_u8).prop_map(HomeEvent::End),
        (0..3_u8).prop_map(HomeEvent::Report),
        Just(HomeEvent::Own),
    ]
}

proptest! {
    // Guards against counts that drift from the actual number of requests.
    #[test]
    fn a_home_gateway_never_overcommits_its_slots(
        steps in proptest::collection::vec(any_event(), 0..80)
    ) {
        let mut home = table_of("g1");
        let (mut running, mut own) = ([0_u32; 3], 0);
        for step in steps {
            match step {
                HomeEvent::Ask(peer) => {
                    let free = running.iter().sum::<u32>() + own < SLOTS;
                    let granted = grant(&mut home, &format!("p{peer}"), false);
                    prop_assert_eq!(granted.is_some(), free);
                    running[peer as usize] += u32::from(free);
                }
                HomeEvent::End(peer) if running[peer as usize] > 0 => {
                    let vm = VmName::new(&format!("p{peer}"));
                    home.note_peer_use(&vm, "t1", WorkKind::Online, UseChange::End, NOW);
                    running[peer as usize] -= 1;
                }
                HomeEvent::End(_) => {}
                HomeEvent::Report(peer) => {
                    report(&mut home, &format!("p{peer}"), "t1", running[peer as usize], 0);
                }
                HomeEvent::Own => {
                    let free = running.iter().sum::<u32>() + own < SLOTS;
                    let choice = home.pick_own(&online(), NOW, || 0.5);
                    prop_assert_eq!(choice.is_some(), free);
                    own += u32::from(choice.and_then(|c| home.take(&online(), c)).is_some());
                }
            }
        }
    }
}
