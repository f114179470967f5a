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
            // It has just pushed something else, and ends before the next push is due.
            let event = MembershipEvent::RumorLocal { rumor: quarantine(1, 1), urgent: true };
            fleet.tell(&leaver, event, &mut usual_link);
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

// Symptom: a gateway that runs again after a pause holds a healthy one dead at once.
// Sequence: it suspects another for a moment; its own VM is frozen; the refutation is lost with the
// links that broke meanwhile; it wakes.
// Cause: the time to refute ran out while it could not have heard.
#[test]
fn a_suspect_has_its_time_again_after_a_pause() {
    let list = listed_fleet(2, 1);
    let random = SmallRng::seed_from_u64(5);
    let settings = MembershipSettings::default();
    let mut table = MemberTable::new(identity_of(&list[0], 0), settings, random);
    let other = MemberTable::new(
        identity_of(&list[1], 0),
        MembershipSettings::default(),
        SmallRng::seed_from_u64(6),
    );
    let (from, message) = (list[1].vm.clone(), GossipMessage::Members { members: other.members() });
    let mut effects = Vec::new();
    let joined = MembershipEvent::Received { from, message };
    table.handle(Now::at_millis(0), joined, &mut effects);
    let mut now = 0;
    let state = |table: &MemberTable| {
        table.members().iter().find(|member| member.vm == list[1].vm).map(|member| member.state)
    };
    // A probe that was open when the process froze proves nothing.
    let pinged = |effects: &[MembershipEffect]| {
        effects.iter().any(|effect| {
            matches!(effect, MembershipEffect::Send { message: GossipMessage::Ping { .. }, .. })
        })
    };
    while !pinged(&effects) && now < 20_000 {
        now = table.next_wake().map_or(now + 10, |wake| wake.0 / 1_000);
        table.handle(Now::at_millis(now), MembershipEvent::Tick, &mut effects);
    }
    now += 60_000;
    table.handle(Now::at_millis(now), MembershipEvent::Tick, &mut effects);
    assert_eq!(state(&table), Some(MemberState::Alive));
    while state(&table) == Some(MemberState::Alive) && now < 90_000 {
        now = table.next_wake().map_or(now + 10, |wake| wake.0 / 1_000);
        table.handle(Now::at_millis(now), MembershipEvent::Tick, &mut effects);
    }
    assert_eq!(state(&table), Some(MemberState::Suspect));
    let woken = now + 60_000;
    table.handle(Now::at_millis(woken), MembershipEvent::Tick, &mut effects);
    table.handle(Now::at_millis(woken + 3_000), MembershipEvent::Tick, &mut effects);
    assert_eq!(state(&table), Some(MemberState::Suspect));
    for second in 4..30 {
        table.handle(Now::at_millis(woken + second * 1_000), MembershipEvent::Tick, &mut effects);
    }
    assert_eq!(state(&table), Some(MemberState::Dead));
}

