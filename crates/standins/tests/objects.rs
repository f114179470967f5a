//! The object API's stand-in against a naive log, inside the process and over HTTP; its faults.

use std::{sync::Arc, time::Duration};

use async_std::task;
use notch_platform::{BudgetSettings, CallEnd, CallKind, HttpObjects, ObjectApi, ObjectsSettings};
use notch_standins::{
    FaultSettings, FaultSwitch, MemorySettings, PlatformHandle, PlatformSettings, fault::CallFate,
};
use notch_types::{
    object::{
        ListedObject, MAX_OBJECT_BYTES, ObjectVersion, StoreFailure, StoreOp, StoreReply,
        StoreResult, StoredObject, WriteCondition,
    },
    payload::Payload,
    time::WallTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const FAST: f64 = 1e9;

fn unlimited() -> MemorySettings {
    MemorySettings {
        writes_per_second: FAST,
        reads_per_second: FAST,
        time_limit: Duration::from_millis(150),
        ..MemorySettings::default()
    }
}

/// The way a caller reaches the store.
#[derive(Debug, Clone, Copy)]
enum Way {
    Inside,
    OverHttp,
}

/// A store, and the edge to reach it by.
async fn store(way: Way, settings: MemorySettings) -> (PlatformHandle, Arc<dyn ObjectApi>) {
    let time_limit = settings.time_limit;
    let platform = PlatformSettings { objects: settings, ..PlatformSettings::default() };
    let platform = PlatformHandle::start(platform).await.expect("a port");
    let api: Arc<dyn ObjectApi> = match way {
        Way::Inside => platform.objects().clone(),
        Way::OverHttp => Arc::new(HttpObjects::new(ObjectsSettings {
            address: platform.address().to_string(),
            time_limit,
            budget: BudgetSettings { calls_per_second: FAST, burst: FAST },
        })),
    };
    (platform, api)
}

fn get(key: &str) -> StoreOp {
    StoreOp::Get { key: key.to_string() }
}

fn put(key: &str, value: &str, condition: WriteCondition) -> StoreOp {
    StoreOp::Put { key: key.to_string(), value: value.into(), condition }
}

fn watch(prefix: &str, after: u64, wait_ms: u64) -> StoreOp {
    StoreOp::Watch { prefix: prefix.to_string(), after: ObjectVersion(after), wait_ms }
}

/// The naive store: every change ever made, its version its place in the log.
#[derive(Default)]
struct NaiveLog(Vec<(String, Option<Payload>)>);

impl NaiveLog {
    /// The newest state of each key, in key order.
    fn newest(&self) -> Vec<StoredObject> {
        let mut keys: Vec<&String> = self.0.iter().map(|(key, _)| key).collect();
        keys.sort();
        keys.dedup();
        let object = |key: &String| {
            let at = self.0.iter().rposition(|(other, _)| other == key).expect("it is there");
            StoredObject {
                key: key.clone(),
                version: ObjectVersion(at as u64 + 1),
                value: self.0[at].1.clone(),
                written_at: WallTime(0),
            }
        };
        keys.into_iter().map(object).collect()
    }

    fn live(&self, key: &str) -> Option<StoredObject> {
        self.newest().into_iter().find(|object| object.key == key && object.value.is_some())
    }

    fn allows(&self, key: &str, condition: WriteCondition) -> Result<(), StoreFailure> {
        let current = self.live(key).map(|object| object.version);
        let wanted = match condition {
            WriteCondition::Always => return Ok(()),
            WriteCondition::IfAbsent => None,
            WriteCondition::IfVersion(version) => Some(version),
        };
        if wanted == current { Ok(()) } else { Err(StoreFailure::Conflict(current)) }
    }

    fn call(&mut self, op: &StoreOp) -> StoreResult {
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Object(self.live(key))),
            StoreOp::Put { key, value, condition } => {
                self.allows(key, *condition)?;
                self.0.push((key.clone(), Some(value.clone())));
                Ok(StoreReply::Written(ObjectVersion(self.0.len() as u64)))
            }
            StoreOp::Delete { key, condition } => {
                if self.live(key).is_some() {
                    self.allows(key, *condition)?;
                    self.0.push((key.clone(), None));
                }
                Ok(StoreReply::Deleted)
            }
            StoreOp::List { prefix, after, limit } => {
                let mut lines = self.newest();
                lines.retain(|object| {
                    let is_after = after.as_ref().is_none_or(|after| object.key > *after);
                    object.value.is_some() && object.key.starts_with(prefix) && is_after
                });
                let more = lines.len() > *limit as usize;
                lines.truncate(*limit as usize);
                let line = |object: StoredObject| ListedObject {
                    key: object.key,
                    version: object.version,
                    written_at: WallTime(0),
                };
                let objects = lines.into_iter().map(line).collect();
                Ok(StoreReply::Listing { objects, store_time: WallTime(0), more })
            }
            StoreOp::Watch { prefix, after, .. } => {
                let mut objects = self.newest();
                objects
                    .retain(|object| object.key.starts_with(prefix) && object.version.0 > after.0);
                objects.sort_by_key(|object| object.version.0);
                let upto = ObjectVersion(after.0.max(self.0.len() as u64));
                Ok(StoreReply::Changes { objects, upto })
            }
        }
    }
}

