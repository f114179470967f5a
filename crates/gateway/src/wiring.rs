//! From a gateway's settings to the settings of its parts.

use std::time::Duration;

use notch_catalogue::CatalogueSettings;
use notch_http::prelude::ServerLimits;
use notch_jobs::prelude::JobSettings;
use notch_ledger::ShardSettings;
use notch_link::prelude::{LinkSecret, LinkSettings};
use notch_membership::MembershipSettings;
use notch_messages::prelude::NodeRole;
use notch_placement::prelude::{LeaseSettings, PlannerSettings};
use notch_routing::RouterSettings;
use notch_settings::prelude::GatewayConfig;
use notch_types::prelude::*;

/// Longest time for one request, the upload of a large job over a slow line included.
const LONGEST_UPLOAD: Duration = Duration::from_secs(3_600);

/// A ledger shard's settings.
pub fn shard_settings(
    config: &GatewayConfig,
    shard: ShardId,
    incarnation: Incarnation,
) -> ShardSettings {
    let ledger = &config.ledger;
    let usual = ShardSettings::default();
    // Two tries with the longest pause between them and one call must fit the lease.
    let call_timeout = config.platform.call_timeout.min(ledger.lease / 2);
    let backoff_max = ((ledger.lease - call_timeout) / 2).min(usual.backoff_max);
    ShardSettings {
        shard,
        writer: config.node.vm.clone(),
        incarnation,
        lease: ledger.lease,
        renew_every: ledger.renew,
        least_tenure: ledger.lease * 3,
        poll_every: usual.poll_every.min(ledger.lease / 2),
        commit_delay_max: ledger.commit_delay_max,
        commit_delay_min: usual.commit_delay_min.min(ledger.commit_delay_max),
        inline_limit_bytes: ledger.inline_limit as usize,
        backoff_max,
        backoff_min: usual.backoff_min.min(backoff_max),
        call_timeout,
        grace: ledger.grace,
        ..usual
    }
}

/// A shard's service's settings.
pub fn job_settings(config: &GatewayConfig) -> JobSettings {
    JobSettings {
        lease: config.jobs.lot_lease,
        lot_items: config.jobs.lot_items,
        max_items: config.jobs.max_items,
        buffered_bytes: config.jobs.result_buffer as usize,
        chunk_grace: config.ledger.grace,
        ..JobSettings::default()
    }
}

/// The router's settings.
pub fn router_settings(config: &GatewayConfig) -> RouterSettings {
    let mut settings = RouterSettings {
        domain: config.node.domain.to_string(),
        default_deadline: config.online.deadline,
        ..RouterSettings::default()
    };
    settings.retry.max_attempts = config.online.attempts;
    settings.retry.budget_share = config.online.retry_budget;
    // The brief's promise goes first: "not run" must be true even when an earlier send of the
    // same key ran through a gateway that can't be asked any more.
    settings.claim.doubt_other_gateways = true;
    settings
}

/// The member table's settings.
pub fn membership_settings(config: &GatewayConfig) -> MembershipSettings {
    MembershipSettings {
        ping_interval: config.membership.ping_every,
        ack_timeout: config.membership.ping_timeout,
        indirect_timeout: config.membership.ping_timeout * 2,
        suspect_timeout: config.membership.suspect_after,
        ..MembershipSettings::default()
    }
}

/// The catalogue's settings.
pub fn catalogue_settings(config: &GatewayConfig) -> CatalogueSettings {
    CatalogueSettings {
        watchers_per_domain: config.membership.watchers as usize,
        watch_wait: config.platform.watch_wait,
        ..CatalogueSettings::default()
    }
}

/// The placement planner's settings.
pub fn planner_settings(config: &GatewayConfig, incarnation: Incarnation) -> PlannerSettings {
    let placement = &config.placement;
    PlannerSettings {
        lease: LeaseSettings {
            vm: config.node.vm.clone(),
            incarnation,
            lease: placement.lease,
            margin: placement.lease / 10,
            renew: placement.renew,
            standby_poll: placement.standby_poll,
            call_timeout: config.platform.call_timeout,
            ..LeaseSettings::default()
        },
        plan_every: placement.plan_every,
        loads_at_once: placement.loads_at_once as usize,
        order_timeout: placement.order_timeout,
        settle: placement.settle,
        silent_after: placement.silent_after,
        repair_delay: placement.repair_delay,
        move_delay: placement.move_delay,
        rollout_soak: placement.rollout_soak,
        ..PlannerSettings::default()
    }
}

/// The links' settings.
pub fn link_settings(config: &GatewayConfig, secret: &[u8]) -> LinkSettings {
    LinkSettings {
        vm: config.node.vm.clone(),
        role: NodeRole::Gateway,
        secret: LinkSecret::new(secret),
        heartbeat: config.links.heartbeat,
        silence: config.links.silence,
        ..LinkSettings::default()
    }
}

/// What the callers' server allows. A job's input streams through, so the server's own bound on
/// bodies is the largest job; the bodies of online requests are bounded where they are read.
pub fn server_limits(config: &GatewayConfig) -> ServerLimits {
    let usual = ServerLimits::default();
    let limits = &config.limits;
    ServerLimits {
        max_connections: limits.connections as usize,
        head_bytes: usual.head_bytes.min(limits.header as usize),
        body_bytes: config.jobs.max_line.saturating_mul(u64::from(config.jobs.max_items)),
        head_timeout: limits.header_timeout,
        body_timeout: limits.idle_timeout,
        write_timeout: limits.idle_timeout,
        request_timeout: LONGEST_UPLOAD,
        ..usual
    }
}
