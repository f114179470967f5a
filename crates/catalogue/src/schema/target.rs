//! Entries of models and plain services.

use notch_types::class::TargetKind;

use super::{fault::FaultKind, reader::FieldReader};

/// Which work a target takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetClass {
    /// Online requests only.
    Online,
    /// Batch items only.
    Batch,
    /// Both, online first.
    Mixed,
}

impl TargetClass {
    /// Whether the target takes online requests.
    pub fn takes_online(self) -> bool {
        self != Self::Batch
    }

    /// Whether the target takes batch items.
    pub fn takes_batch(self) -> bool {
        self != Self::Online
    }
}

/// What an engine does for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingRole {
    /// Prompts and answers.
    Mixed,
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
}

/// Bounds at each sidecar of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetLimits {
    /// Requests and items running at once; the sidecar may learn a lower bound.
    pub concurrency: u32,
    /// Online requests waiting for admission.
    pub queue: u32,
    /// Deadline of a request that names none, milliseconds.
    pub default_deadline_ms: u64,
    /// Longest deadline a request may name, milliseconds.
    pub max_deadline_ms: u64,
    /// Largest body, bytes.
    pub max_body_bytes: u64,
    /// Largest answer, bytes.
    pub max_answer_bytes: u64,
    /// Most tokens generated for one request.
    pub max_tokens: u32,
}

impl Default for TargetLimits {
    fn default() -> Self {
        Self {
            concurrency: 16,
            queue: 64,
            default_deadline_ms: 30_000,
            max_deadline_ms: 600_000,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 4 << 20,
            max_tokens: 4_096,
        }
    }
}

/// How batch work runs on a target.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchPolicy {
    /// Attempts of an item before it ends as failed.
    pub max_attempts: u32,
    /// Greatest share of concurrency that a job which would be late may take from online, 0 to 1.
    pub floor_share: f64,
    /// Most items of a lot.
    pub lot_items: u32,
    /// Hours that results stay readable after the job's end.
    pub retention_hours: u32,
}

impl Default for BatchPolicy {
    fn default() -> Self {
        Self { max_attempts: 3, floor_share: 0.2, lot_items: 8, retention_hours: 72 }
    }
}

/// Which model a target's engines load, and on how many servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSpec {
    /// The version in the weight store.
    pub version: String,
    /// Adapters to load beside it.
    pub adapters: Vec<String>,
    /// Servers wanted.
    pub replicas: u32,
    /// Servers below which no planned change may go.
    pub min_replicas: u32,
    /// What the engines do.
    pub role: ServingRole,
}

/// A model or a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetEntry {
    /// Who answers for it.
    pub owner: String,
    /// Which work it takes.
    pub class: TargetClass,
    /// What kind of process it is.
    pub kind: TargetKind,
    /// Bounds at each sidecar.
    pub limits: TargetLimits,
    /// Whether requests may run more than once, unless their path says otherwise.
    pub idempotent: bool,
    /// Paths (with all below them) whose requests run at most once.
    pub non_idempotent_paths: Vec<String>,
    /// How batch work runs.
    pub batch: BatchPolicy,
    /// Which model; engines only.
    pub model: Option<ModelSpec>,
    /// Whether the target itself refuses orders with an old fencing token.
    pub fence_checked: bool,
    /// Whether the target is gone from the fleet.
    pub retired: bool,
}

impl TargetEntry {
    /// Whether a request to `path` may run more than once.
    ///
    /// A request that the path list names runs at most once even when the target as a whole is
    /// idempotent; nothing makes a single path of a non-idempotent target repeatable.
    pub fn may_repeat(&self, path: &str) -> bool {
        let bare = path.split(['?', '#']).next().unwrap_or(path);
        self.idempotent && !self.non_idempotent_paths.iter().any(|prefix| covers(prefix, bare))
    }

    /// Milliseconds that results stay readable.
    pub fn retention_ms(&self) -> u64 {
        u64::from(self.batch.retention_hours) * 3_600_000
    }

    pub(super) fn read(reader: &mut FieldReader<'_>) -> Self {
        let classes = [TargetClass::Online, TargetClass::Batch, TargetClass::Mixed];
        let kinds = [TargetKind::Engine, TargetKind::Service];
        let target = Self {
            owner: reader.required_text("owner"),
            class: classes[reader.word("class", &["online", "batch", "mixed"], 2)],
            kind: kinds[reader.word("kind", &["engine", "service"], 0)],
            limits: reader.section("limits", read_limits).unwrap_or_default(),
            idempotent: reader.boolean("idempotent", true),
            non_idempotent_paths: read_paths(reader),
            batch: reader.section("batch", read_batch).unwrap_or_default(),
            model: reader.section("model", read_model),
            fence_checked: reader.boolean("fence_checked", false),
            retired: reader.boolean("retired", false),
        };
        if target.kind == TargetKind::Service && target.model.is_some() {
            reader.fault("model", FaultKind::Rule("is for engines only"));
        }
        target
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn read_paths(reader: &mut FieldReader<'_>) -> Vec<String> {
    let paths = reader.texts("non_idempotent_paths");
    if !paths.iter().all(|path| path.starts_with('/')) {
        reader.fault("non_idempotent_paths", FaultKind::Rule("must begin with '/' each"));
    }
    paths
}

fn read_limits(reader: &mut FieldReader<'_>) -> TargetLimits {
    let usual = TargetLimits::default();
    let longest = 24 * 3_600_000;
    let limits = TargetLimits {
        concurrency: reader.count("concurrency", 1..=65_536, usual.concurrency),
        queue: reader.count("queue", 0..=65_536, usual.queue),
        default_deadline_ms: reader.whole(
            "default_deadline_ms",
            1..=longest,
            usual.default_deadline_ms,
        ),
        max_deadline_ms: reader.whole("max_deadline_ms", 1..=longest, usual.max_deadline_ms),
        max_body_bytes: reader.whole("max_body_bytes", 1..=1 << 24, usual.max_body_bytes),
        max_answer_bytes: reader.whole("max_answer_bytes", 1..=1 << 26, usual.max_answer_bytes),
        max_tokens: reader.count("max_tokens", 1..=1_000_000, usual.max_tokens),
    };
    if limits.default_deadline_ms > limits.max_deadline_ms {
        let rule = "must not be above max_deadline_ms";
        reader.fault("default_deadline_ms", FaultKind::Rule(rule));
    }
    limits
}

fn read_batch(reader: &mut FieldReader<'_>) -> BatchPolicy {
    let usual = BatchPolicy::default();
    BatchPolicy {
        max_attempts: reader.count("max_attempts", 1..=20, usual.max_attempts),
        floor_share: reader.fraction("floor_share", 0.0..=1.0, usual.floor_share),
        lot_items: reader.count("lot_items", 1..=1_024, usual.lot_items),
        retention_hours: reader.count("retention_hours", 1..=24 * 366, usual.retention_hours),
    }
}

fn read_model(reader: &mut FieldReader<'_>) -> ModelSpec {
    let roles = [ServingRole::Mixed, ServingRole::Prefill, ServingRole::Decode];
    let replicas = reader.count("replicas", 0..=10_000, 1);
    let model = ModelSpec {
        version: reader.required_text("version"),
        adapters: reader.texts("adapters"),
        replicas,
        min_replicas: reader.count("min_replicas", 0..=10_000, replicas.min(1)),
        role: roles[reader.word("role", &["mixed", "prefill", "decode"], 0)],
    };
    if model.min_replicas > model.replicas {
        reader.fault("min_replicas", FaultKind::Rule("must not be above replicas"));
    }
    model
}
