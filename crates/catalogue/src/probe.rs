//! A plain loop that hands messages round between catalogue nodes in virtual time, beside a store
//! that is one map: for tests, and for measuring what a change costs against the number of
//! gateways. No sockets, no clock.

mod fleet;
mod store;

use std::time::Duration;

use notch_membership::probe::{MessageSize, usual_link};
use notch_messages::entry::{EntryKey, EntryKind};
use notch_types::prelude::*;

pub use self::{
    fleet::{CatalogueFleet, ToldEffect},
    store::{MemoryStore, StoreFate, StoreRule, usual_store},
};
use crate::settings::CatalogueSettings;

/// What the catalogue costs a node, and how soon a change is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueFigures {
    /// Gateways.
    pub nodes: usize,
    /// Entries in the catalogue.
    pub entries: usize,
    /// Messages a second and node when nothing changes.
    pub messages_per_s: f64,
    /// Bytes a second and node when nothing changes.
    pub bytes_per_s: f64,
    /// Calls to the store a second, by all nodes together, when nothing changes.
    pub store_calls_per_s: f64,
    /// Bytes that a node sends for one change of one entry.
    pub bytes_per_change: f64,
    /// Longest time from the store's answer to an edit until it was in force everywhere.
    pub in_force_most: Duration,
    /// The same on average.
    pub in_force_mean: Duration,
}

/// A valid account's text, as long as a usual one.
pub fn account_text(number: usize, burst: usize) -> String {
    let digest: String = (0..4).map(|part| format!("{:016x}", number * 4 + part)).collect();
    format!(
        "{{\"owner\":\"caller {number}\",\"key_sha256\":\"{digest}\",\
         \"limits\":{{\"requests_per_s\":20,\"burst\":{burst}}}}}"
    )
}

/// The key of the account of this number.
pub fn account_key(number: usize) -> EntryKey {
    EntryKey { kind: EntryKind::Account, name: format!("account-{number:05}") }
}

/// A fleet of `count` gateways in `domains` domains that has `entries` entries in force.
pub fn settled_fleet(
    count: usize,
    domains: usize,
    entries: usize,
    settings: &CatalogueSettings,
    size: MessageSize,
) -> CatalogueFleet {
    const MOST: Duration = Duration::from_secs(600);
    let mut fleet = CatalogueFleet::new(count, domains, settings, size);
    for number in 0..entries {
        fleet.store.put(fleet.now(), &account_key(number), &account_text(number, 1));
    }
    fleet.start_all();
    while !fleet.is_settled() && fleet.now() < MonoTime::default() + MOST {
        let until = fleet.now() + Duration::from_secs(1);
        fleet.run_until(until, &mut usual_link, &mut usual_store);
    }
    fleet.take_sent();
    fleet.take_told();
    fleet.store.take_calls();
    fleet
}

/// Measures a fleet over `seconds` of quiet virtual time and `changes` edits.
pub fn measure(
    nodes: usize,
    domains: usize,
    entries: usize,
    seconds: u64,
    changes: usize,
    settings: &CatalogueSettings,
    size: MessageSize,
) -> CatalogueFigures {
    let mut fleet = settled_fleet(nodes, domains, entries, settings, size);
    let until = fleet.now() + Duration::from_secs(seconds);
    fleet.run_until(until, &mut usual_link, &mut usual_store);
    let quiet = fleet.take_sent();
    let calls = fleet.store.take_calls();
    let per_node = |total: f64| total / nodes as f64;
    let quiet_rate = quiet.bytes as f64 / seconds as f64;

    let started = fleet.now();
    let (mut most, mut total) = (Duration::ZERO, Duration::ZERO);
    for change in 0..changes {
        let taken = time_of_change(&mut fleet, change % entries.max(1), change + 2);
        most = most.max(taken);
        total += taken;
    }
    let busy = fleet.take_sent();
    let span = fleet.now().since(started).as_secs_f64();
    let extra = (busy.bytes as f64 - quiet_rate * span).max(0.0);
    CatalogueFigures {
        nodes,
        entries,
        messages_per_s: per_node(quiet.messages as f64) / seconds as f64,
        bytes_per_s: per_node(quiet_rate),
        store_calls_per_s: calls as f64 / seconds as f64,
        bytes_per_change: per_node(extra) / changes.max(1) as f64,
        in_force_most: most,
        in_force_mean: total / changes.max(1) as u32,
    }
}

/// Edits an account and runs until its new version is in force everywhere; at most 60 s.
fn time_of_change(fleet: &mut CatalogueFleet, number: usize, burst: usize) -> Duration {
    const STEP: Duration = Duration::from_millis(10);
    const MOST: Duration = Duration::from_secs(60);
    const PAUSE: Duration = Duration::from_secs(5);
    let key = account_key(number);
    let version = fleet.edit(&key, &account_text(number, burst), &mut usual_link, &mut usual_store);
    let start = fleet.now();
    while fleet.in_force(&key, version) < fleet.running().count() && fleet.now().since(start) < MOST
    {
        let until = fleet.now() + STEP;
        fleet.run_until(until, &mut usual_link, &mut usual_store);
    }
    let taken = fleet.now().since(start);
    let until = fleet.now() + PAUSE;
    fleet.run_until(until, &mut usual_link, &mut usual_store);
    taken
}
