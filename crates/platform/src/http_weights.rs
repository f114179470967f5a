//! The weight store's permits over HTTP.

use std::time::Duration;

use futures_util::future::BoxFuture;
use notch_http::prelude::*;

use crate::{
    exchange::Exchanger,
    weight_permits::{LoadPermit, PermitFailure, PermitRequest, WeightPermits},
    wire::PERMITS_PATH,
};

/// The client of the weight store.
pub struct HttpWeights {
    exchanger: Exchanger,
}

impl HttpWeights {
    /// A client of the store at `address` (`ip:port`); each call ends within `time_limit`.
    pub fn new(address: &str, time_limit: Duration) -> Self {
        Self { exchanger: Exchanger::new(address, time_limit) }
    }

    async fn request_permit(&self, request: PermitRequest) -> Result<LoadPermit, PermitFailure> {
        let url = self.exchanger.url(PERMITS_PATH).ok_or(PermitFailure::Unavailable)?;
        let mut post = Request::new(Method::Post, url);
        post.set_body(serde_json::to_vec(&request).map_err(|_| PermitFailure::Malformed)?);
        let answer = self.exchanger.send(post, Duration::ZERO).await;
        let answer = answer.map_err(|_| PermitFailure::Unavailable)?;
        match answer.status() {
            200 => serde_json::from_slice(&answer.body).map_err(|_| PermitFailure::Malformed),
            404 => Err(PermitFailure::NoSuchVersion),
            429 => Err(PermitFailure::Throttled { retry_after_ms: answer.retry_after_ms() }),
            500..=599 => Err(PermitFailure::Unavailable),
            _ => Err(PermitFailure::Malformed),
        }
    }
}

impl WeightPermits for HttpWeights {
    fn ask(&self, request: PermitRequest) -> BoxFuture<'_, Result<LoadPermit, PermitFailure>> {
        Box::pin(self.request_permit(request))
    }
}
