//! What `measure online` found: as a table and as JSON.

use std::fmt;

use serde_json::{Map, Value, json};

use crate::{
    fleet::FleetProfile,
    measure::{
        hop_cost::HopCost,
        segment::SegmentFigures,
        settings::{ENGINES, engine_settings},
    },
};

/// Online p99 with batch over that without: the aim.
pub const AIM_HARM: f64 = 1.10;
/// Share of what online leaves that batch uses: the aim.
pub const AIM_SPARE: f64 = 0.90;

/// The same load under one latency weight.
#[derive(Debug, Clone)]
pub struct WeightFigures {
    /// The policy entry's weight.
    pub latency_weight: f64,
    /// What was measured.
    pub segment: SegmentFigures,
}

/// One deployment's figures.
#[derive(Debug, Clone)]
pub struct ProfileReport {
    /// Whose.
    pub profile: FleetProfile,
    /// Tokens that the engines make a second when every slot is always taken.
    pub capacity: f64,
    /// Online alone.
    pub alone: SegmentFigures,
    /// Online and batch under the policy.
    pub policy: SegmentFigures,
    /// Batch alone.
    pub batch_alone: SegmentFigures,
    /// Online and batch, first come first served.
    pub naive: SegmentFigures,
    /// Online and batch under the policy, with faults.
    pub faults: SegmentFigures,
    /// Under other latency weights.
    pub weights: Vec<WeightFigures>,
}

/// Everything that one run found.
#[derive(Debug, Clone)]
pub struct OnlineReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// What gateway and sidecar add, where it was measured.
    pub hop: Option<HopCost>,
    /// By deployment.
    pub profiles: Vec<ProfileReport>,
    /// The machine's load averages at the start.
    pub load_before: String,
    /// And at the end.
    pub load_after: String,
}

impl ProfileReport {
    /// Online p99 to first token with batch over that without.
    pub fn harm(&self) -> f64 {
        self.policy.online.first_token_of_all.at(0.99)
            / self.alone.online.first_token_of_all.at(0.99)
    }

    /// Tokens a second that online work alone made.
    pub fn online_tokens_per_s(&self) -> f64 {
        self.alone.tokens_per_s()
    }

    /// Share of the engines' tokens that online work alone made.
    pub fn online_share(&self) -> f64 {
        self.online_tokens_per_s() / self.capacity
    }

    /// Tokens a second that online work leaves: the engines' capacity, less the time that reading
    /// online prompts takes from every stream, less the tokens of online answers.
    pub fn left_tokens_per_s(&self) -> f64 {
        let reading = engine_settings().per_prefill_token.as_secs_f64();
        let reading = reading * self.alone.prefilled as f64 / self.alone.seconds / ENGINES as f64;
        self.capacity * (1.0 - reading) - self.online_tokens_per_s()
    }

    /// Tokens a second of whole batch answers.
    pub fn batch_tokens_per_s(&self, segment: &SegmentFigures) -> f64 {
        segment.items_per_s() * f64::from(self.profile.batch_answer)
    }

    /// Share of what online leaves that batch made into whole answers.
    pub fn spare_used(&self, segment: &SegmentFigures) -> f64 {
        self.batch_tokens_per_s(segment) / self.left_tokens_per_s()
    }

    /// Batch alone over the engines' capacity.
    pub fn batch_alone_share(&self) -> f64 {
        self.batch_tokens_per_s(&self.batch_alone) / self.capacity
    }

    /// Share of the tokens made that went into no whole answer, under the policy.
    pub fn wasted_share(&self) -> f64 {
        let used = self.online_tokens_per_s() + self.batch_tokens_per_s(&self.policy);
        1.0 - used / self.policy.tokens_per_s()
    }

    fn variants(&self) -> [(&'static str, &SegmentFigures); 5] {
        [
            ("online alone", &self.alone),
            ("batch alone", &self.batch_alone),
            ("both, this policy", &self.policy),
            ("both, first come first served", &self.naive),
            ("both, this policy, with faults", &self.faults),
        ]
    }

    fn keys(&self) -> Map<String, Value> {
        let mut keys = Map::new();
        let variants = [
            ("online_alone", &self.alone),
            ("online_policy", &self.policy),
            ("online_naive", &self.naive),
            ("online_faults", &self.faults),
        ];
        for (name, segment) in variants {
            let (first, gaps) = (&segment.online.first_token_of_all, &segment.online.gaps);
            for (place, share) in [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)] {
                keys.insert(format!("{name}_ttft_{place}_ms"), json!(first.at(share)));
                keys.insert(format!("{name}_between_tokens_{place}_ms"), json!(gaps.at(share)));
            }
            let online = &segment.online;
            keys.insert(format!("{name}_sent"), json!(online.sent));
            keys.insert(format!("{name}_right"), json!(online.right));
            keys.insert(format!("{name}_wrong"), json!(online.wrong));
            keys.insert(format!("{name}_refused"), json!(online.refused));
            keys.insert(format!("{name}_unanswered"), json!(online.unanswered));
            keys.insert(format!("{name}_caller_retries"), json!(online.retries));
            keys.insert(format!("{name}_inside"), segment.inside.to_json());
        }
        let batch = [
            ("batch_alone", &self.batch_alone),
            ("batch_policy", &self.policy),
            ("batch_naive", &self.naive),
            ("batch_faults", &self.faults),
        ];
        for (name, segment) in batch {
            keys.insert(format!("{name}_items_per_s"), json!(segment.items_per_s()));
            keys.insert(format!("{name}_failed"), json!(segment.failed));
        }
        keys.insert("batch_alone_inside".to_owned(), self.batch_alone.inside.to_json());
        keys.insert("ttft_p99_with_batch_over_without".to_owned(), json!(self.harm()));
        keys.insert("spare_capacity_used".to_owned(), json!(self.spare_used(&self.policy)));
        keys.insert("spare_capacity_used_naive".to_owned(), json!(self.spare_used(&self.naive)));
        keys.insert("batch_alone_share_of_capacity".to_owned(), json!(self.batch_alone_share()));
        keys.insert("online_share_of_capacity".to_owned(), json!(self.online_share()));
        keys.insert("capacity_tokens_per_s".to_owned(), json!(self.capacity));
        keys.insert("wasted_token_share".to_owned(), json!(self.wasted_share()));
        let weights = self.weights.iter().map(|tried| {
            json!({
                "latency_weight": tried.latency_weight,
                "ttft_p99_ms": tried.segment.online.first_token_of_all.at(0.99),
                "between_tokens_p95_ms": tried.segment.online.gaps.at(0.95),
                "batch_items_per_s": tried.segment.items_per_s(),
                "spare_capacity_used": self.spare_used(&tried.segment),
                "inside": tried.segment.inside.to_json(),
            })
        });
        keys.insert("weights".to_owned(), weights.collect());
        keys
    }
}

