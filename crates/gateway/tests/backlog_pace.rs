//! How a shard's work is told to the other gateways.

use std::time::Duration;

use notch_gateway::control::backlog_pace::BacklogPace;
use notch_jobs::prelude::TargetBacklog;
use notch_link::codec;
use notch_membership::MembershipSettings;
use notch_types::prelude::*;

const SHARD: ShardId = ShardId(3);

fn work(number: usize, open: u64, least_laxity_ms: i64) -> TargetBacklog {
    let target = TargetName::new(&format!("model-{number}"));
    TargetBacklog { target, open, least_laxity_ms, floor: 0.1 }
}

#[test]
fn work_for_five_models_fits_a_fact() {
    // Symptom: batch work for several models at once is never pulled through other gateways.
    // Sequence: a shard holds work for five models and tells it by gossip.
    // Cause: the fact took 311 bytes; members drop facts over their bound without a word.
    let backlog: Vec<TargetBacklog> =
        (0..5).map(|number| work(number, 860_000, -3_600_000)).collect();
    let value = codec::encode(&backlog).expect("it can be encoded");
    assert!(value.len() <= MembershipSettings::default().max_rumor_bytes, "{} bytes", value.len());
    assert_eq!(codec::decode::<Vec<TargetBacklog>>(&value).ok(), Some(backlog));
}

#[test]
fn unchanged_work_is_told_seldom_and_a_change_at_once() {
    // Symptom: gateways know of work many seconds late, and pull from shards without any.
    // Sequence: 64 shards tell their work each second, more than pings can carry.
    // Cause: every telling took a place on pings, also those that changed nothing.
    let mut pace = BacklogPace::new(8);
    let mut told = |second: u64, epoch: u64, backlog: &[TargetBacklog]| {
        let at = MonoTime::default() + Duration::from_secs(second);
        pace.is_due(at, SHARD, Epoch(epoch), backlog)
    };
    assert!(told(1, 1, &[work(0, 900, 60_000)]), "the first one");
    let quiet: Vec<u64> =
        (2..=9).filter(|second| told(*second, 1, &[work(0, 900 - second, 50_000)])).collect();
    assert_eq!(quiet, [5, 9], "every four seconds while only numbers change");
    assert!(told(10, 1, &[work(0, 800, -1)]), "late now");
    assert!(!told(11, 1, &[work(0, 790, -500)]));
    assert!(told(12, 1, &[work(0, 780, -500), work(1, 5, 1_000)]), "work for another target");
    assert!(told(13, 1, &[work(0, 0, 60_000), work(1, 5, 1_000)]), "no work left for one");
    assert!(told(14, 2, &[work(0, 0, 60_000), work(1, 5, 1_000)]), "another owner");
    assert!(told(15, 2, &[]), "nothing left");
    assert!(!told(16, 2, &[]));
}
