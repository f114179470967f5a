//! Counters of messages between gateways.

use notch_telemetry::prelude::*;

/// Label value of messages queued on a link.
const SENT: &str = "sent";
/// Label value of messages received on a link.
const RECEIVED: &str = "received";

/// Counts messages and bytes between gateways. The default value counts nothing.
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
    /// Counters that are exported by `metrics`.
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

    /// Counts a message that was queued on `links` links.
    pub fn note_sent(&self, kind: &'static str, bytes: usize, links: usize) {
        self.note(kind, SENT, bytes, links);
    }

    /// Counts a received message.
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