impl OnlineReport {
    /// One JSON object: the first profile's figures, all profiles by name, and the hop's.
    pub fn to_json(&self) -> Value {
        let mut keys = self.profiles.first().map(ProfileReport::keys).unwrap_or_default();
        let profiles = self.profiles.iter().map(|profile| {
            let name = profile.profile.name.to_owned();
            (name, Value::Object(profile.keys()))
        });
        keys.insert("profiles".to_owned(), Value::Object(profiles.collect()));
        keys.insert("added_latency".to_owned(), json!(self.hop.as_ref().map(HopCost::to_json)));
        keys.insert("seed".to_owned(), json!(self.seed));
        keys.insert("load_average_before".to_owned(), json!(self.load_before));
        keys.insert("load_average_after".to_owned(), json!(self.load_after));
        Value::Object(keys)
    }

    /// Whether every answer was right, and none had no end.
    pub fn holds(&self) -> bool {
        let segments = self.profiles.iter().flat_map(ProfileReport::variants);
        let segments = segments.map(|(_, segment)| &segment.online);
        let mut segments = segments.filter(|online| online.wrong + online.unanswered > 0);
        segments.next().is_none() && self.hop.as_ref().is_none_or(|hop| hop.wrong == 0)
    }
}

impl fmt::Display for ProfileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: latency weight {}", self.profile.name, self.profile.latency_weight)?;
        writeln!(
            f,
            "  {:<31} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7}",
            "", "first", "token", "", "between", "tokens", "", "batch", "spare"
        )?;
        writeln!(
            f,
            "  {:<31} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7}",
            "milliseconds", "p50", "p95", "p99", "p50", "p95", "p99", "items/s", "used"
        )?;
        for (name, segment) in self.variants() {
            if segment.seconds == 0.0 {
                continue;
            }
            self.write_row(f, name, segment)?;
        }
        for tried in &self.weights {
            let name = format!("both, latency weight {}", tried.latency_weight);
            self.write_row(f, &name, &tried.segment)?;
        }
        writeln!(f, "  first token p99 with batch over without: {:.2}", self.harm())?;
        writeln!(
            f,
            "  engines alone: {:.0} tokens/s; of it online {:.2}, batch alone {:.2}, under the policy lost {:.3}",
            self.capacity,
            self.online_share(),
            self.batch_alone_share(),
            self.wasted_share()
        )?;
        let faults = &self.faults.online;
        write!(
            f,
            "  with faults: {} sent, {} right, {} wrong, {} refused, {} unanswered, {} tries again",
            faults.sent,
            faults.right,
            faults.wrong,
            faults.refused,
            faults.unanswered,
            faults.retries
        )
    }
}

impl ProfileReport {
    fn write_row(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        segment: &SegmentFigures,
    ) -> fmt::Result {
        let (first, gaps) = (&segment.online.first_token_of_all, &segment.online.gaps);
        write!(f, "  {name:<31}")?;
        for report in [first, gaps] {
            for share in [0.50, 0.95, 0.99] {
                match report.is_empty() {
                    true => write!(f, " {:>8}", "")?,
                    false => write!(f, " {:>8.1}", report.at(share))?,
                }
            }
        }
        match segment.items {
            0 => writeln!(f),
            _ => writeln!(f, " {:>9.1} {:>7.2}", segment.items_per_s(), self.spare_used(segment)),
        }
    }
}

impl fmt::Display for OnlineReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for profile in &self.profiles {
            writeln!(f, "{profile}\n")?;
        }
        if let Some(hop) = &self.hop {
            let (p50, p99) = (hop.added(0.50), hop.added(0.99));
            writeln!(f, "gateway and sidecar, on top of the engine")?;
            writeln!(f, "  added to first token  p50 {p50:.2} ms, p99 {p99:.2} ms")?;
            let (processor, tokens) = (hop.processor_us(), hop.answer_tokens);
            writeln!(f, "  processor time        {processor:.0} µs a request of {tokens} tokens")?;
        }
        writeln!(f, "aims: p99 ratio at most {AIM_HARM}, spare used at least {AIM_SPARE}")?;
        write!(f, "load average {} before, {} after", self.load_before, self.load_after)
    }
}
