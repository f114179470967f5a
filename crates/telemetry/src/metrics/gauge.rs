//! Gauges: metrics whose values can rise and fall.

/// A gauge of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Gauge {
    /// Open connections of callers.
    ConnectionsOpen,
    /// Established links to sidecars.
    SidecarLinks,
    /// Established links to gateways.
    GatewayLinks,
    /// Running online attempts.
    OnlineRunning,
    /// Online attempts that wait for admission.
    OnlineWaiting,
    /// Running batch items.
    BatchRunning,
    /// Concurrency limit in force.
    AdmissionLimit,
    /// Targets that answer.
    TargetsUp,
    /// Open circuits.
    CircuitsOpen,
    /// Gateways that are considered alive.
    MembersAlive,
    /// Gateways that are suspected of having failed.
    MembersSuspect,
    /// Catalogue entries in force.
    EntriesInForce,
    /// Ledger shards that this gateway owns.
    ShardsOwned,
    /// Open jobs in the shards that this gateway owns.
    JobsOpen,
    /// Open items in the shards that this gateway owns.
    ItemsOpen,
    /// Lots that are leased to sidecars.
    LotsLeased,
    /// Size of the results that are buffered until the ledger accepts them, bytes.
    ResultBufferBytes,
    /// Whether the object API answers: 1 or 0.
    StoreUp,
    /// Epoch of the placement lease while this gateway holds it, otherwise 0.
    PlacementEpoch,
    /// Placement orders without an answer.
    OrdersOpen,
    /// Quarantined fingerprints.
    Quarantined,
    /// Whether the process is shutting down: 1 or 0.
    Leaving,
}

impl Gauge {
    /// Every gauge, so that each can be registered at start-up.
    pub const ALL: [Gauge; 22] = [
        Self::ConnectionsOpen,
        Self::SidecarLinks,
        Self::GatewayLinks,
        Self::OnlineRunning,
        Self::OnlineWaiting,
        Self::BatchRunning,
        Self::AdmissionLimit,
        Self::TargetsUp,
        Self::CircuitsOpen,
        Self::MembersAlive,
        Self::MembersSuspect,
        Self::EntriesInForce,
        Self::ShardsOwned,
        Self::JobsOpen,
        Self::ItemsOpen,
        Self::LotsLeased,
        Self::ResultBufferBytes,
        Self::StoreUp,
        Self::PlacementEpoch,
        Self::OrdersOpen,
        Self::Quarantined,
        Self::Leaving,
    ];

    /// The metric's name, without the common prefix.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionsOpen => "connections_open",
            Self::SidecarLinks => "sidecar_links",
            Self::GatewayLinks => "gateway_links",
            Self::OnlineRunning => "online_running",
            Self::OnlineWaiting => "online_waiting",
            Self::BatchRunning => "batch_running",
            Self::AdmissionLimit => "admission_limit",
            Self::TargetsUp => "targets_up",
            Self::CircuitsOpen => "circuits_open",
            Self::MembersAlive => "members_alive",
            Self::MembersSuspect => "members_suspect",
            Self::EntriesInForce => "entries_in_force",
            Self::ShardsOwned => "shards_owned",
            Self::JobsOpen => "jobs_open",
            Self::ItemsOpen => "items_open",
            Self::LotsLeased => "lots_leased",
            Self::ResultBufferBytes => "result_buffer_bytes",
            Self::StoreUp => "store_up",
            Self::PlacementEpoch => "placement_epoch",
            Self::OrdersOpen => "orders_open",
            Self::Quarantined => "quarantined_fingerprints",
            Self::Leaving => "leaving",
        }
    }

    /// Help text shown with the metric.
    pub fn help(self) -> &'static str {
        match self {
            Self::ConnectionsOpen => "Callers' connections open",
            Self::SidecarLinks => "Links up to sidecars",
            Self::GatewayLinks => "Links up to gateways",
            Self::OnlineRunning => "Online attempts running",
            Self::OnlineWaiting => "Online attempts waiting for admission",
            Self::BatchRunning => "Batch items running",
            Self::AdmissionLimit => "Concurrency limit in force",
            Self::TargetsUp => "Targets that answer",
            Self::CircuitsOpen => "Circuits open",
            Self::MembersAlive => "Gateways held alive",
            Self::MembersSuspect => "Gateways under suspicion",
            Self::EntriesInForce => "Catalogue entries in force",
            Self::ShardsOwned => "Ledger shards owned",
            Self::JobsOpen => "Jobs open in the shards owned",
            Self::ItemsOpen => "Items open in the shards owned",
            Self::LotsLeased => "Lots leased to sidecars",
            Self::ResultBufferBytes => "Results held until the ledger takes them, bytes",
            Self::StoreUp => "Whether the object API answers",
            Self::PlacementEpoch => "Epoch of the placement lease while held here, else 0",
            Self::OrdersOpen => "Orders without an answer",
            Self::Quarantined => "Fingerprints in quarantine",
            Self::Leaving => "Whether the process is leaving",
        }
    }
}