/// The store's clock is not compared.
fn without_times(mut result: StoreResult) -> StoreResult {
    match &mut result {
        Ok(StoreReply::Object(Some(object))) => object.written_at = WallTime(0),
        Ok(StoreReply::Listing { objects, store_time, .. }) => {
            *store_time = WallTime(0);
            objects.iter_mut().for_each(|object| object.written_at = WallTime(0));
        }
        Ok(StoreReply::Changes { objects, .. }) => {
            objects.iter_mut().for_each(|object| object.written_at = WallTime(0));
        }
        _ => {}
    }
    result
}

fn any_key() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["a", "a/1", "a/2", "b/ü ?&#%2F", "b/..", "c+d", "z"])
        .prop_map(str::to_string)
}

fn any_prefix() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["", "a", "a/", "b/", "zz"]).prop_map(str::to_string)
}

fn any_condition() -> impl Strategy<Value = WriteCondition> {
    prop_oneof![
        Just(WriteCondition::Always),
        Just(WriteCondition::IfAbsent),
        (1_u64..12).prop_map(|version| WriteCondition::IfVersion(ObjectVersion(version))),
    ]
}

fn any_op() -> impl Strategy<Value = StoreOp> {
    let value = prop::collection::vec(any::<u8>(), 0..20).prop_map(Payload);
    prop_oneof![
        any_key().prop_map(|key| StoreOp::Get { key }),
        (any_key(), value, any_condition()).prop_map(|(key, value, condition)| StoreOp::Put {
            key,
            value,
            condition
        }),
        (any_key(), any_condition())
            .prop_filter("makes no sense", |(_, condition)| *condition != WriteCondition::IfAbsent)
            .prop_map(|(key, condition)| StoreOp::Delete { key, condition }),
        (any_prefix(), prop::option::of(any_key()), 1_u32..4)
            .prop_map(|(prefix, after, limit)| StoreOp::List { prefix, after, limit }),
        (any_prefix(), 0_u64..12).prop_map(|(prefix, after)| watch(&prefix, after, 0)),
    ]
}

