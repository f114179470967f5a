//! The configuration in force on this VM.

use std::sync::Arc;

use notch_platform_wire::{
    configuration::{decode_configuration, without_keys},
    prelude::DecodeError,
};
use notch_relay::prelude::*;
use serde_json::value::RawValue;

/// The configuration in force, with its text for gateways that lack it.
#[derive(Debug, Clone)]
pub struct ConfigurationInForce {
    /// Routes, indexed for lookups.
    pub routes: Arc<RouteTable>,
    /// Text as stored, with digests in place of keys.
    pub text: Arc<str>,
}

/// Decodes a configuration, if it is newer than `current`. Versions only increase, so that a
/// gateway or a list that lags behind never brings an older one back.
///
/// # Errors
/// The text is not a configuration.
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
