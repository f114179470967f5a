//! The users' deployments, as far as a small fleet can show them.

use serde_json::{Value, json};

/// One user's deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetProfile {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: Vec<&'static str>,
    /// Its model, by catalogue name.
    pub model: &'static str,
    /// What online latency weighs against batch throughput, 0 to 1.
    pub latency_weight: f64,
    /// Share of each target's concurrency that batch leaves free.
    pub online_reserve: f64,
    /// Tokens of an online prompt.
    pub online_prompt: usize,
    /// Tokens of an online answer.
    pub online_answer: u32,
    /// Tokens of a batch item's answer.
    pub batch_answer: u32,
}

impl FleetProfile {
    /// Rahbar Drive Labs: three failure domains, online tail first.
    pub fn rahbar() -> Self {
        Self {
            name: "rahbar",
            domains: vec!["lhr-a", "lhr-b", "lhr-c"],
            model: "diary-assistant",
            latency_weight: 0.9,
            online_reserve: 0.2,
            online_prompt: 120,
            online_answer: 24,
            batch_answer: 60,
        }
    }

    /// Raiffalm Abgleich: four failure domains, batch throughput first.
    pub fn raiffalm() -> Self {
        Self {
            name: "raiffalm",
            domains: vec!["vie-a", "vie-b", "vie-c", "vie-d"],
            model: "statement-matcher",
            latency_weight: 0.4,
            online_reserve: 0.1,
            online_prompt: 80,
            online_answer: 16,
            batch_answer: 40,
        }
    }

    /// The model's catalogue entry, with this bound of work at one sidecar.
    pub fn target_entry(&self, concurrency: u32) -> Value {
        json!({
            "owner": self.name,
            "class": "mixed",
            "kind": "engine",
            "limits": { "concurrency": concurrency, "queue": 64, "default_deadline_ms": 20_000 },
            "batch": { "max_attempts": 4, "floor_share": 0.2, "lot_items": 4, "retention_hours": 24 },
        })
    }

    /// The policy's catalogue entry.
    pub fn policy_entry(&self) -> Value {
        json!({
            "latency_weight": self.latency_weight,
            "online_reserve": self.online_reserve,
        })
    }
}
