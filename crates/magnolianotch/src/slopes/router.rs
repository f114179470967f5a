//! Online requests at a gateway: processor time and memory of the router.

use std::hint::black_box;

use notch_routing::probe::RouterProbe;

use super::{
    machine::{ProcessorClock, least_of, resident_bytes},
    report::{ACCOUNTS, SlopeReport},
    series::{RoleName::Gateway, SeriesName},
};

const REQUESTS: u64 = 100_000;
const ROUNDS: usize = 3;
/// Sidecars that a gateway of 370 is linked to: 600 sidecars with 8 links each, the fullest.
const LINKED: usize = 35;

/// Measures the router.
pub(super) fn measure_router(report: &mut SlopeReport) {
    measure_memory(report);
    let by_sidecars = [16, 64, 320, 600].map(|sidecars| {
        (sidecars as f64, least_of(ROUNDS, || micros_each(sidecars, ACCOUNTS as usize)))
    });
    let name = SeriesName {
        role: Gateway,
        quantity: "routing of a request, 11,000 accounts",
        unit: "µs",
        against: "sidecars linked",
    };
    report.add(name, LINKED as f64, &by_sidecars);
    let by_accounts = [100, 1_000, 4_000, 11_000]
        .map(|accounts| (accounts as f64, least_of(ROUNDS, || micros_each(LINKED, accounts))));
    let name = SeriesName {
        role: Gateway,
        quantity: "routing of a request, 35 sidecars linked",
        unit: "µs",
        against: "accounts",
    };
    report.add(name, ACCOUNTS, &by_accounts);
}

fn micros_each(sidecars: usize, accounts: usize) -> f64 {
    let mut probe = RouterProbe::new(sidecars, accounts, 1);
    let clock = ProcessorClock::start();
    (0..REQUESTS).for_each(|number| probe.request(number));
    clock.spent().as_secs_f64() * 1e6 / REQUESTS as f64
}

/// Memory once all accounts have asked; all probes are kept, so that freed memory isn't reused.
fn measure_memory(report: &mut SlopeReport) {
    const COPIES: usize = 4;
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for accounts in [100, 1_000, 4_000, 11_000] {
        let before = resident_bytes();
        for copy in 0..COPIES {
            let mut probe = RouterProbe::new(LINKED, accounts, copy as u64);
            (0..2 * accounts as u64).for_each(|number| probe.request(number));
            kept.push(probe);
        }
        let held = resident_bytes().saturating_sub(before) as f64 / COPIES as f64;
        points.push((accounts as f64, held / 1e6));
    }
    black_box(&kept);
    let name = SeriesName {
        role: Gateway,
        quantity: "router: memory, all accounts active",
        unit: "MB",
        against: "accounts",
    };
    report.add(name, ACCOUNTS, &points);
}
