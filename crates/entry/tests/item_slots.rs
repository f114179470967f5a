//! Passes that answer offers of slots, divide own slots and start items.

use std::{sync::Arc, time::Duration};

use notch_entry::batch::{
    item_slots::{ItemSlotPass, PassOutcome},
    job_registry::JobRegistry,
};
use notch_messages::prelude::{PeerMessage, WaitingItemsReport};
use notch_relay::{item_slots::forecast::OnlineLoad, prelude::*};
use notch_types::prelude::*;
use rstest::rstest;

const SLOTS: u32 = 4;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn vm(name: &str) -> VmName {
    VmName::new(name)
}

fn route(service: &str) -> Route {
    Route {
        name: format!("r-{service}"),
        host: "h".to_owned(),
        path_prefix: format!("/{service}/"),
        kind: RouteKind::Batch,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        resumable: true,
        event_gap: Duration::from_millis(250),
        waiting_limit: 0,
        job_terms: None,
        is_public: false,
    }
}

fn job(id: &str, service: &str, items: usize, due: Duration) -> OwnedJob {
    let item = |n| ItemSpec {
        id: format!("{n}"),
        path: format!("/{service}/1"),
        headers: Vec::new(),
        body: Vec::new(),
        answer: AnswerSize::default(),
        limit_tokens: 9,
    };
    let spec = JobSpec {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: format!("/{service}/"),
        route: format!("r-{service}"),
        account: String::new(),
        accepted_at: WallTime(0),
        terms: JobTerms { due, item_lifetime: Duration::from_secs(60), max_attempts: 2 },
        items: (0..items).map(item).collect(),
    };
    OwnedJob::new(Arc::new(spec), Vec::new(), Now::at_millis(0))
}

/// Gateway g1 with the service `own` at its target t1 and the service `far` at target t2 of g2.
struct World {
    registry: JobRegistry,
    targets: TargetTable,
    slots: ItemSlotTable,
    routes: RouteTable,
    is_stopping: bool,
    has_link: bool,
}

impl World {
    fn new(jobs: &[(&str, usize, u64)]) -> Self {
        let mut registry = JobRegistry::default();
        for (n, (service, items, due)) in jobs.iter().enumerate() {
            registry.own_job(job(&format!("j{n}"), service, *items, Duration::from_secs(*due)));
        }
        let mut targets = TargetTable::new("a");
        for (id, domain, service) in [("t1", "a", "own"), ("t2", "b", "far")] {
            let entry = TargetEntry {
                id: id.to_owned(),
                name: id.to_owned(),
                born: 0,
                software_version: "v1".to_owned(),
                service: service.to_owned(),
                address: ([127, 0, 0, 1], 9).into(),
                domain: domain.to_owned(),
                slots: SLOTS,
                state: TargetState::Ready,
                cold_left: Duration::ZERO,
            };
            targets.put(entry, at(0));
        }
        let pair = |name: &str, domain: &str| (name.to_owned(), domain.to_owned());
        targets.assign_homes("g1", &[pair("g1", "a"), pair("g2", "b")]);
        let routes = RouteTable::new(Configuration {
            version: 1,
            routes: vec![route("own"), route("far")],
            ..Configuration::default()
        });
        let slots = ItemSlotTable::default();
        Self { registry, targets, slots, routes, is_stopping: false, has_link: true }
    }

    fn pass(&mut self, now: MonoTime) -> PassOutcome {
        let linked = if self.has_link { vec![vm("g2")] } else { Vec::new() };
        ItemSlotPass {
            registry: &mut self.registry,
            targets: &mut self.targets,
            slots: &mut self.slots,
            routes: &self.routes,
            recipients: &|| linked.clone(),
            linked: &|| linked.clone(),
            is_stopping: self.is_stopping,
            is_handing_over: false,
            draw: rand::random,
            now,
        }
        .run()
    }

    fn report_of_g2(&mut self, service: &str, count: u32) {
        let items = WaitingItems { count, slack_ms: 900, urgent: None };
        let report = WaitingReport { service: service.to_owned(), items };
        self.slots.take_report(&vm("g2"), vec![report], 0.5, at(0));
    }
}

/// Targets of the started items.
fn started(outcome: &PassOutcome) -> Vec<&str> {
    outcome.starts.iter().map(|started| started.choice.id.as_str()).collect()
}

fn item_use(target: &str, change: UseChange) -> (VmName, PeerMessage) {
    let (target, work) = (target.to_owned(), WorkKind::Batch);
    (vm("g2"), PeerMessage::PlaceUse { target, work, change, is_failure: None })
}

/// Guards against items of other services and jobs that wait behind an item without a slot.
#[rstest]
#[case::no_slot("far")]
#[case::no_route("unknown")]
fn items_after_one_without_a_slot_start(#[case] head: &str) {
    let mut world = World::new(&[(head, 2, 5), ("own", 2, 18)]);
    assert_eq!(started(&world.pass(at(0))), ["t1", "t1"]);
}

