//! Idle connections to targets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_platform_wire::prelude::AnswerHeaders;
use notch_relay::prelude::*;
use notch_telemetry::prelude::PairCounter;
use notch_types::prelude::*;

use crate::{
    constants::{IDLE_DEFAULT, IDLE_MARGIN, IDLE_PER_TARGET, TARGET_CONNECT},
    target::connection::{ReusedConnection, TargetConnection},
};

#[derive(Debug)]
struct IdleConnection {
    reader: WireReader,
    since: Instant,
    /// Idle timeout that the target announced.
    announced: Option<Duration>,
    /// Maximum idle time.
    lifetime: Duration,
}

/// Why a new connection is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectCause {
    /// None is idle.
    NoneIdle,
    /// The idle ones have been idle for too long.
    IdleTooLong,
    /// The target has closed the idle ones.
    ClosedByTarget,
}

impl ConnectCause {
    fn code(self) -> &'static str {
        match self {
            Self::NoneIdle => "none_idle",
            Self::IdleTooLong => "idle_too_long",
            Self::ClosedByTarget => "closed_by_target",
        }
    }
}

/// Idle connections by target. They are reused because each new one takes time and briefly occupies a slot at the
/// target.
#[derive(Debug)]
pub struct TargetPool {
    idle: Mutex<FastMap<String, Vec<IdleConnection>>>,
    /// How long a connection may have been idle for a request that can't be repeated.
    reuse: Arc<Mutex<IdleReuse>>,
    /// New connections by cause and by whether the request can be repeated; `None` in tests.
    opened: Option<PairCounter>,
    /// Origin of the times passed to `reuse`.
    started: Instant,
}

impl TargetPool {
    /// An empty pool. With `is_learning`, it learns for how long connections may be idle.
    pub fn new(is_learning: bool, opened: Option<PairCounter>) -> Self {
        let reuse = Arc::new(Mutex::new(IdleReuse::new(is_learning)));
        Self { idle: Mutex::default(), reuse, opened, started: Instant::now() }
    }

    /// A connection to the target: a usable idle one, else a new one. With `non_repeatable`, for a request
    /// that can't be repeated, only one is reused that has been idle for less than [`IdleReuse::limit`].
    ///
    /// # Errors
    /// `ConnectFailed` when the connect fails or times out.
    pub async fn connect(
        &self,
        id: &str,
        address: SocketAddr,
        non_repeatable: bool,
    ) -> Result<TargetConnection, AttemptFailure> {
        let cause = match self.take(id, non_repeatable) {
            Ok(idle) => return Ok(self.reuse(idle)),
            Err(cause) => cause,
        };
        if let Some(opened) = &self.opened {
            opened.count(cause.code(), if non_repeatable { "single" } else { "repeatable" });
        }
        let connecting = timeout(TARGET_CONNECT, TcpStream::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(AttemptFailure::ConnectFailed),
        };
        // With Nagle's algorithm, small writes would wait for acknowledgements. A failure to disable it isn't
        // fatal.
        let _ = stream.set_nodelay(true);
        Ok(TargetConnection::new(WireReader::new(stream)))
    }

    /// Keeps a connection after the answer with `head` was read to its end, if it can be reused.
    pub fn give_back(&self, id: &str, connection: TargetConnection, head: &ResponseHead) {
        let ends_with_connection = head.framing() == Ok(BodyFraming::UntilClose);
        if connection.is_out_of_sync || !head.keep_alive || ends_with_connection {
            return;
        }
        if connection.reader.has_buffered() {
            return;
        }
        let announced = AnswerHeaders::decode(head).keep_alive_timeout;
        let lifetime = announced.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(id.to_owned()).or_default();
        if list.len() < IDLE_PER_TARGET && !lifetime.is_zero() {
            list.push(IdleConnection {
                reader: connection.reader,
                since: Instant::now(),
                announced,
                lifetime,
            });
        }
    }

    /// Drops idle connections to unknown targets, and those past their maximum idle time.
    pub fn clean(&self, is_known: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|id, list| {
            list.retain(|connection| connection.since.elapsed() < connection.lifetime);
            !list.is_empty() && is_known(id)
        });
    }

    fn take(&self, id: &str, non_repeatable: bool) -> Result<IdleConnection, ConnectCause> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(list) = idle.get_mut(id) else { return Err(ConnectCause::NoneIdle) };
        let mut cause = ConnectCause::NoneIdle;
        // Last in, first out: after a load peak the surplus connections age and are dropped.
        while let Some(connection) = list.pop() {
            let age = connection.since.elapsed();
            if age >= connection.lifetime {
                cause = ConnectCause::IdleTooLong;
            } else if connection.reader.is_unusable() {
                cause = ConnectCause::ClosedByTarget;
            } else if non_repeatable && age >= self.evidence().limit(connection.announced) {
                // Requests that can be repeated may still use it, and show whether it works.
                list.push(connection);
                return Err(ConnectCause::IdleTooLong);
            } else {
                return Ok(connection);
            }
        }
        Err(cause)
    }

    fn reuse(&self, idle: IdleConnection) -> TargetConnection {
        let reused = ReusedConnection {
            announced: idle.announced,
            idle: idle.since.elapsed(),
            evidence: Arc::clone(&self.reuse),
            origin: self.started,
        };
        TargetConnection::reused(idle.reader, reused)
    }

    fn evidence(&self) -> MutexGuard<'_, IdleReuse> {
        self.reuse.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
