//! Idle connections to targets.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_platform_wire::prelude::AnswerMarks;
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
    /// How long it may stay idle.
    lifetime: Duration,
}

/// Idle connections by target. Each new one costs, and takes a place at the target for a moment.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<FastMap<String, Vec<IdleConnection>>>,
}

impl TargetPool {
    /// A connection to the target: an idle one if one is sound, else a new one. With `strict`, for
    /// a request that can't be repeated, only one that was used a moment ago.
    ///
    /// # Errors
    /// `ConnectFailed`.
    pub async fn connect(
        &self,
        id: &str,
        address: SocketAddr,
        strict: bool,
    ) -> Result<TargetConnection, AttemptFailure> {
        if let Some(reader) = self.take(id, strict) {
            return Ok(TargetConnection::new(reader));
        }
        let connecting = timeout(TARGET_CONNECT, TcpStream::connect(address)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(AttemptFailure::ConnectFailed),
        };
        // Without it events would wait for acknowledgements; a socket that refuses it works.
        let _ = stream.set_nodelay(true);
        Ok(TargetConnection::new(WireReader::new(stream)))
    }

    /// Keeps a connection whose answer `head` was read to its end, unless something was odd.
    pub fn give_back(&self, id: &str, connection: TargetConnection, head: &ResponseHead) {
        if connection.is_odd || !head.keep_alive || connection.reader.has_buffered() {
            return;
        }
        let lifetime = AnswerMarks::decode(head).keeps_for.unwrap_or(IDLE_DEFAULT);
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

    /// Drops idle connections to targets that are gone, and those that are too old.
    pub fn clean(&self, is_known: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|id, list| {
            list.retain(|connection| connection.since.elapsed() < connection.lifetime);
            !list.is_empty() && is_known(id)
        });
    }

    fn take(&self, id: &str, strict: bool) -> Option<WireReader> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(id)?;
        // The one used last comes first: the others age and are dropped when the crest is over.
        while let Some(connection) = list.pop() {
            let age = connection.since.elapsed();
            let too_old = age >= connection.lifetime || (strict && age >= NON_REPEATABLE_MAX_IDLE);
            if !too_old && !connection.reader.is_unusable() {
                return Some(connection.reader);
            }
        }
        None
    }
}
