//! `/metrics`, `/healthz` and `/readyz`.

use std::{net::SocketAddr, sync::Arc};

use notch_http::prelude::*;
use notch_telemetry::prelude::Metrics;

use crate::{error::SidecarError, status::ServingStatus};

/// Connections of monitors at one time.
const MAX_CONNECTIONS: usize = 32;

/// Serves the pages.
pub(crate) async fn serve_pages(
    address: SocketAddr,
    metrics: Arc<Metrics>,
    status: Arc<ServingStatus>,
) -> Result<ServerHandle, SidecarError> {
    let limits = ServerLimits { max_connections: MAX_CONNECTIONS, ..ServerLimits::default() };
    let address = address.to_string();
    let handler = move |request: Request| -> BoxFuture<'static, Response> {
        let response = page(request.url().path(), &metrics, &status);
        Box::pin(async move { response })
    };
    HttpServer::bind(&address, limits, handler)
        .await
        .map_err(|error| SidecarError::Listen { address, error })
}

fn page(path: &str, metrics: &Metrics, status: &ServingStatus) -> Response {
    match path {
        "/metrics" => text(StatusCode::Ok, metrics.render()),
        "/healthz" => text(StatusCode::Ok, "ok\n".to_owned()),
        "/readyz" if status.is_ready() => text(StatusCode::Ok, "ready\n".to_owned()),
        "/readyz" => text(StatusCode::ServiceUnavailable, "not ready\n".to_owned()),
        _ => text(StatusCode::NotFound, "no such page\n".to_owned()),
    }
}

fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
