//! The VM list over HTTP.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use futures_util::future::BoxFuture;
use notch_http::prelude::*;

use crate::{
    exchange::Exchanger,
    vm_listing::{ListingFailure, VmListing, VmRecord},
    wire::VMS_PATH,
};

/// A list, and what names it.
struct KeptList {
    tag: String,
    records: Vec<VmRecord>,
}

/// The client of the VM list. It keeps the last list and asks only for a newer one: a list of the
/// whole fleet, read every few seconds, would otherwise be a node's largest cost.
pub struct HttpVms {
    exchanger: Exchanger,
    /// The last list that had a tag.
    kept: Mutex<Option<KeptList>>,
}

impl HttpVms {
    /// A client of the list at `address` (`ip:port`); each call ends within `time_limit`.
    pub fn new(address: &str, time_limit: Duration) -> Self {
        Self { exchanger: Exchanger::new(address, time_limit), kept: Mutex::new(None) }
    }

    fn kept(&self) -> MutexGuard<'_, Option<KeptList>> {
        self.kept.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn read(&self) -> Result<Vec<VmRecord>, ListingFailure> {
        let url = self.exchanger.url(VMS_PATH).ok_or(ListingFailure::Unavailable)?;
        let mut request = Request::new(Method::Get, url);
        if let Some(kept) = self.kept().as_ref() {
            request.insert_header("if-none-match", kept.tag.as_str());
        }
        let answer = self.exchanger.send(request, Duration::ZERO).await;
        let answer = answer.map_err(|_| ListingFailure::Unavailable)?;
        match answer.status() {
            200 => self.take(answer.header("etag"), &answer.body),
            304 => match self.kept().as_ref() {
                Some(kept) => Ok(kept.records.clone()),
                None => Err(ListingFailure::Malformed),
            },
            429 => Err(ListingFailure::Throttled { retry_after_ms: answer.retry_after_ms() }),
            500..=599 => Err(ListingFailure::Unavailable),
            _ => Err(ListingFailure::Malformed),
        }
    }

    fn take(&self, tag: Option<&str>, body: &[u8]) -> Result<Vec<VmRecord>, ListingFailure> {
        let records: Vec<VmRecord> =
            serde_json::from_slice(body).map_err(|_| ListingFailure::Malformed)?;
        *self.kept() = tag.map(|tag| KeptList { tag: tag.to_owned(), records: records.clone() });
        Ok(records)
    }
}

impl VmListing for HttpVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, ListingFailure>> {
        Box::pin(self.read())
    }
}
