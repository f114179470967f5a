//! Focused failures of membership.

use std::{collections::BTreeSet, time::Duration};

use notch_membership::{
    ListedVm, MemberTable, MembershipEffect, MembershipEvent, MembershipSettings,
    probe::{
        ProbeFleet, ToldEffect, identity_of, listed_fleet, run_until_gone, settled_fleet,
        usual_link,
    },
};
use notch_messages::gossip::{GossipMessage, MemberState, Rumor, RumorTopic};
use notch_types::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;

const NODES: usize = 20;
const DOMAINS: usize = 4;

fn fleet() -> (ProbeFleet, Vec<ListedVm>) {
    let settings = MembershipSettings::default();
    (settled_fleet(NODES, DOMAINS, &settings, |_| 1), listed_fleet(NODES, DOMAINS))
}

fn run(fleet: &mut ProbeFleet, seconds: u64) {
    let until = fleet.now() + Duration::from_secs(seconds);
    fleet.run_until(until, &mut usual_link);
}

fn rosters(fleet: &ProbeFleet) -> BTreeSet<Vec<VmName>> {
    let names = |table: &MemberTable| {
        table.roster().members().iter().map(|member| member.vm.clone()).collect()
    };
    fleet.running().map(|(_, table)| names(table)).collect()
}

fn count(told: &[ToldEffect], wanted: impl Fn(&MembershipEffect) -> bool) -> usize {
    told.iter().filter(|(_, _, effect)| wanted(effect)).count()
}

fn deaths(told: &[ToldEffect]) -> usize {
    count(told, |effect| *effect == MembershipEffect::Count(Counter::Event("members_dead")))
}

// Symptom: requests and shards go on being sent to a gateway that died without a word.
// Sequence: a VM is lost; nobody says so; the VM list still shows it.
// Cause: a table that trusts the VM list, or that nobody of the living pings.
#[rstest]
#[case(2)]
#[case(4)]
#[case(20)]
#[case(64)]
fn a_silent_death_is_found_though_the_list_shows_it(#[case] nodes: usize) {
    let settings = MembershipSettings::default();
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings, |_| 1);
    let list = listed_fleet(nodes, DOMAINS);
    let victim = list[1].vm.clone();
    fleet.stop(&victim);
    let known = run_until_gone(&mut fleet, &victim);
    assert!(known <= Duration::from_secs(16), "{known:?}");
    for listed in &list {
        let event = MembershipEvent::VmListed(list.clone());
        fleet.tell(&listed.vm, event, &mut usual_link);
    }
    run(&mut fleet, 30);
    assert!(rosters(&fleet).iter().all(|roster| !roster.contains(&victim)));
}

// Symptom: a working gateway drops out of use.
// Sequence: the VM list, which lags, does not show a new VM yet, or shows it no more too early.
// Cause: a table that takes the list for more than a seed.
#[test]
fn a_member_missing_from_the_list_stays() {
    let (mut fleet, list) = fleet();
    for listed in &list {
        let event = MembershipEvent::VmListed(vec![list[0].clone()]);
        fleet.tell(&listed.vm, event, &mut usual_link);
    }
    run(&mut fleet, 60);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES));
    assert_eq!(deaths(&fleet.take_told()), 0);
}

// Symptom: a target or gateway that is leaving gets new work for longer than a few seconds.
// Sequence: the process says that it leaves and ends at once; or only the VM list says it, as one
// gateway reads it; or only an operator's entry.
// Cause: the news rides on pings instead of being pushed, or one of the three sources is not heard.
#[rstest]
#[case::by_its_own_word(0)]
#[case::by_the_list(1)]
#[case::by_an_operator(2)]
fn leaving_takes_effect_within_three_seconds(#[case] source: u8) {
    let (mut fleet, list) = fleet();
    let leaver = list[3].vm.clone();
    match source {
        0 => {
            fleet.tell(&leaver, MembershipEvent::Leave, &mut usual_link);
            fleet.stop(&leaver);
        }
        1 => {
            let mut news = list.clone();
            news[3].leaving = true;
            fleet.tell(&list[7].vm, MembershipEvent::VmListed(news), &mut usual_link);
        }
        _ => {
            for listed in &list {
                let event = MembershipEvent::LeavingMarked(vec![leaver.clone()]);
                fleet.tell(&listed.vm, event, &mut usual_link);
            }
        }
    }
    let known = run_until_gone(&mut fleet, &leaver);
    assert!(known <= Duration::from_secs(3), "{known:?}");
    if source > 0 {
        assert!(fleet.table(&leaver).unwrap().is_leaving());
    }
    if source == 2 {
        fleet.tell(&leaver, MembershipEvent::LeavingMarked(vec![]), &mut usual_link);
        assert!(!fleet.table(&leaver).unwrap().is_leaving());
    }
}