/// Guards against an item that waits for an offer at an own target.
#[test]
fn own_slots_are_filled_in_one_pass() {
    let mut world = World::new(&[("own", 9, 18)]);
    let outcome = world.pass(at(0));
    assert_eq!(started(&outcome).len(), SLOTS as usize);
    assert!(outcome.messages.is_empty());
    assert_eq!(world.slots.own_waiting()[0].items.count, 5);
}

/// Guards against items that bypass the home of a target.
#[test]
fn another_homes_slot_is_used_by_offer_only() {
    let mut world = World::new(&[("far", 2, 18)]);
    assert!(started(&world.pass(at(0))).is_empty());
    world.slots.note_offers(&vm("g2"), vec!["t2".to_owned()]);
    let outcome = world.pass(at(40));
    assert_eq!(started(&outcome), ["t2"]);
    assert!(outcome.starts[0].choice.is_granted, "the start is announced once");
    assert_eq!(outcome.messages, [item_use("t2", UseChange::Begin)]);
}

/// Guards against slots that are blocked by offers nobody uses.
#[rstest]
#[case::no_item(World::new(&[]), "t2")]
#[case::no_item_of_the_service(World::new(&[("own", 1, 18)]), "t2")]
#[case::unknown_target(World::new(&[("far", 1, 18)]), "t9")]
#[case::stopping(World { is_stopping: true, ..World::new(&[("far", 1, 18)]) }, "t2")]
fn an_unusable_offer_is_declined_at_once(#[case] mut world: World, #[case] target: &str) {
    world.slots.note_offers(&vm("g2"), vec![target.to_owned()]);
    let outcome = world.pass(at(0));
    let declined = [item_use(target, UseChange::Begin), item_use(target, UseChange::End)];
    assert_eq!(outcome.messages, declined);
    assert_eq!(outcome.declined, 1);
}

/// Guards against items that a stopping gateway starts and has to break off at its handover.
#[test]
fn a_stopping_gateway_takes_no_slots_and_reports_no_items() {
    let mut world = World { is_stopping: true, ..World::new(&[("own", 3, 18), ("far", 1, 18)]) };
    world.report_of_g2("own", 1);
    let outcome = world.pass(at(0));
    assert!(outcome.starts.is_empty());
    assert_eq!(outcome.offered, 1, "its slots are still offered to others");
    assert!(world.slots.own_waiting().is_empty());
}

/// Guards against a message for each slot.
#[test]
fn a_pass_sends_one_offer_message_to_a_gateway() {
    let mut world = World::new(&[]);
    world.report_of_g2("own", 3);
    let outcome = world.pass(at(0));
    let targets = vec!["t1".to_owned(); 3];
    assert_eq!(outcome.messages, [(vm("g2"), PeerMessage::ItemSlotOffer { targets })]);
}

/// Guards against items that wait for ever where the home can't be reached or makes no offers.
#[rstest]
#[case::no_link(false, 0)]
#[case::no_offers(true, 1_000)]
fn items_start_without_an_offer_where_none_comes(#[case] has_link: bool, #[case] after: u64) {
    let mut world = World { has_link, ..World::new(&[("far", 1, 18)]) };
    let mut begun = Vec::new();
    for pass in 0..50 {
        let now = pass * 40;
        let outcome = world.pass(at(now));
        begun.extend(outcome.starts.iter().map(|started| (now, started.choice.is_granted)));
    }
    // The former rule considers a random subset of the targets of others in each pass.
    let (first, is_granted) = begun.first().copied().expect("the item starts");
    assert!(first >= after, "it began at {first} ms");
    assert!(!is_granted, "the home is told of the start");
}

