//! A plain service: whole calls, counted by idempotency key or by body.
//!
//! `POST /call/{path}` answers 200 with [`expected_answer`] after the delay. A call goes on when
//! its caller leaves. Control, on the control address, which a crash doesn't cut:
//! `GET /control/runs`, `POST /control/freeze`, `/control/thaw`, `/control/crash`,
//! `/control/delay`; the last two with a JSON body, `{"ms": N}`.

mod core;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use notch_http::prelude::*;
use notch_types::hash::stable_hash64;

use self::core::{ServiceCore, answer_call, answer_control, crash, handler_of};
use crate::{runs::RunLog, served::ServedPort};

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Where to serve, `ip:port`; port 0 for one of the system's choice.
    pub address: String,
    /// How long each call takes.
    pub delay: Duration,
    /// How long it is away after a crash.
    pub crash_down: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_string(),
            delay: Duration::from_millis(5),
            crash_down: Duration::from_secs(1),
        }
    }
}

/// The answer to a call: its path and a digest of its body.
pub fn expected_answer(path: &str, body: &[u8]) -> String {
    format!("{path} {:016x}", stable_hash64(&[b"answer", path.as_bytes(), body]))
}

/// The name under which a call's runs are counted when it has no idempotency key.
pub fn body_key(body: &[u8]) -> String {
    format!("{:016x}", stable_hash64(&[b"body", body]))
}

/// A running service; dropping it ends it.
pub struct ServiceHandle {
    core: Arc<ServiceCore>,
    address: SocketAddr,
    control: ServedPort,
}

impl ServiceHandle {
    /// Starts a service.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
        let core = Arc::new(ServiceCore::new(settings.delay, settings.crash_down));
        let limits = ServerLimits::default();
        let calls = handler_of(&core, |core, request| Box::pin(answer_call(core, request)));
        let port = ServedPort::open(&settings.address, limits.clone(), calls).await?;
        let controls = handler_of(&core, |core, request| Box::pin(answer_control(core, request)));
        let control = ServedPort::open("127.0.0.1:0", limits, controls).await?;
        let address = port.address();
        // Set here and nowhere else.
        let _ = core.port.set(port);
        Ok(Self { core, address, control })
    }

    /// Where it is served; stays the same over crashes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where its control pages are; a crash doesn't cut them.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// How often each key ran.
    pub fn runs(&self) -> &RunLog {
        &self.core.runs
    }

    /// Sets how long each call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.core.set_delay(delay);
    }

    /// Stops answering, with every connection left open.
    pub fn freeze(&self) {
        self.core.set_frozen(true);
    }

    /// Goes on where it stopped.
    pub fn thaw(&self) {
        self.core.set_frozen(false);
    }

    /// Crashes it; it comes back after `down`.
    pub fn crash(&self, down: Duration) {
        crash(&self.core, down);
    }

    /// Stops for good.
    pub async fn stop(self) {
        self.core.shut_down();
        self.control.stop().await;
    }
}

impl Drop for ServiceHandle {
    fn drop(&mut self) {
        self.core.shut_down();
    }
}