fn compare_with_log(way: Way, ops: &[StoreOp]) {
    task::block_on(async {
        let (platform, api) = store(way, unlimited()).await;
        let mut log = NaiveLog::default();
        for op in ops {
            let result = without_times(api.call(op.clone()).await);
            assert_eq!(result, log.call(op), "{op:?}");
        }
        platform.stop().await;
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), cases: 150, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn calls_inside_agree_with_the_naive_log(ops in prop::collection::vec(any_op(), 1..40)) {
        compare_with_log(Way::Inside, &ops);
    }

    #[test]
    fn calls_over_http_agree_with_the_naive_log(ops in prop::collection::vec(any_op(), 1..40)) {
        compare_with_log(Way::OverHttp, &ops);
    }
}

#[rstest]
#[async_std::test]
async fn a_value_may_have_a_megabyte_and_no_more(#[values(Way::Inside, Way::OverHttp)] way: Way) {
    let settings = MemorySettings { time_limit: Duration::from_secs(20), ..unlimited() };
    let (_platform, api) = store(way, settings).await;
    let sized = |bytes: usize| StoreOp::Put {
        key: "big".to_string(),
        value: Payload(vec![7; bytes]),
        condition: WriteCondition::Always,
    };
    assert_eq!(api.call(sized(MAX_OBJECT_BYTES + 1)).await, Err(StoreFailure::TooLarge));
    assert_eq!(api.call(sized(MAX_OBJECT_BYTES)).await, Ok(StoreReply::Written(ObjectVersion(1))));
    let read = api.call(get("big")).await;
    let Ok(StoreReply::Object(Some(object))) = read else { panic!("{read:?}") };
    assert_eq!(object.value.map(|value| value.len()), Some(MAX_OBJECT_BYTES));
    let seen = api.call(watch("big", 0, 0)).await;
    let Ok(StoreReply::Changes { objects, .. }) = seen else { panic!("{seen:?}") };
    assert_eq!(objects[0].value.as_ref().map(|value| value.len()), Some(MAX_OBJECT_BYTES));
}

#[rstest]
#[async_std::test]
async fn a_waiting_watch_ends_at_the_change(#[values(Way::Inside, Way::OverHttp)] way: Way) {
    let (_platform, api) = store(way, unlimited()).await;
    let waiting = api.clone();
    let watcher = task::spawn(async move { waiting.call(watch("a/", 0, 60_000)).await });
    // A change elsewhere doesn't end it; whether it comes before the watch makes no difference.
    api.call(put("b", "no", WriteCondition::Always)).await.expect("written");
    api.call(put("a/1", "yes", WriteCondition::Always)).await.expect("written");
    let Ok(StoreReply::Changes { objects, upto }) = watcher.await else { panic!("no changes") };
    assert_eq!((objects.len(), objects[0].key.as_str(), upto.0), (1, "a/1", 2));
}

#[rstest]
#[case::down(FaultSettings::down(), StoreFailure::Unavailable, false)]
#[case::lost_before(FaultSettings::lost_before(), StoreFailure::Unknown, false)]
#[case::lost_after(FaultSettings::lost_after(), StoreFailure::Unknown, true)]
#[case::too_slow(FaultSettings::slow(1_000), StoreFailure::Unknown, true)]
#[case::refused(
    FaultSettings { refused_per_mille: 1_000, ..FaultSettings::default() },
    StoreFailure::Unavailable, false
)]
#[async_std::test]
async fn each_fault_shows_as_it_should(
    #[case] fault: FaultSettings,
    #[case] failure: StoreFailure,
    #[case] takes_effect: bool,
    #[values(Way::Inside, Way::OverHttp)] way: Way,
) {
    // Symptom: a write is repeated, or given up, though it did (or didn't) take effect.
    // Sequence: the write goes out; the fault strikes; the writer reads back.
    // Cause: a stand-in whose answer and effect don't belong together would hide just that.
    let (platform, api) = store(way, unlimited()).await;
    platform.objects().faults().set(fault.clone());
    let result = api.call(put("key", "value", WriteCondition::IfAbsent)).await;
    assert_eq!(result, Err(failure));
    platform.objects().faults().clear();
    let mut object = read(&api).await;
    while object.is_none() && takes_effect {
        // A slow write takes effect when its caller has given up already.
        task::sleep(Duration::from_millis(5)).await;
        object = read(&api).await;
    }
    assert_eq!(object.is_some(), takes_effect);
}

