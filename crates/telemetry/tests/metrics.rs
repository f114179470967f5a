//! Metrics: every reason is exported from the start, and nodes don't share counts.

use std::time::Duration;

use notch_telemetry::prelude::*;
use notch_types::prelude::*;

fn node(vm: &str) -> Metrics {
    Metrics::new(&VmName::new(vm), &DomainName::new("east"))
}

#[test]
fn every_reason_shows_zero_before_it_happens() {
    let text = node("a").render();
    let labels = |reason: &str| format!("{{domain=\"east\",reason=\"{reason}\",vm=\"a\"}} 0");
    for reason in RefusalReason::ALL {
        assert!(text.contains(&format!("notch_refusals_total{}", labels(reason.code()))));
    }
    for reason in RetryReason::ALL {
        assert!(text.contains(&format!("notch_retries_total{}", labels(reason.code()))));
    }
    for reason in DropReason::ALL {
        assert!(text.contains(&format!("notch_drops_total{}", labels(reason.code()))));
    }
    for gauge in Gauge::ALL {
        assert!(text.contains(&format!("notch_{}{{domain=\"east\",vm=\"a\"}} 0", gauge.name())));
    }
    for timing in Timing::ALL {
        assert!(text.contains(&format!("notch_{}_count{{", timing.name())));
    }
}

#[test]
fn counts_gauges_and_timings_add_up_and_stay_with_their_node() {
    let (first, second) = (node("a"), node("b"));
    let counters = [
        Counter::Refused(RefusalReason::Overloaded),
        Counter::Retried(RetryReason::TargetLost),
        Counter::Dropped(DropReason::LateAnswer),
        Counter::Event("links_replaced"),
    ];
    for counter in counters {
        first.count(counter);
        first.count_many(counter, 2);
        assert_eq!(first.counted(counter), 3);
        assert_eq!(second.counted(counter), 0);
    }
    first.set(Gauge::ShardsOwned, 5);
    first.add(Gauge::ShardsOwned, -2);
    assert_eq!(first.value(Gauge::ShardsOwned), 3);
    first.observe(Timing::LedgerCommit, Duration::from_millis(30));
    let text = first.render();
    assert!(
        text.contains("notch_events_total{domain=\"east\",event=\"links_replaced\",vm=\"a\"} 3")
    );
    assert!(text.contains("notch_ledger_commit_seconds_sum{domain=\"east\",vm=\"a\"} 0.03"));
    let fifty = "notch_ledger_commit_seconds_bucket{domain=\"east\",vm=\"a\",le=\"0.05\"} 1";
    assert!(text.contains(fifty), "{text}");
}
