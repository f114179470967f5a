//! The gateway's decisions on online requests: which sidecar, when again, when never again, and
//! what the caller is told. Pure state machines; the gateway's daemon carries the effects out.

pub mod account_use;
pub mod effect;
pub mod event;
pub mod policy;
pub mod router;
pub mod settings;
pub mod stream_assembly;

pub use crate::{
    account_use::AccountUse,
    effect::{RequestEnd, RouterEffect},
    event::{ArrivalId, OnlineRequest, RouterEvent},
    policy::{AccountLimit, TargetPolicy},
    router::OnlineRouter,
    settings::RouterSettings,
    stream_assembly::{AssemblyError, StreamAssembly},
};