// Symptom: after a paused gateway runs again, many gateways drop out of use for a while.
// Sequence: the VM is frozen for 20 s, longer than every time-out; at its wake all answers that it
// waited for seem missing; meanwhile the others held it dead.
// Cause: its time-outs ran on while it did not run.
#[test]
fn a_paused_gateway_wakes_without_accusing_anybody() {
    let (mut fleet, list) = fleet();
    let sleeper = list[5].vm.clone();
    let until = fleet.now() + Duration::from_secs(20);
    fleet.pause(&sleeper, until);
    run(&mut fleet, 19);
    let before = fleet.take_told();
    assert!(deaths(&before) >= NODES - 1, "the others hold it dead by now");
    run(&mut fleet, 30);
    let after = fleet.take_told();
    let accused = count(&after, |effect| {
        let MembershipEffect::Changed(updates) = effect else { return false };
        updates.iter().any(|update| {
            update.vm != sleeper && matches!(update.state, MemberState::Suspect | MemberState::Dead)
        })
    });
    assert_eq!(accused, 0);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES));
}

// Symptom: the loss of a domain shows as a minute of moves, many onto gateways that are lost too.
// Sequence: all gateways of one domain go silent at once.
// Cause: each loss is found and acted on by itself.
#[test]
fn a_lost_domain_is_one_event_and_one_move() {
    let (mut fleet, list) = fleet();
    let lost = list[2].domain.clone();
    let victims: Vec<VmName> = list
        .iter()
        .filter(|listed| listed.domain == lost)
        .map(|listed| listed.vm.clone())
        .collect();
    for vm in &victims {
        fleet.stop(vm);
    }
    let survivors = NODES - victims.len();
    let mut steps: BTreeSet<usize> = BTreeSet::new();
    for _ in 0..400 {
        let until = fleet.now() + Duration::from_millis(50);
        fleet.run_until(until, &mut usual_link);
        steps.extend(rosters(&fleet).iter().map(Vec::len));
    }
    assert_eq!(steps, BTreeSet::from([NODES, survivors]), "rosters go from whole to without");
    let told = fleet.take_told();
    let downs = count(&told, |effect| *effect == MembershipEffect::DomainDown(lost.clone()));
    let others = count(&told, |effect| matches!(effect, MembershipEffect::DomainDown(_)));
    assert_eq!((downs, others), (survivors, survivors), "one event at each survivor");

    for listed in list.iter().filter(|listed| listed.domain == lost) {
        fleet.start(identity_of(listed, 1), &MembershipSettings::default());
        fleet.tell(&listed.vm, MembershipEvent::VmListed(list.clone()), &mut usual_link);
    }
    run(&mut fleet, 30);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES));
    let back =
        count(&fleet.take_told(), |effect| *effect == MembershipEffect::DomainUp(lost.clone()));
    assert_eq!(back, survivors);
}

// Symptom: after the link between two regions is back, each goes on alone; or they come back one by
// one over many minutes.
// Sequence: the regions lose each other for an hour, each holds the other's gateways dead and none
// pings a dead one.
// Cause: nobody tries the dead, or one that is tried never learns that it is held dead.
#[test]
fn regions_parted_for_an_hour_go_on_and_come_together() {
    let (mut fleet, list) = fleet();
    let west = |vm: &VmName| {
        let place = list.iter().position(|listed| listed.vm == *vm).unwrap();
        place % DOMAINS < DOMAINS / 2
    };
    let mut parted = |from: &VmName, to: &VmName, at| {
        if west(from) == west(to) { usual_link(from, to, at) } else { None }
    };
    let until = fleet.now() + Duration::from_secs(3_600);
    fleet.run_until(until, &mut parted);
    let halves = rosters(&fleet);
    assert_eq!(halves.len(), 2, "each half is of one mind");
    assert!(halves.iter().all(|half| half.len() == NODES / 2));

    let healed = fleet.now();
    run(&mut fleet, 30);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES), "{:?}", rosters(&fleet));
    assert!(fleet.now().since(healed) <= Duration::from_secs(30));
}

