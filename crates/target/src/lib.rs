//! The edge to targets: model engines and plain services over HTTP. Nothing else in the system
//! knows how they are spoken to.

pub mod call;
pub mod engine;
mod http_call;
pub mod link;
pub mod probe;
pub mod prompt_head;
pub mod service;
mod sse;

/// What a sidecar needs.
pub mod prelude {
    pub use crate::{
        call::{CallAnswer, CallEnd, CallMode, CallSink, TargetCall},
        engine::{EngineSettings, HttpEngine},
        link::TargetLink,
        probe::{CacheReport, TargetProbe},
        prompt_head::prompt_head,
        service::{HttpService, ServiceSettings},
    };
}
