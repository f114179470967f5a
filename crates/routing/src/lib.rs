//! The gateway's decisions on online requests: which sidecar, when again, when never again, and
//! what the caller is told. Pure state machines; the gateway's daemon carries the effects out.

pub mod account_table;
pub mod account_use;
pub mod circuit_breaker;
pub mod effect;
pub mod event;
pub mod expiring_set;
pub mod held_ends;
pub mod policy;
pub mod probe;
mod request_state;
pub mod retry_budget;
pub mod router;
pub mod settings;
pub mod sidecar_choice;
pub mod sidecar_table;
pub mod stream_assembly;
pub mod suspect_runs;
pub mod suspect_table;
pub mod target_pool;
mod timer_queue;

pub use crate::{
    account_use::AccountUse,
    effect::{RequestEnd, RouterEffect},
    event::{ArrivalId, OnlineRequest, RouterEvent},
    policy::{AccountLimit, TargetPolicy},
    router::OnlineRouter,
    settings::RouterSettings,
    stream_assembly::{AssemblyError, StreamAssembly},
};
