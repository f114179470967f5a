//! What a sidecar wants of a target.

use notch_http::prelude::*;
use notch_messages::prelude::*;

use crate::{
    call::{CallAnswer, CallSink, TargetCall},
    probe::{CacheReport, TargetProbe},
};

/// The way to one target. Dropping a call's future cuts its connection.
pub trait TargetLink: Send + Sync + 'static {
    /// Makes a call and hears it to its end.
    fn run<'a>(
        &'a self,
        call: &'a TargetCall,
        sink: &'a mut dyn CallSink,
    ) -> BoxFuture<'a, CallAnswer>;

    /// Tells the target to stop a call whose connection was cut. Done when the target confirms,
    /// or nothing came for the connect time-out.
    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, ()>;

    /// Finds out whether the target answers.
    fn probe(&self) -> BoxFuture<'_, TargetProbe>;

    /// Models held, with the engine's role; `None` when it doesn't say, or there is none.
    fn holdings(&self) -> BoxFuture<'_, Option<(String, Vec<HeldModel>)>>;

    /// News of the prefix cache after `cursor`; `None` when it doesn't say, or there is none.
    fn cache_events(&self, cursor: u64) -> BoxFuture<'_, Option<CacheReport>>;

    /// Gives an order and waits for its end.
    fn order<'a>(&'a self, order: &'a TargetOrder) -> BoxFuture<'a, OrderOutcome>;
}