// Symptom: one gateway never uses another that everybody else does.
// Sequence: all messages that carried the news to it were lost, and no further news comes.
// Cause: news is sent a few times only, and nobody compares afterwards.
#[test]
fn a_member_that_no_news_told_of_is_found_by_digests() {
    let list = listed_fleet(3, 1);
    let table = |node: usize| {
        let identity = identity_of(&list[node], 0);
        let random = SmallRng::seed_from_u64(node as u64);
        MemberTable::new(identity, MembershipSettings::default(), random)
    };
    let mut tables = [table(0), table(1)];
    let mut queue = vec![(0, 1, GossipMessage::Members { members: tables[1].members() })];
    let others =
        GossipMessage::Members { members: [tables[0].members(), table(2).members()].concat() };
    queue.push((1, 0, others));
    for step in 0..200 {
        let now = Now::at_millis(step * 100);
        let mut effects = Vec::new();
        for (node, table) in tables.iter_mut().enumerate() {
            let mut own = Vec::new();
            table.handle(now, MembershipEvent::Tick, &mut own);
            effects.extend(own.into_iter().map(|effect| (node, effect)));
        }
        for (to, from, message) in std::mem::take(&mut queue) {
            let from = list[from].vm.clone();
            let mut own = Vec::new();
            let table: &mut MemberTable = &mut tables[to];
            table.handle(now, MembershipEvent::Received { from, message }, &mut own);
            effects.extend(own.into_iter().map(|effect| (to, effect)));
        }
        // Pings and answers pass without what rides on them; news is lost.
        for (node, effect) in effects {
            let MembershipEffect::Send { to, message } = effect else { continue };
            let (members, rumors) = (vec![], vec![]);
            let bare = match message {
                // The third answers, and says nothing else.
                GossipMessage::Ping { sequence, .. } if to == list[2].vm => {
                    queue.push((node, 2, GossipMessage::Ack { sequence, members, rumors }));
                    continue;
                }
                GossipMessage::Ping { sequence, .. } => {
                    GossipMessage::Ping { sequence, members, rumors }
                }
                GossipMessage::Ack { sequence, .. } => {
                    GossipMessage::Ack { sequence, members, rumors }
                }
                GossipMessage::News { .. } => continue,
                other => other,
            };
            if let Some(place) = list[..2].iter().position(|listed| listed.vm == to) {
                queue.push((place, node, bare));
            }
        }
    }
    assert!(tables[0].members().iter().any(|member| member.vm == list[2].vm));
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

// Symptom: a domain is reported lost and back several times within seconds, and work moves each time.
// Sequence: most of its members are suspected and refute; suspicions that still travel name them
// again.
// Cause: each wave of news is judged by itself.
#[test]
fn a_domain_that_came_back_does_not_go_again_at_once() {
    let list = listed_fleet(4, 1);
    let random = SmallRng::seed_from_u64(7);
    let mut table =
        MemberTable::new(identity_of(&list[0], 0), MembershipSettings::default(), random);
    let mut effects = Vec::new();
    let mut tell = |millis: u64, incarnation: u64, state: MemberState| {
        let news = |listed: &ListedVm| notch_messages::gossip::MemberUpdate {
            vm: listed.vm.clone(),
            address: listed.address.clone(),
            domain: DomainName::new("there"),
            incarnation: Incarnation(incarnation),
            state,
        };
        let members = list[1..].iter().map(news).collect();
        let message = GossipMessage::News { members, rumors: vec![] };
        let event = MembershipEvent::Received { from: list[1].vm.clone(), message };
        table.handle(Now::at_millis(millis), event, &mut effects);
    };
    for (wave, millis) in [0, 1_000, 2_000].into_iter().enumerate() {
        let incarnation = wave as u64 + 1;
        tell(millis, incarnation, MemberState::Alive);
        tell(millis + 100, incarnation, MemberState::Suspect);
    }
    tell(2_200, 4, MemberState::Alive);
    let downs = effects.iter().filter(|effect| matches!(effect, MembershipEffect::DomainDown(_)));
    assert_eq!(downs.count(), 1);
    let ups = effects.iter().filter(|effect| matches!(effect, MembershipEffect::DomainUp(_)));
    assert_eq!(ups.count(), 1);
    assert_eq!(table.roster().len(), 4);
}

// Symptom: after the link between two regions is back, each goes on alone; or they come back one by
// one over many minutes; or healthy gateways come and go for a while.
// Sequence: the regions lose each other for an hour, each holds the other's gateways dead and none
// pings a dead one; then each claims its own alive before the other.
// Cause: nobody tries the dead, or one that is tried never learns that it is held dead, or the
// claims are answered with suspicions that travel through the region whose gateways they are.
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

    fleet.take_told();
    run(&mut fleet, 30);
    assert!(rosters(&fleet).iter().all(|roster| roster.len() == NODES), "{:?}", rosters(&fleet));
    let told = fleet.take_told();
    let suspected = MembershipEffect::Count(Counter::Event("members_suspected"));
    assert_eq!(count(&told, |effect| *effect == suspected), 0, "nobody doubts its own half");
    let refuted = MembershipEffect::Count(Counter::Event("member_refutations"));
    let refutations = count(&told, |effect| *effect == refuted);
    assert!(refutations <= 2 * NODES, "{refutations} refutations");
    assert_eq!(count(&told, |effect| matches!(effect, MembershipEffect::DomainDown(_))), 0);
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