/// Guards against a report of a previous build that is read as one without urgent items.
#[test]
fn a_missing_count_of_urgent_items_is_no_zero() {
    let urgent = |json: &str| {
        let report: WaitingItemsReport = serde_json::from_str(json).expect("a report");
        report.urgent
    };
    assert_eq!(urgent(r#"{"service":"own","count":2,"slack_ms":900}"#), None);
    assert_eq!(urgent(r#"{"service":"own","count":2,"slack_ms":900,"urgent":0}"#), Some(0));
}

/// Guards against items with time that a pass starts in the slots of the next peak, and against urgent
/// ones that it leaves waiting.
#[rstest]
#[case::has_time(60, 0)]
#[case::is_urgent(23, 3)]
fn slots_of_the_next_peak_are_kept_from_items_with_time(#[case] due: u64, #[case] starts: usize) {
    let mut world = World::new(&[("own", 3, due)]);
    let load = |online: u32| OnlineLoad { here: online, all: online, slots_here: 4, slots_all: 4 };
    let free = FreeSlots { here: 4, all: 4 };
    world.slots.unreserved("own", free, load(0), at(0));
    for millis in (0..19_000).step_by(100) {
        let online = if millis % 5_800 >= 3_400 { 4 } else { 0 };
        world.slots.note_online("own", load(online), at(millis));
    }
    // The next peak begins at 20.8 s and ends at 23.2 s.
    let outcome = world.pass(at(19_000));
    assert_eq!((started(&outcome).len(), outcome.kept), (starts, 1));
    let urgent = world.slots.own_waiting().first().map(|waiting| waiting.items.urgent);
    assert_eq!(urgent, (starts == 0).then_some(Some(0)));
}

/// Guards against processor time spent while nothing waits anywhere.
#[test]
fn a_pass_without_items_does_not_list_gateways() {
    let mut world = World::new(&[]);
    let list = || -> Vec<VmName> { panic!("gateways are listed") };
    let outcome = ItemSlotPass {
        registry: &mut world.registry,
        targets: &mut world.targets,
        slots: &mut world.slots,
        routes: &world.routes,
        recipients: &list,
        linked: &list,
        is_stopping: false,
        is_handing_over: false,
        draw: rand::random,
        now: at(0),
    }
    .run();
    assert!(outcome.starts.is_empty() && outcome.messages.is_empty());
}

/// Ejects the own target, which stands for a third of the targets of its service.
fn eject_own(world: &mut World) {
    world.targets.learn_performance();
    for id in ["t3", "t4"] {
        let (name, service) = (id.to_owned(), "own".to_owned());
        world.targets.put(
            TargetEntry {
                id: id.to_owned(),
                name,
                born: 0,
                software_version: "v1".to_owned(),
                service,
                address: ([127, 0, 0, 1], 9).into(),
                domain: "b".to_owned(),
                slots: 0,
                state: TargetState::Ready,
                cold_left: Duration::ZERO,
            },
            at(0),
        );
    }
    for fingerprint in 0..2 {
        let outcome = Some(TargetOutcome::Failed);
        let failed = AttemptReport { fingerprint, outcome, is_probe: false };
        world.targets.note_outcome("t1", failed, at(0));
    }
    assert_eq!(world.targets.excluded_count(), 1);
}

/// Guards against an item that fails because its last attempt was a probe of an ejected target.
#[rstest]
#[case::new(false, 2, &["t1"])]
#[case::failed_before(true, 2, &[])]
#[case::one_attempt(false, 1, &[])]
fn only_an_item_with_another_attempt_is_a_probe(
    #[case] has_failed: bool,
    #[case] max_attempts: u32,
    #[case] expected: &[&str],
) {
    let mut world = World::new(&[("own", 1, 18)]);
    let own = Route { max_attempts, ..route("own") };
    let routes = vec![own, route("far")];
    world.routes =
        RouteTable::new(Configuration { version: 1, routes, ..Configuration::default() });
    eject_own(&mut world);
    if has_failed {
        let job = world.registry.table.get_mut("j0").expect("the job is owned");
        job.start_item(0, "v1");
        let run = FailedRun { id: 1, is_impossible: false };
        job.end_item(0, &ItemEnd::Failed { run }, at(0));
    }
    let outcome = world.pass(at(5_000));
    assert_eq!(started(&outcome), expected);
}

/// Guards against an item that gives its events up although it has time, or holds up those behind it, while the targets of
/// its version are full; and against one that becomes late while it waits for them.
#[rstest]
#[case::in_time(18, &["1"])]
#[case::late(0, &["0", "1"])]
fn an_item_waits_for_its_version_while_it_has_time(#[case] due: u64, #[case] expected: &[&str]) {
    let mut world = World::new(&[("own", 2, due)]);
    let newer = TargetEntry {
        id: "t3".to_owned(),
        name: "t3".to_owned(),
        software_version: "v2".to_owned(),
        ..world.targets.entries().find(|entry| entry.id == "t1").expect("an own target").clone()
    };
    world.targets.put(newer, at(0));
    world.targets.assign_homes("g1", &[("g1".to_owned(), "a".to_owned())]);
    let uses = [("t3".to_owned(), TargetUse { online: SLOTS, batch: 0 })];
    world.targets.take_report(&vm("g2"), uses.into_iter().collect(), at(0));
    let job = world.registry.table.get_mut("j0").expect("the job is owned");
    job.start_item(0, "v2");
    job.add_progress(0, 2, b"a");
    job.end_item(0, &ItemEnd::Interrupted, at(0));
    let outcome = world.pass(at(2_000));
    let mut items: Vec<&str> =
        outcome.starts.iter().map(|started| started.start.item.id.as_str()).collect();
    items.sort_unstable();
    assert_eq!(items, expected);
    assert!(outcome.starts.iter().all(|started| started.start.last_event.is_none()));
}
