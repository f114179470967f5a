//! The whole platform on one port: objects, VM list and weight store.
//!
//! Control: `GET`/`PUT /control/faults` ([`FaultSettings`]), `GET /control/calls` (counts),
//! `PUT /control/vms` (all VM records), `PUT /control/down` (`{"vms": bool, "weights": bool}`).

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use notch_http::prelude::*;
use notch_platform::{
    CallEnd, CallKind, ListingFailure, PermitFailure, PermitRequest, VmRecord,
    wire::{PERMITS_PATH, VMS_PATH},
};
use notch_types::hash::stable_hash64;
use serde::Deserialize;

use crate::{
    control::{bad_request, error_answer, json_answer, json_body},
    fault::FaultSettings,
    objects::{
        MemoryObjects, MemorySettings,
        serve::{answer_request, throttled_response, unavailable_response},
    },
    served::ServedPort,
    vms::{LaggingVms, VmsSettings},
    weights::{PermitDesk, WeightsSettings},
};

/// The three parts, and where they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Where to serve, `ip:port`; port 0 for one of the system's choice.
    pub address: String,
    /// The object API.
    pub objects: MemorySettings,
    /// The VM list.
    pub vms: VmsSettings,
    /// The weight store.
    pub weights: WeightsSettings,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            objects: MemorySettings::default(),
            vms: VmsSettings::default(),
            weights: WeightsSettings::default(),
        }
    }
}

/// A running stand-in of the platform; dropping it ends it.
pub struct PlatformHandle {
    parts: PlatformParts,
    port: ServedPort,
}

#[derive(Clone)]
struct PlatformParts {
    objects: Arc<MemoryObjects>,
    vms: Arc<LaggingVms>,
    weights: Arc<PermitDesk>,
}

impl PlatformHandle {
    /// Starts to serve.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let parts = PlatformParts {
            objects: Arc::new(MemoryObjects::new(settings.objects)),
            vms: Arc::new(LaggingVms::new(settings.vms)),
            weights: Arc::new(PermitDesk::new(settings.weights)),
        };
        let served = parts.clone();
        let handler = move |request| -> BoxFuture<'static, Response> {
            let parts = served.clone();
            Box::pin(async move { parts.answer(request).await })
        };
        let limits = ServerLimits::default();
        let port = ServedPort::open(&settings.address, limits, Arc::new(handler)).await?;
        Ok(Self { parts, port })
    }

    /// Where it is served.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The object API, for use and control inside the process.
    pub fn objects(&self) -> &Arc<MemoryObjects> {
        &self.parts.objects
    }

    /// The VM list, for use and control inside the process.
    pub fn vms(&self) -> &Arc<LaggingVms> {
        &self.parts.vms
    }

    /// The weight store, for use and control inside the process.
    pub fn weights(&self) -> &Arc<PermitDesk> {
        &self.parts.weights
    }

    /// Ends every connection and refuses new ones until [`PlatformHandle::reopen`].
    pub async fn cut(&self) {
        self.port.cut().await;
    }

    /// Serves the same port again.
    pub async fn reopen(&self) {
        self.port.reopen().await;
    }

    /// Stops for good.
    pub async fn stop(self) {
        self.port.stop().await;
    }
}

/// The list with a tag drawn from its text, or 304 when the caller has it.
fn tagged_answer(request: &Request, records: &[VmRecord]) -> Response {
    let text = serde_json::to_vec(records).unwrap_or_default();
    let tag = format!("\"{:016x}\"", stable_hash64(&[&text]));
    let asked = request.header("if-none-match").map(|values| values.last().as_str());
    if asked == Some(tag.as_str()) {
        return Response::new(StatusCode::NotModified);
    }
    let mut response = json_answer(&records);
    response.insert_header("etag", tag);
    response
}

/// Which parts are down.
#[derive(Debug, Deserialize)]
struct DownBody {
    vms: bool,
    weights: bool,
}

impl PlatformParts {
    async fn answer(self, request: Request) -> Response {
        let path = request.url().path().to_string();
        match path.as_str() {
            VMS_PATH => self.vms_answer(&request),
            PERMITS_PATH => self.permit_answer(request).await,
            _ if path.starts_with("/control/") => self.control_answer(&path, request).await,
            _ => answer_request(self.objects, request).await,
        }
    }

    fn vms_answer(&self, request: &Request) -> Response {
        match self.vms.shown() {
            Ok(records) => tagged_answer(request, &records),
            Err(ListingFailure::Throttled { retry_after_ms }) => throttled_response(retry_after_ms),
            Err(ListingFailure::Unavailable | ListingFailure::Malformed) => unavailable_response(),
        }
    }

    async fn permit_answer(&self, mut request: Request) -> Response {
        let asked: PermitRequest = match json_body(&mut request).await {
            Ok(asked) => asked,
            Err(refusal) => return refusal,
        };
        match self.weights.give(&asked) {
            Ok(permit) => json_answer(&permit),
            Err(PermitFailure::Throttled { retry_after_ms }) => throttled_response(retry_after_ms),
            Err(PermitFailure::NoSuchVersion) => {
                error_answer(StatusCode::NotFound, "no_such_version", "not in the weight store")
            }
            Err(PermitFailure::Unavailable | PermitFailure::Malformed) => unavailable_response(),
        }
    }

    async fn control_answer(&self, path: &str, mut request: Request) -> Response {
        let changed = match (request.method(), path) {
            (Method::Get, "/control/faults") => {
                return json_answer(&self.objects.faults().settings());
            }
            (Method::Get, "/control/calls") => return json_answer(&self.call_counts()),
            (Method::Put, "/control/faults") => self.set_faults(&mut request).await,
            (Method::Put, "/control/vms") => self.set_vms(&mut request).await,
            (Method::Put, "/control/down") => self.set_down(&mut request).await,
            _ => Err(bad_request("no such control")),
        };
        match changed {
            Ok(()) => Response::new(StatusCode::NoContent),
            Err(refusal) => refusal,
        }
    }

    async fn set_faults(&self, request: &mut Request) -> Result<(), Response> {
        let settings: FaultSettings = json_body(request).await?;
        self.objects.faults().set(settings);
        Ok(())
    }

    async fn set_vms(&self, request: &mut Request) -> Result<(), Response> {
        let records: Vec<VmRecord> = json_body(request).await?;
        self.vms.replace(records);
        Ok(())
    }

    async fn set_down(&self, request: &mut Request) -> Result<(), Response> {
        let down: DownBody = json_body(request).await?;
        self.vms.set_down(down.vms);
        self.weights.set_down(down.weights);
        Ok(())
    }

    /// Counts by `kind.end`.
    fn call_counts(&self) -> BTreeMap<String, u64> {
        let meter = self.objects.meter();
        let mut counts = BTreeMap::new();
        for kind in CallKind::ALL {
            for end in CallEnd::ALL {
                let label = format!("{}.{}", kind.code(), end.code());
                counts.insert(label, meter.count(kind, end));
            }
        }
        counts
    }
}