async fn read(api: &Arc<dyn ObjectApi>) -> Option<StoredObject> {
    match api.call(get("key")).await {
        Ok(StoreReply::Object(object)) => object,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[async_std::test]
async fn a_hung_watch_hangs_alone(#[values(Way::Inside, Way::OverHttp)] way: Way) {
    // Symptom: a watcher never learns of a change, with no error either.
    // Sequence: the watch hangs; an object changes; polls go on to be answered.
    // Cause: something between the two ends lost track of the connection.
    let (platform, api) = store(way, unlimited()).await;
    platform.objects().faults().set(FaultSettings::hung_watch());
    api.call(put("a/1", "yes", WriteCondition::Always)).await.expect("written");
    assert_eq!(api.call(watch("a/", 0, 10)).await, Err(StoreFailure::Unknown));
    assert!(matches!(api.call(get("a/1")).await, Ok(StoreReply::Object(Some(_)))));
}

#[test]
fn flapping_goes_down_and_up_by_turns() {
    let switch = FaultSwitch::new(3);
    switch.set(FaultSettings::flapping(2));
    let fates: Vec<CallFate> = (0..8).map(|_| switch.next(CallKind::Get).0).collect();
    use CallFate::{Answered, Refused};
    let expected = [Answered, Answered, Refused, Refused, Answered, Answered, Refused, Refused];
    assert_eq!(fates, expected);
}

#[test]
fn a_seed_draws_the_same_fates_and_keeps_the_shares() {
    let plan = FaultSettings {
        refused_per_mille: 100,
        lost_before_per_mille: 100,
        lost_after_per_mille: 200,
        ..FaultSettings::default()
    };
    let draw = || {
        let switch = FaultSwitch::new(11);
        switch.set(plan.clone());
        (0..10_000).map(|_| switch.next(CallKind::Put).0).collect::<Vec<_>>()
    };
    let fates = draw();
    assert_eq!(fates, draw());
    let share = |fate| fates.iter().filter(|drawn| **drawn == fate).count();
    assert!((900..1_100).contains(&share(CallFate::Refused)));
    assert!((900..1_100).contains(&share(CallFate::LostBefore)));
    assert!((1_850..2_150).contains(&share(CallFate::LostAfter)));
}

#[rstest]
#[async_std::test]
async fn each_call_counts_against_its_rate(#[values(Way::Inside, Way::OverHttp)] way: Way) {
    let settings = MemorySettings {
        writes_per_second: 0.001,
        reads_per_second: 0.001,
        burst_seconds: 3_000.0,
        ..unlimited()
    };
    let (platform, api) = store(way, settings).await;
    let ops = [get("a"), watch("", 0, 0), get("a"), get("a")];
    let writes = [(); 4].map(|()| put("a", "b", WriteCondition::Always));
    for calls in [ops.to_vec(), writes.to_vec()] {
        let mut ends = Vec::new();
        for op in calls {
            ends.push(CallEnd::of(&api.call(op).await));
        }
        use CallEnd::{Done, Throttled};
        assert_eq!(ends, [Done, Done, Done, Throttled]);
    }
    let meter = platform.objects().meter();
    assert_eq!(meter.total(CallKind::Get) + meter.total(CallKind::Watch), 4);
    assert_eq!(meter.count(CallKind::Put, CallEnd::Throttled), 1);
}

/// Symptom: a client sees an outage as a certain failure of writes that took effect, or never
/// comes back from it.
/// Sequence: the store's port is cut with calls in flight and refuses; later it is served again.
/// Cause: a write in flight is sent again on a new connection, and that one is refused; or a kept
/// connection is not replaced.
#[rstest]
#[async_std::test]
async fn a_cut_port_and_its_return(
    #[values(WriteCondition::Always, WriteCondition::IfVersion(ObjectVersion(1)))]
    condition: WriteCondition,
) {
    let settings = MemorySettings { time_limit: Duration::from_secs(20), ..unlimited() };
    let (platform, api) = store(Way::OverHttp, settings).await;
    api.call(put("a", "1", WriteCondition::Always)).await.expect("written");
    api.call(put("a", "2", condition)).await.expect("written");
    let in_flight = WriteCondition::IfVersion(ObjectVersion(2));
    let in_flight = if condition == WriteCondition::Always { condition } else { in_flight };
    // The write goes first: it has to go out on the connection kept from the ones before.
    platform.objects().faults().set(FaultSettings::slow(50_000));
    let writing = api.clone();
    let writer = task::spawn(async move { writing.call(put("a", "3", in_flight)).await });
    while platform.objects().late_writes() == 0 {
        task::sleep(Duration::from_millis(5)).await;
    }
    platform.objects().faults().clear();
    let watching = api.clone();
    let watcher = task::spawn(async move { watching.call(watch("b", 0, 60_000)).await });
    while platform.objects().waiting_watches() == 0 {
        task::sleep(Duration::from_millis(5)).await;
    }
    platform.cut().await;
    assert_eq!(writer.await, Err(StoreFailure::Unknown));
    // A watch has no effect; both failures are true of it.
    let watched = watcher.await;
    assert!(matches!(watched, Err(StoreFailure::Unknown | StoreFailure::Unavailable)));
    assert_eq!(api.call(put("a", "4", in_flight)).await, Err(StoreFailure::Unavailable));
    platform.reopen().await;
    assert_eq!(api.call(put("a", "5", in_flight)).await, Ok(StoreReply::Written(ObjectVersion(3))));
}
