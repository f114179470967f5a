//! Online requests at a gateway: processor time and memory of the router.

use notch_routing::probe::RouterProbe;

use super::{
    machine::{ProcessorClock, least_of},
    report::{ACCOUNTS, SlopeReport},
    series::{RoleName::Gateway, SeriesName},
};

const REQUESTS: u64 = 100_000;
const ROUNDS: usize = 3;
/// Sidecars that a gateway of 370 is linked to: 600 sidecars with 8 links each, the fullest.
pub(super) const LINKED: usize = 35;

/// Measures the router.
pub(super) fn measure_router(report: &mut SlopeReport) {
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
