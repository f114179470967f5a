//! Account limits and the retry budget against naive counters.

mod support;

use notch_routing::{
    account_table::AccountTable,
    retry_budget::RetryBudget,
    settings::{AccountSettings, RetrySettings},
    *,
};
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use support::*;

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Times are eighths of a second and rates powers of two, so the naive counters are exact.
const EIGHTH: u64 = 125;

fn account(number: usize) -> AccountName {
    AccountName::new(&format!("account-{number}"))
}

fn limit(account: AccountName, requests_per_s: f64, concurrency: u32) -> AccountLimit {
    AccountLimit { account, requests_per_s, burst: requests_per_s, concurrency }
}

proptest! {
    #![proptest_config(settings(1_000))]

    #[test]
    fn one_gateway_admits_what_a_naive_counter_would(
        steps in prop::collection::vec((0..12_u64, any::<bool>()), 1..200),
    ) {
        let (rate_per_s, burst, slots) = (8_u64, 4_u64, 5_u32);
        let name = account(0);
        let mut table = AccountTable::new(AccountSettings::default());
        table.replace(vec![AccountLimit {
            account: name.clone(),
            requests_per_s: rate_per_s as f64,
            burst: burst as f64,
            concurrency: slots,
        }]);
        let (mut millis, mut tokens, mut running) = (1_000, burst, 0);
        for (eighths, ends_one) in steps {
            millis += eighths * EIGHTH;
            tokens = (tokens + eighths * rate_per_s / 8).min(burst);
            if ends_one && running > 0 {
                running -= 1;
                table.release(&name);
            }
            let expected = tokens >= 1 && running < slots;
            let admitted = table.admit(MonoTime::from_millis(millis), &name, true);
            prop_assert_eq!(admitted.is_ok(), expected);
            if expected {
                tokens -= 1;
                running += 1;
            }
        }
    }

    #[test]
    fn the_retry_budget_is_what_a_naive_counter_says(
        steps in prop::collection::vec((0..6_u64, 0..12_u32, 0..6_u32), 1..150),
    ) {
        let settings = RetrySettings {
            budget_share: 0.125,
            budget_floor_per_s: 1.0,
            budget_cap: 6.0,
            ..RetrySettings::default()
        };
        let mut budget = RetryBudget::new(MonoTime::from_millis(0), &settings);
        // In eighths of a retry.
        let (mut millis, mut naive) = (0, 8_u32);
        for (eighths, firsts, retries) in steps {
            millis += eighths * EIGHTH;
            naive = (naive + eighths as u32).min(48);
            // At least one, so that both counters take the time in before anything is paid in.
            for _ in 0..=retries {
                let expected = naive >= 8;
                prop_assert_eq!(budget.take(MonoTime::from_millis(millis)), expected);
                naive -= if expected { 8 } else { 0 };
            }
            for _ in 0..firsts {
                budget.pay_in();
                naive = (naive + 1).min(48);
            }
        }
    }
}

// Symptom: one account takes far more than its limit, or far less, because its calls go through
// several gateways.
// Sequence: `demands` calls a second at each of four gateways, use told once a second.
// Cause: limits counted by each gateway alone; the parts must follow the demand.
#[rstest]
#[case::even(&[20.0, 20.0, 20.0, 20.0])]
#[case::uneven(&[70.0, 5.0, 5.0, 0.0])]
#[case::one(&[80.0, 0.0, 0.0, 0.0])]
#[case::under(&[5.0, 5.0, 5.0, 4.0])]
fn gateways_together_admit_about_the_limit(#[case] demands: &[f64]) {
    let rate = 40.0;
    let name = account(0);
    let mut tables: Vec<AccountTable> = demands
        .iter()
        .map(|_| {
            let mut table = AccountTable::new(AccountSettings::default());
            table.replace(vec![limit(name.clone(), rate, 0)]);
            table.set_gateways(demands.len() as u32);
            table
        })
        .collect();
    let mut asked = vec![0.0; demands.len()];
    let mut admitted = 0_u32;
    for millis in 0..60_000_u64 {
        let now = MonoTime::from_millis(millis);
        let mut rumors = Vec::new();
        for (place, table) in tables.iter_mut().enumerate() {
            asked[place] += demands[place] / 1_000.0;
            if asked[place] >= 1.0 {
                asked[place] -= 1.0;
                let is_in = table.admit(now, &name, false).is_ok();
                admitted += u32::from(is_in && millis >= 30_000);
            }
            let mut told = Vec::new();
            table.tick(now, &mut told);
            rumors.extend(told.into_iter().map(|usage| (place, usage)));
        }
        for (teller, usage) in rumors {
            for (place, table) in tables.iter_mut().enumerate() {
                if place != teller {
                    table.heard(now, vm(teller), usage.clone());
                }
            }
        }
    }
    let expected = rate.min(demands.iter().sum()) * 30.0;
    let ratio = f64::from(admitted) / expected;
    assert!((0.85..=1.15).contains(&ratio), "admitted {ratio} of what the limit allows");
}

