//! The object API as an edge that tests can replace.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use notch_types::object::{StoreOp, StoreResult};

/// Carries calls to the platform's object API.
pub trait ObjectApi: Send + Sync {
    /// Makes one call. Ends within the client's time limit, whatever the platform does.
    /// Dropping the future of a write leaves it open whether the write took effect.
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult>;
}

impl<T: ObjectApi + ?Sized> ObjectApi for Arc<T> {
    fn call(&self, op: StoreOp) -> BoxFuture<'_, StoreResult> {
        (**self).call(op)
    }
}
