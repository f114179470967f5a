//! Messages between gateways, counted by kind.

use notch_telemetry::prelude::*;

/// Label of messages that were queued for a link.
const SENT: &str = "sent";
/// Label of messages that came on a link.
const RECEIVED: &str = "received";

/// Counts messages and bytes between gateways; nothing in a process without metrics.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    counters: Option<TrafficCounters>,
}

#[derive(Debug)]
struct TrafficCounters {
    messages: PairCounter,
    bytes: PairCounter,
}

impl PeerTraffic {
    /// Counts that `metrics` shows.
    pub fn new(metrics: &Metrics) -> Self {
        let labels = ["kind", "way"];
        let messages = metrics.pair_counter(
            "peer_messages_total",
            "Messages between gateways by kind and way",
            labels,
        );
        let bytes = metrics.pair_counter(
            "peer_bytes_total",
            "Bytes of messages between gateways by kind and way",
            labels,
        );
        Self { counters: Some(TrafficCounters { messages, bytes }) }
    }

    /// A message was queued for `links` links.
    pub fn note_sent(&self, kind: &'static str, bytes: usize, links: usize) {
        self.note(kind, SENT, bytes, links);
    }

    /// A message came.
    pub fn note_received(&self, kind: &'static str, bytes: usize) {
        self.note(kind, RECEIVED, bytes, 1);
    }

    fn note(&self, kind: &'static str, way: &'static str, bytes: usize, count: usize) {
        if let Some(counters) = &self.counters {
            counters.messages.add(kind, way, count as u64);
            counters.bytes.add(kind, way, (bytes * count) as u64);
        }
    }
}
