//! A running engine.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;
use notch_http::prelude::ServerLimits;

use super::{
    core::EngineCore,
    driver::{crash, run_steps},
    protocol::{EngineState, ModelsBody},
    serve::{control_handler, engine_handler},
    settings::EngineSettings,
};
use crate::{runs::RunLog, served::ServedPort};

/// Address of the control pages: same host, a port of the system's choice.
const CONTROL_ADDRESS: &str = "127.0.0.1:0";

/// A running engine; dropping it ends it.
pub struct EngineHandle {
    core: Arc<EngineCore>,
    address: SocketAddr,
    control: ServedPort,
}

impl EngineHandle {
    /// Starts an engine.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let served_at = settings.address.clone();
        let core = Arc::new(EngineCore::new(settings));
        let limits = ServerLimits::default();
        let port = ServedPort::open(&served_at, limits.clone(), engine_handler(&core)).await?;
        let control = ServedPort::open(CONTROL_ADDRESS, limits, control_handler(&core)).await?;
        let address = port.address();
        // Set here and nowhere else.
        let _ = core.port.set(port);
        task::spawn(run_steps(core.clone()));
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

    /// How often each prompt ran.
    pub fn runs(&self) -> &RunLog {
        &self.core.runs
    }

    /// What it did so far; not late.
    pub fn state(&self) -> EngineState {
        self.core.engine_state()
    }

    /// What it has loaded.
    pub fn models(&self) -> ModelsBody {
        self.core.models()
    }

    /// Stops answering, with every connection left open.
    pub fn freeze(&self) {
        self.core.set_frozen(true);
    }

    /// Goes on where it stopped.
    pub fn thaw(&self) {
        self.core.set_frozen(false);
    }

    /// Crashes it; it comes back empty after `down`.
    pub fn crash(&self, down: Duration) {
        crash(&self.core, down);
    }

    /// Stops for good.
    pub async fn stop(self) {
        self.core.shut_down();
        self.control.stop().await;
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.core.shut_down();
    }
}
