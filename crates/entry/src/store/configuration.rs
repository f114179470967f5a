//! The configuration in force on this VM.

use std::sync::Arc;

use notch_platform_wire::{
    configuration::{decode_configuration, without_keys},
    prelude::DecodeError,
};
use notch_relay::prelude::*;
use serde_json::value::RawValue;

/// The configuration in force, with the text it came from for gateways that lag.
#[derive(Debug, Clone)]
pub struct ConfigurationInForce {
    /// Ordered for look-ups.
    pub routes: Arc<RouteTable>,
    /// As the store holds it, with digests in place of keys.
    pub text: Arc<str>,
}

/// Decodes a configuration, if it is newer than `current`. Versions only go forward: a peer or a
/// list that is behind must never bring an older one back.
///
/// # Errors
/// Not a configuration.
pub fn newer_configuration(
    current: Option<&ConfigurationInForce>,
    spec: &RawValue,
) -> Result<Option<ConfigurationInForce>, DecodeError> {
    let configuration = decode_configuration(spec)?;
    if current.is_some_and(|c| c.routes.version() >= configuration.version) {
        return Ok(None);
    }
    let routes = Arc::new(RouteTable::new(configuration));
    let text = Arc::from(without_keys(spec)?);
    Ok(Some(ConfigurationInForce { routes, text }))
}