// Symptom: a restarted gateway is taken for dead for hours.
// Sequence: its VM comes back with a clock that is behind, so its incarnation is lower than before.
// Cause: news of its former life wins over all that it says.
#[test]
fn a_clock_that_went_back_does_not_lock_a_gateway_out() {
    let (mut fleet, list) = fleet();
    let listed = &list[4];
    fleet.stop(&listed.vm);
    run(&mut fleet, 30);
    let identity = identity_of(listed, 0);
    let earlier = Incarnation(identity.incarnation.0 / 2);
    let identity = notch_membership::MemberIdentity { incarnation: earlier, ..identity };
    fleet.start(identity, &MembershipSettings::default());
    fleet.tell(&listed.vm, MembershipEvent::VmListed(list.clone()), &mut usual_link);
    run(&mut fleet, 30);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES));
}

// Symptom: a broken link makes a healthy gateway drop out, or a dead one linger for a round of pings.
// Sequence: the link to a partner breaks, as seen by the driver.
// Cause: the break is taken for death, or not taken as a reason to look.
#[test]
fn a_broken_link_is_a_reason_to_ping_at_once() {
    let (mut fleet, list) = fleet();
    let own = list[0].vm.clone();
    let partner = fleet.table(&own).unwrap().partners()[0].clone();
    fleet.take_sent();
    fleet.take_told();
    let mut pinged = 0;
    let mut link = |from: &VmName, to: &VmName, at| {
        pinged += usize::from(*from == own && *to == partner);
        usual_link(from, to, at)
    };
    fleet.tell(&own, MembershipEvent::LinkDown { vm: partner.clone() }, &mut link);
    assert_eq!(pinged, 1);
    run(&mut fleet, 20);
    assert_eq!(deaths(&fleet.take_told()), 0);
    assert!(fleet.table(&own).unwrap().roster().contains(&partner));
}

fn quarantine(number: u128, version: u64) -> Rumor {
    let topic = RumorTopic::Quarantine(Fingerprint(number));
    Rumor { topic, version, value: Payload::from("x") }
}

// Symptom: a request that crashes targets goes on crashing them at other gateways.
// Sequence: one gateway quarantines it; the fact must be everywhere before the caller's resend.
// Cause: the fact waits for pings.
#[test]
fn an_urgent_fact_is_everywhere_within_two_seconds_and_never_older() {
    let (mut fleet, list) = fleet();
    let (first, second) = (quarantine(7, 1), quarantine(7, 2));
    for (node, rumor) in [(0, &first), (9, &second), (4, &first)] {
        let event = MembershipEvent::RumorLocal { rumor: rumor.clone(), urgent: true };
        fleet.tell(&list[node].vm, event, &mut usual_link);
    }
    run(&mut fleet, 2);
    let newest = |table: &MemberTable| table.rumor(&first.topic).cloned();
    assert!(fleet.running().all(|(_, table)| newest(table) == Some(second.clone())));
    for listed in &list {
        let event = MembershipEvent::RumorLocal { rumor: first.clone(), urgent: true };
        fleet.tell(&listed.vm, event, &mut usual_link);
    }
    assert!(fleet.running().all(|(_, table)| newest(table) == Some(second.clone())));
}

// Symptom: a gateway's memory grows without end, or a huge fact fills every message.
// Sequence: facts of ever new topics arrive, some too large.
// Cause: a map without bound.
#[test]
fn facts_are_bounded_in_count_size_and_age() {
    let settings = MembershipSettings { max_rumors: 50, ..MembershipSettings::default() };
    let identity = identity_of(&listed_fleet(1, 1)[0], 0);
    let mut table = MemberTable::new(identity, settings, SmallRng::seed_from_u64(1));
    let mut effects = Vec::new();
    for number in 0..200 {
        let message = GossipMessage::News { members: vec![], rumors: vec![quarantine(number, 1)] };
        let event = MembershipEvent::Received { from: VmName::new("other"), message };
        table.handle(Now::at_millis(number as u64), event, &mut effects);
    }
    assert_eq!(table.rumors().len(), 50);
    assert!(table.rumor(&quarantine(199, 1).topic).is_some());
    let large = Rumor { value: Payload(vec![0; 257]), ..quarantine(500, 1) };
    let event = MembershipEvent::RumorLocal { rumor: large, urgent: false };
    table.handle(Now::at_millis(300), event, &mut effects);
    assert_eq!(table.rumors().len(), 50);
    table.handle(Now::at_millis(700_000), MembershipEvent::Tick, &mut effects);
    assert_eq!(table.rumors().len(), 0);
}
