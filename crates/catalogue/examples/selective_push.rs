//! A trial: greedy walk-based selective push against what the catalogue node does.
//!
//! Source: Huang, Jin, Cao, Sun and Feng, "A selective push algorithm for cooperative cache
//! consistency maintenance over MANETs". A copy is good for a time to refresh; a query after that
//! pulls; a change is pushed only to copies that are likely to be queried, along a walk that
//! acknowledges each hop. Two variants: the whole of it, and the walk alone as a way to reach all.

#![allow(clippy::print_stdout)]

use notch_catalogue::probe::{account_key, account_text};
use notch_messages::entry::{EntryRecord, EntryStamp};
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

/// Gateways, accounts, requests a second and changes a day at the two-year size.
const GATEWAYS: usize = 370;
const ACCOUNTS: usize = 11_000;
const REQUESTS_PER_S: f64 = 2_100.0;
const CHANGES_PER_DAY: f64 = 2_500.0;
/// The promise for changes is the time to refresh, seconds.
const REFRESH_S: f64 = 4.0;
/// The paper's thresholds.
const QUERY_THRESHOLD: f64 = 0.5;
const UPDATE_THRESHOLD: f64 = 0.5;
/// The paper's wait for an acknowledgement, seconds.
const ACK_WAIT_S: f64 = 2.0;
/// One way, seconds.
const HOP_S: f64 = 0.001;
/// Virtual time of the trial, seconds.
const SPAN_S: f64 = 1_200.0;

#[derive(Default)]
struct TrialFigures {
    pulls: u64,
    queries: u64,
    pushes: u64,
    changes: u64,
    bytes: u64,
    /// Copies that a change did not reach within the promise, of all copies.
    not_in_force: u64,
    longest_walk_s: f64,
}

fn main() {
    let whole = run_selective();
    let span_nodes = SPAN_S * GATEWAYS as f64;
    println!("selective push, {GATEWAYS} gateways, {ACCOUNTS} accounts, refresh {REFRESH_S} s:");
    println!("  queries that wait for a pull {:.3}", whole.pulls as f64 / whole.queries as f64);
    println!("  bytes a second and node {:.0}", whole.bytes as f64 / span_nodes);
    println!("  copies pushed to for a change {:.1}", whole.pushes as f64 / whole.changes as f64);
    let copies = (whole.changes * GATEWAYS as u64) as f64;
    println!(
        "  copies without the change after the promise {:.4}",
        whole.not_in_force as f64 / copies
    );
    for dead in [0, 1, 4] {
        let walk = run_walk(dead);
        println!(
            "walk to all, {dead} gateways silent: {:.0} bytes a change and node, all reached after {:.2} s",
            walk.bytes as f64 / GATEWAYS as f64,
            walk.longest_walk_s,
        );
    }
}

/// The whole algorithm: queries by Zipf's law over accounts, spread evenly over gateways.
fn run_selective() -> TrialFigures {
    let mut random = SmallRng::seed_from_u64(7);
    let weights: Vec<f64> = (1..=ACCOUNTS).map(|rank| 1.0 / rank as f64).collect();
    let total: f64 = weights.iter().sum();
    let mut sums = Vec::with_capacity(ACCOUNTS);
    let mut sum = 0.0;
    for weight in &weights {
        sum += weight / total;
        sums.push(sum);
    }
    // Each copy: when it was renewed, and whether it has the newest version.
    let mut renewed = vec![vec![-REFRESH_S; ACCOUNTS]; GATEWAYS];
    let mut figures = TrialFigures::default();
    let pull_bytes = (encoded(&stamp(0)) + encoded(&record(0))) as u64;
    let change_rate = CHANGES_PER_DAY / 86_400.0;
    let mut now = 0.0;
    while now < SPAN_S {
        now += -random.random::<f64>().max(1e-12).ln() / (REQUESTS_PER_S + change_rate);
        if random.random::<f64>() * (REQUESTS_PER_S + change_rate) < REQUESTS_PER_S {
            let drawn: f64 = random.random();
            let account = sums.partition_point(|sum| *sum < drawn).min(ACCOUNTS - 1);
            let gateway = random.random_range(0..GATEWAYS);
            figures.queries += 1;
            if now - renewed[gateway][account] > REFRESH_S {
                figures.pulls += 1;
                figures.bytes += pull_bytes;
                renewed[gateway][account] = now;
            }
            continue;
        }
        figures.changes += 1;
        let account = random.random_range(0..ACCOUNTS);
        let query_rate = REQUESTS_PER_S / GATEWAYS as f64 * weights[account] / total;
        let wanted: Vec<usize> = (0..GATEWAYS)
            .filter(|gateway| needs_push(now - renewed[*gateway][account], query_rate, change_rate))
            .collect();
        figures.pushes += wanted.len() as u64;
        figures.bytes += walk_bytes(account, wanted.len());
        // A copy that is not pushed to keeps the old version until a query pulls it.
        let pulled = 1.0 - (-query_rate * REFRESH_S).exp();
        let left = (GATEWAYS - wanted.len()) as f64 * (1.0 - pulled);
        figures.not_in_force += left as u64;
        for gateway in wanted {
            renewed[gateway][account] = now;
        }
    }
    figures
}

/// Inequalities (1) and (2) of the paper.
fn needs_push(since: f64, query_rate: f64, change_rate: f64) -> bool {
    let renew = since.min(REFRESH_S);
    let remain = (REFRESH_S - since).max(0.0);
    let queried = renew >= -(1.0 - QUERY_THRESHOLD).ln() / query_rate;
    let quiet = remain <= -(1.0 - UPDATE_THRESHOLD).ln() / (change_rate / ACCOUNTS as f64);
    queried && quiet
}

/// The walk alone, to all gateways, of which `dead` don't answer.
fn run_walk(dead: usize) -> TrialFigures {
    let seconds = GATEWAYS as f64 * HOP_S + dead as f64 * ACK_WAIT_S;
    TrialFigures {
        bytes: walk_bytes(1, GATEWAYS),
        longest_walk_s: seconds,
        ..TrialFigures::default()
    }
}

/// Bytes of a walk over `count` gateways: the entry and the gateways left, and an acknowledgement.
fn walk_bytes(account: usize, count: usize) -> u64 {
    let names: Vec<VmName> = (0..count).map(|n| VmName::new(&format!("gw-{n:03}"))).collect();
    let entry = record(account);
    let ack = encoded(&stamp(account)) as u64;
    (0..count).map(|hop| encoded(&(&entry, &names[hop..])) as u64 + ack).sum()
}

fn record(account: usize) -> EntryRecord {
    let body = Payload::from(account_text(account, 2).as_str());
    EntryRecord { key: account_key(account), version: EntryVersion(12_345), body }
}

fn stamp(account: usize) -> EntryStamp {
    record(account).stamp()
}

fn encoded(message: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes.len()
}
