//! The metrics of one node, by the prometheus library.

use std::{collections::HashMap, time::Duration};

use notch_types::prelude::*;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::metrics::{Gauge, PairCounter, Timing};

/// Prefix of every metric.
const PREFIX: &str = "notch";

/// Every metric of one node. Cheap to share behind an `Arc`; every method takes `&self`.
#[derive(Debug)]
pub struct Metrics {
    lines: LineMaker,
    refused: FastMap<RefusalReason, IntCounter>,
    retried: FastMap<RetryReason, IntCounter>,
    dropped: FastMap<DropReason, IntCounter>,
    /// One line an event name; names are literals of the code, so their number is bounded by it.
    events: IntCounterVec,
    gauges: FastMap<Gauge, IntGauge>,
    timings: FastMap<Timing, Histogram>,
}

impl Metrics {
    /// Metrics that carry `vm` and `domain` as labels. Every reason is there from the start, at
    /// zero, so that a rate can be asked for before the first one happens.
    pub fn new(vm: &VmName, domain: &DomainName) -> Self {
        let labels = HashMap::from([
            ("vm".to_owned(), vm.to_string()),
            ("domain".to_owned(), domain.to_string()),
        ]);
        let lines = LineMaker { registry: Registry::new(), labels };
        let refused = lines.counters("refusals_total", "Refusals by reason", &["reason"]);
        let retried = lines.counters("retries_total", "Retries by reason", &["reason"]);
        let dropped = lines.counters("drops_total", "Drops by reason", &["reason"]);
        let events = lines.counters("events_total", "Events by name", &["event"]);
        let line = |vec: &IntCounterVec, code| vec.with_label_values(&[code]);
        Self {
            refused: RefusalReason::ALL
                .map(|r| (r, line(&refused, r.code())))
                .into_iter()
                .collect(),
            retried: RetryReason::ALL.map(|r| (r, line(&retried, r.code()))).into_iter().collect(),
            dropped: DropReason::ALL.map(|r| (r, line(&dropped, r.code()))).into_iter().collect(),
            events,
            gauges: Gauge::ALL.map(|g| (g, lines.gauge(g))).into_iter().collect(),
            timings: Timing::ALL.map(|t| (t, lines.histogram(t))).into_iter().collect(),
            lines,
        }
    }

    /// A counter by two labels, shown with the other metrics.
    ///
    /// # Panics
    /// The name isn't valid, or is taken.
    pub fn pair_counter(&self, name: &str, help: &str, labels: [&str; 2]) -> PairCounter {
        PairCounter(self.lines.counters(name, help, &labels))
    }

    /// Counts one thing that happened.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Counts `amount` things of one kind.
    pub fn count_many(&self, counter: Counter, amount: u64) {
        let line = match counter {
            Counter::Refused(reason) => self.refused.get(&reason),
            Counter::Retried(reason) => self.retried.get(&reason),
            Counter::Dropped(reason) => self.dropped.get(&reason),
            Counter::Event(name) => {
                self.events.with_label_values(&[name]).inc_by(amount);
                None
            }
        };
        if let Some(line) = line {
            line.inc_by(amount);
        }
    }

    /// What a counter stands at; 0 when it never counted.
    pub fn counted(&self, counter: Counter) -> u64 {
        let line = match counter {
            Counter::Refused(reason) => self.refused.get(&reason),
            Counter::Retried(reason) => self.retried.get(&reason),
            Counter::Dropped(reason) => self.dropped.get(&reason),
            Counter::Event(name) => return self.events.with_label_values(&[name]).get(),
        };
        line.map_or(0, IntCounter::get)
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: i64) {
        if let Some(line) = self.gauges.get(&gauge) {
            line.set(value);
        }
    }

    /// Moves a gauge up or down.
    pub fn add(&self, gauge: Gauge, change: i64) {
        if let Some(line) = self.gauges.get(&gauge) {
            line.add(change);
        }
    }

    /// What a gauge stands at.
    pub fn value(&self, gauge: Gauge) -> i64 {
        self.gauges.get(&gauge).map_or(0, IntGauge::get)
    }

    /// Takes a duration into its histogram.
    pub fn observe(&self, timing: Timing, duration: Duration) {
        if let Some(line) = self.timings.get(&timing) {
            line.observe(duration.as_secs_f64());
        }
    }

    /// Everything in the text format that Prometheus reads.
    pub fn render(&self) -> String {
        // Encoding fails only for a metric without samples or name, and every one here has both.
        TextEncoder::new().encode_to_string(&self.lines.registry.gather()).unwrap_or_default()
    }
}

/// Makes and registers metrics that carry the node's labels.
#[derive(Debug)]
struct LineMaker {
    registry: Registry,
    labels: HashMap<String, String>,
}

impl LineMaker {
    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(name, help).namespace(PREFIX).const_labels(self.labels.clone())
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = self.opts(name, help);
        let line = IntCounterVec::new(opts, labels).expect("the name is valid");
        self.registry.register(Box::new(line.clone())).expect("each name is registered once");
        line
    }

    fn gauge(&self, gauge: Gauge) -> IntGauge {
        let opts = self.opts(gauge.name(), gauge.help());
        let line = IntGauge::with_opts(opts).expect("the name is valid");
        self.registry.register(Box::new(line.clone())).expect("each name is registered once");
        line
    }

    fn histogram(&self, timing: Timing) -> Histogram {
        let opts = HistogramOpts::from(self.opts(timing.name(), timing.help()));
        let opts = opts.buckets(timing.buckets().to_vec());
        let line = Histogram::with_opts(opts).expect("the buckets rise");
        self.registry.register(Box::new(line.clone())).expect("each name is registered once");
        line
    }
}
