//! A plain service: whole calls, no streams, no orders.

use std::{net::SocketAddr, time::Duration};

use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    call::{CallAnswer, CallEnd, CallSink, TargetCall},
    http_call::{end_failed, pass_body, probe_failure, send_call, target_url},
    link::TargetLink,
    probe::{CacheReport, TargetProbe},
};

/// Header by which a service may know a repeated call.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Where a plain service is and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for a connection, and for a probe's answer.
    pub connect_timeout: Duration,
    /// Longest wait for an answer's head.
    pub answer_timeout: Duration,
    /// Longest silence inside an answer.
    pub idle_timeout: Duration,
    /// Largest answer, bytes.
    pub answer_bytes: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7300)),
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(600),
            idle_timeout: Duration::from_secs(10),
            answer_bytes: 4 << 20,
        }
    }
}

/// The way to one plain service.
#[derive(Debug, Clone)]
pub struct HttpService {
    settings: ServiceSettings,
    client: HttpClient,
    prober: HttpClient,
}

impl HttpService {
    /// A way that is not yet connected.
    pub fn new(settings: ServiceSettings) -> Self {
        let calls = ClientSettings {
            connect_timeout: settings.connect_timeout,
            response_timeout: settings.answer_timeout,
            body_timeout: settings.idle_timeout,
            ..ClientSettings::default()
        };
        let probes = ClientSettings {
            connect_timeout: settings.connect_timeout,
            response_timeout: settings.connect_timeout,
            body_timeout: settings.connect_timeout,
            ..ClientSettings::default()
        };
        Self { settings, client: HttpClient::new(calls), prober: HttpClient::new(probes) }
    }

    async fn call(&self, call: &TargetCall, sink: &mut dyn CallSink) -> CallAnswer {
        let path = format!("/call/{}", call.path.trim_start_matches('/'));
        let Some(url) = target_url(self.settings.address, &path) else {
            return CallAnswer::bare(CallEnd::Unreached);
        };
        let mut request = Request::new(Method::Post, url);
        request.insert_header("content-type", "application/json");
        request.insert_header(IDEMPOTENCY_HEADER, call.request.to_string());
        request.set_body(call.body.to_vec());
        let mut response = match send_call(&self.client, request, call.idempotent).await {
            Ok(response) => response,
            Err(end) => return CallAnswer::bare(end),
        };
        sink.started();
        let limit = self.settings.answer_bytes;
        if !response.status().is_success() {
            let (end, body) = end_failed(response, limit, sink).await;
            return CallAnswer { end, body: Some(Payload(body)) };
        }
        let status = u16::from(response.status());
        let mut whole = Vec::new();
        let passed = pass_body(response.take_body(), limit, |part| {
            sink.bytes(part);
            whole.extend_from_slice(part);
        });
        match passed.await {
            Ok(()) => CallAnswer { end: CallEnd::Complete { status }, body: Some(Payload(whole)) },
            Err(end) => CallAnswer::bare(end),
        }
    }

    async fn is_there(&self) -> TargetProbe {
        let Some(url) = target_url(self.settings.address, "/healthz") else {
            return TargetProbe::Refused;
        };
        // Any answer will do: a service need not have this page.
        match self.prober.send_repeatable(Request::new(Method::Get, url)).await {
            Ok(_) => TargetProbe::Up { instance: None },
            Err(error) => probe_failure(error),
        }
    }
}

impl TargetLink for HttpService {
    fn run<'a>(
        &'a self,
        call: &'a TargetCall,
        sink: &'a mut dyn CallSink,
    ) -> BoxFuture<'a, CallAnswer> {
        Box::pin(self.call(call, sink))
    }

    fn cancel<'a>(&'a self, _id: &'a str) -> BoxFuture<'a, ()> {
        Box::pin(async {})
    }

    fn probe(&self) -> BoxFuture<'_, TargetProbe> {
        Box::pin(self.is_there())
    }

    fn holdings(&self) -> BoxFuture<'_, Option<(String, Vec<HeldModel>)>> {
        Box::pin(async { None })
    }

    fn cache_events(&self, _cursor: u64) -> BoxFuture<'_, Option<CacheReport>> {
        Box::pin(async { None })
    }

    fn order<'a>(&'a self, _order: &'a TargetOrder) -> BoxFuture<'a, OrderOutcome> {
        let detail = "a plain service takes no orders".to_owned();
        Box::pin(async { OrderOutcome::Failed { detail } })
    }
}
