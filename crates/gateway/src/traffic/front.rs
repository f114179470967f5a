//! stub
use crate::control::{entries_view::SharedView, inbox::ControlInbox};
use notch_http::prelude::*;
use notch_platform::ObjectApi;
use notch_settings::GatewayConfig;
use notch_telemetry::prelude::*;
use std::sync::Arc;
/// stub
pub struct TrafficFront;
impl TrafficFront {
    /// stub
    pub fn new(
        _: &GatewayConfig,
        _: Arc<dyn ObjectApi>,
        _: Arc<SharedView>,
        _: ControlInbox,
        _: Arc<Metrics>,
    ) -> Self {
        Self
    }
    /// stub
    pub async fn serve(&self, _: Request) -> Response {
        Response::new(503)
    }
    /// stub
    pub fn serve_health(&self, _: &Request) -> Response {
        Response::new(503)
    }
}
