//! The Prometheus metrics of one node.

use std::{collections::HashMap, time::Duration};

use notch_types::prelude::*;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::metrics::{Gauge, PairCounter, Timing};

/// Namespace prefix of every metric name.
const PREFIX: &str = "notch";

/// All metrics of one node. Every method takes `&self`, so they can be shared with an `Arc`.
#[derive(Debug)]
pub struct Metrics {
    factory: MetricFactory,
    refused: FastMap<RefusalReason, IntCounter>,
    retried: FastMap<RetryReason, IntCounter>,
    dropped: FastMap<DropReason, IntCounter>,
    /// One series per event name. Names are string literals, which bounds the number of series.
    events: IntCounterVec,
    gauges: FastMap<Gauge, IntGauge>,
    timings: FastMap<Timing, Histogram>,
}

impl Metrics {
    /// Creates metrics with the labels `vm` and `domain`. The counter of every reason exists from the
    /// start at zero, so that rates can be queried before its first increment.
    pub fn new(vm: &VmName, domain: &DomainName) -> Self {
        let labels = HashMap::from([
            ("vm".to_owned(), vm.to_string()),
            ("domain".to_owned(), domain.to_string()),
        ]);
        let factory = MetricFactory { registry: Registry::new(), labels };
        let refused = factory.counters("refusals_total", "Refusals by reason", &["reason"]);
        let retried = factory.counters("retries_total", "Retries by reason", &["reason"]);
        let dropped = factory.counters("drops_total", "Drops by reason", &["reason"]);
        let events = factory.counters("events_total", "Events by name", &["event"]);
        let metric = |vec: &IntCounterVec, code| vec.with_label_values(&[code]);
        Self {
            refused: RefusalReason::ALL
                .map(|r| (r, metric(&refused, r.code())))
                .into_iter()
                .collect(),
            retried: RetryReason::ALL
                .map(|r| (r, metric(&retried, r.code())))
                .into_iter()
                .collect(),
            dropped: DropReason::ALL.map(|r| (r, metric(&dropped, r.code()))).into_iter().collect(),
            events,
            gauges: Gauge::ALL.map(|g| (g, factory.gauge(g))).into_iter().collect(),
            timings: Timing::ALL.map(|t| (t, factory.histogram(t))).into_iter().collect(),
            factory,
        }
    }

    /// Registers a counter with two labels.
    ///
    /// # Panics
    /// The name is invalid or already registered.
    pub fn pair_counter(&self, name: &str, help: &str, labels: [&str; 2]) -> PairCounter {
        PairCounter(self.factory.counters(name, help, &labels))
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn count_many(&self, counter: Counter, amount: u64) {
        let metric = match counter {
            Counter::Refused(reason) => self.refused.get(&reason),
            Counter::Retried(reason) => self.retried.get(&reason),
            Counter::Dropped(reason) => self.dropped.get(&reason),
            Counter::Event(name) => {
                self.events.with_label_values(&[name]).inc_by(amount);
                None
            }
        };
        if let Some(metric) = metric {
            metric.inc_by(amount);
        }
    }

    /// The value of a counter; 0 if it was never incremented.
    pub fn counted(&self, counter: Counter) -> u64 {
        let metric = match counter {
            Counter::Refused(reason) => self.refused.get(&reason),
            Counter::Retried(reason) => self.retried.get(&reason),
            Counter::Dropped(reason) => self.dropped.get(&reason),
            Counter::Event(name) => return self.events.with_label_values(&[name]).get(),
        };
        metric.map_or(0, IntCounter::get)
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: i64) {
        if let Some(metric) = self.gauges.get(&gauge) {
            metric.set(value);
        }
    }

    /// Adds `change` to a gauge.
    pub fn add(&self, gauge: Gauge, change: i64) {
        if let Some(metric) = self.gauges.get(&gauge) {
            metric.add(change);
        }
    }

    /// The value of a gauge.
    pub fn value(&self, gauge: Gauge) -> i64 {
        self.gauges.get(&gauge).map_or(0, IntGauge::get)
    }

    /// Records a duration in its histogram.
    pub fn observe(&self, timing: Timing, duration: Duration) {
        if let Some(metric) = self.timings.get(&timing) {
            metric.observe(duration.as_secs_f64());
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        // Encoding fails only for a metric without samples or name, and all of these have both.
        TextEncoder::new().encode_to_string(&self.factory.registry.gather()).unwrap_or_default()
    }
}

/// Creates and registers metrics with the node's labels.
#[derive(Debug)]
struct MetricFactory {
    registry: Registry,
    labels: HashMap<String, String>,
}

impl MetricFactory {
    fn opts(&self, name: &str, help: &str) -> Opts {
        Opts::new(name, help).namespace(PREFIX).const_labels(self.labels.clone())
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = self.opts(name, help);
        let metric = IntCounterVec::new(opts, labels).expect("the name is valid");
        self.registry.register(Box::new(metric.clone())).expect("each name is registered once");
        metric
    }

    fn gauge(&self, gauge: Gauge) -> IntGauge {
        let opts = self.opts(gauge.name(), gauge.help());
        let metric = IntGauge::with_opts(opts).expect("the name is valid");
        self.registry.register(Box::new(metric.clone())).expect("each name is registered once");
        metric
    }

    fn histogram(&self, timing: Timing) -> Histogram {
        let opts = HistogramOpts::from(self.opts(timing.name(), timing.help()));
        let opts = opts.buckets(timing.buckets().to_vec());
        let metric = Histogram::with_opts(opts).expect("the buckets rise");
        self.registry.register(Box::new(metric.clone())).expect("each name is registered once");
        metric
    }
}
