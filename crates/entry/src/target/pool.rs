//! Idle connections to targets.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_platform_wire::prelude::AnswerHeaders;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    constants::{
        IDLE_DEFAULT, IDLE_MARGIN, IDLE_PER_TARGET, NON_REPEATABLE_MAX_IDLE, TARGET_CONNECT,
    },
    target::connection::TargetConnection,
};

#[derive(Debug)]
struct IdleConnection {
    reader: WireReader,
    since: Instant,
    /// Maximum idle time.
    lifetime: Duration,
}

/// Idle connections by target. They are reused because each new one takes time and briefly occupies a slot at the
/// target.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<FastMap<String, Vec<IdleConnection>>>,
}

impl TargetPool {
    /// A connection to the target: a usable idle one, else a new one. With `non_repeatable`, for a request
    /// that can't be repeated, only an idle one within
    /// [`NON_REPEATABLE_MAX_IDLE`] is reused.
    ///
    /// # Errors
    /// `ConnectFailed` when the connect fails or times out.
    pub async fn connect(
        &self,
        id: &str,
        address: SocketAddr,
        non_repeatable: bool,
    ) -> Result<TargetConnection, AttemptFailure> {
        if let Some(reader) = self.take(id, non_repeatable) {
            return Ok(TargetConnection::new(reader));
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
        if connection.is_out_of_sync || !head.keep_alive || connection.reader.has_buffered() {
            return;
        }
        let lifetime = AnswerHeaders::decode(head).keep_alive_timeout.unwrap_or(IDLE_DEFAULT);
        let lifetime = lifetime.saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(id.to_owned()).or_default();
        if list.len() < IDLE_PER_TARGET && !lifetime.is_zero() {
            list.push(IdleConnection {
                reader: connection.reader,
                since: Instant::now(),
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

    fn take(&self, id: &str, non_repeatable: bool) -> Option<WireReader> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(id)?;
        // Last in, first out: after a load peak the surplus connections age and are dropped.
        while let Some(connection) = list.pop() {
            let age = connection.since.elapsed();
            let too_old =
                age >= connection.lifetime || (non_repeatable && age >= NON_REPEATABLE_MAX_IDLE);
            if !too_old && !connection.reader.is_unusable() {
                return Some(connection.reader);
            }
        }
        None
    }
}