#[test]
fn idle_accounts_cost_nothing_and_quiet_ones_are_not_spoken_of() {
    let mut table = AccountTable::new(AccountSettings::default());
    table.replace((0..11_000).map(|number| limit(account(number), 100.0, 10)).collect());
    let mut rumors = Vec::new();
    for number in 0..11_000 {
        let now = MonoTime::from_millis(1_000 + number as u64);
        table.admit(now, &account(number), false).expect("far under its limit");
        table.tick(now, &mut rumors);
    }
    assert_eq!(rumors, Vec::new());
    assert_eq!(table.active(), 11_000);
    table.tick(MonoTime::from_millis(400_000), &mut rumors);
    assert_eq!(table.active(), 0);
}

// Symptom: a refused caller comes back when told and is refused again.
// Sequence: the account's tokens are spent; the caller waits for exactly the time it was told.
// Cause: a time to come back that isn't worked out from the bucket.
#[test]
fn the_time_to_come_back_is_true() {
    let mut driver = Driver::new(eager(), 4, 100);
    driver.feed(RouterEvent::AccountsChanged(vec![limit(AccountName::new("rahbar"), 2.0, 0)]));
    for number in 0..2 {
        driver.dispatch(plain(number));
    }
    let refused = refusal(&driver.arrive(plain(2)));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::AccountLimit, Ran::No));
    driver.advance(refused.retry_after_ms.expect("a time"));
    driver.dispatch(plain(3));
}

#[test]
fn an_ended_call_frees_its_slot() {
    let mut driver = Driver::new(eager(), 4, 100);
    driver.feed(RouterEvent::AccountsChanged(vec![limit(AccountName::new("rahbar"), 0.0, 1)]));
    let (attempt, _) = driver.dispatch(plain(0));
    let refused = refusal(&driver.arrive(plain(1)));
    assert_eq!(refused.reason, RefusalReason::AccountLimit);
    driver.complete(attempt);
    driver.dispatch(plain(2));
}

// Symptom: the sidecars that are left drown in retries when half of them are gone.
// Sequence: every attempt at half of the sidecars is lost; two thousand requests arrive.
// Cause: retries without a budget multiply the load just when there is less to carry it.
#[rstest]
#[case(0.1)]
#[case(0.2)]
fn no_retry_storm_when_half_of_the_targets_are_gone(#[case] share: f64) {
    let retry =
        RetrySettings { budget_share: share, budget_floor_per_s: 0.5, ..RetrySettings::default() };
    let cap = retry.budget_cap;
    // Circuits are kept from opening: the budget alone must hold.
    let circuit = settings::CircuitSettings { open_after: u32::MAX, ..Default::default() };
    let settings = RouterSettings { retry, circuit, ..RouterSettings::default() };
    let mut driver = Driver::new(settings, 20, 1_000);
    let total = 2_000;
    for number in 0..total {
        driver.arrive(plain(number));
        driver.advance(10);
        end_all(&mut driver);
    }
    driver.advance(60_000);
    let dispatches = driver.dispatches().len() as f64;
    let seconds = driver.millis as f64 / 1_000.0;
    let bound = total as f64 * (1.0 + share) + 0.5 * seconds + cap.min(1.0);
    assert!(dispatches <= bound, "{dispatches} dispatches for {total} requests, bound {bound}");
    assert!(dispatches > total as f64, "some were retried");
    assert_eq!(ends(&driver.effects).len(), total as usize);
    assert_eq!(driver.router.unfinished(), 0);
}

/// Attempts at even VMs complete, those at odd ones are lost.
fn end_all(driver: &mut Driver) {
    let from = driver.dispatches().len().saturating_sub(40);
    for attempt in driver.dispatches().split_off(from) {
        let is_good = attempt.incarnation.0.is_multiple_of(2);
        if is_good {
            driver.complete(attempt);
        } else {
            driver.feed(RouterEvent::AttemptLost { attempt });
        }
    }
}
