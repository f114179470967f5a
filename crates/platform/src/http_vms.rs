//! The VM list over HTTP.

use std::time::Duration;

use futures_util::future::BoxFuture;
use notch_http::prelude::*;

use crate::{
    exchange::Exchanger,
    vm_listing::{ListingFailure, VmListing, VmRecord},
    wire::VMS_PATH,
};

/// The client of the VM list.
pub struct HttpVms {
    exchanger: Exchanger,
}

impl HttpVms {
    /// A client of the list at `address` (`ip:port`); each call ends within `time_limit`.
    pub fn new(address: &str, time_limit: Duration) -> Self {
        Self { exchanger: Exchanger::new(address, time_limit) }
    }

    async fn read(&self) -> Result<Vec<VmRecord>, ListingFailure> {
        let url = self.exchanger.url(VMS_PATH).ok_or(ListingFailure::Unavailable)?;
        let request = Request::new(Method::Get, url);
        let answer = self.exchanger.send(request, Duration::ZERO).await;
        let answer = answer.map_err(|_| ListingFailure::Unavailable)?;
        match answer.status() {
            200 => serde_json::from_slice(&answer.body).map_err(|_| ListingFailure::Malformed),
            429 => Err(ListingFailure::Throttled { retry_after_ms: answer.retry_after_ms() }),
            500..=599 => Err(ListingFailure::Unavailable),
            _ => Err(ListingFailure::Malformed),
        }
    }
}

impl VmListing for HttpVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, ListingFailure>> {
        Box::pin(self.read())
    }
}
