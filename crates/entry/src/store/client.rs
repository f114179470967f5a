//! The one client of the store.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_settings::prelude::StoreSettings;
use notch_telemetry::prelude::*;
use notch_types::prelude::MonoTime;

use crate::{
    clock::NodeClock,
    store::{
        call_cause::StoreCallCause,
        call_counts::StoreCallCounts,
        forwarding::{CallRouting, ForwardedCall, ForwardingState},
        outage::{OutageChange, StoreOutage},
        reply::{StoreFailure, StoreReply},
    },
};

/// Bytes of one answer, at most: a list page is about 1 MB.
const ANSWER_BYTES: usize = 8 << 20;
/// Bytes of an answer's head, at most.
const HEAD_BYTES: usize = 16 << 10;
/// Calls that wait to be passed to another gateway, at most; more are made directly.
const DETOURS_WAITING: usize = 64;
/// Idle connections kept.
const IDLE_KEPT: usize = 4;

/// Calls the store. A connection on which an answer failed to come is never used again: nothing
/// more comes on it.
#[derive(Debug)]
pub struct StoreClient {
    settings: Mutex<StoreSettings>,
    idle: Mutex<Vec<WireReader>>,
    outage: Mutex<StoreOutage>,
    detour: Mutex<ForwardingState>,
    /// Calls to be made by another gateway; nobody receives them where there is none.
    detours: Sender<ForwardedCall>,
    clock: NodeClock,
    log: NodeLog,
    calls: StoreCallCounts,
}

impl StoreClient {
    /// A client with its settings, and the calls that another gateway should make for it. Where
    /// these are dropped the client has none to ask.
    pub fn new(
        settings: StoreSettings,
        clock: NodeClock,
        log: NodeLog,
        calls: StoreCallCounts,
    ) -> (Self, Receiver<ForwardedCall>) {
        let (detours, detour_calls) = async_channel::bounded(DETOURS_WAITING);
        let client = Self {
            settings: Mutex::new(settings),
            idle: Mutex::default(),
            outage: Mutex::default(),
            detour: Mutex::default(),
            detours,
            clock,
            log,
            calls,
        };
        (client, detour_calls)
    }

    /// The settings in force.
    pub fn settings(&self) -> StoreSettings {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The log of the process.
    pub fn log(&self) -> &NodeLog {
        &self.log
    }

    /// The monotonic clock.
    pub fn now(&self) -> MonoTime {
        self.clock.mono()
    }

    /// The clock that counts suspended time, too.
    pub fn boot_now(&self) -> MonoTime {
        self.clock.boot()
    }

    /// The calls made so far.
    pub fn calls(&self) -> &StoreCallCounts {
        &self.calls
    }

    /// Takes new settings; idle connections may lead to an old address.
    pub fn reload(&self, settings: StoreSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Whether the store answers, and since when.
    pub fn outage(&self) -> StoreOutage {
        *self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call without a body, such as a read.
    ///
    /// # Errors
    /// No answer, or turned away.
    pub async fn get(&self, cause: StoreCallCause, path: &str) -> Result<StoreReply, StoreFailure> {
        let wait = self.settings().call_timeout;
        self.call(cause, "GET", path, None, wait).await
    }

    /// A call; the answer must come within `wait`. While the store turns this VM away the call is
    /// made by another gateway, if one can.
    ///
    /// # Errors
    /// No answer, or turned away.
    pub async fn call(
        &self,
        cause: StoreCallCause,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let down_since = self.outage().down_since();
        let way = self.detour_state().way(down_since, self.clock.mono());
        if way == CallRouting::Forwarded
            && let Some(result) = self.call_by_another(method, path, body, wait).await
        {
            return result;
        }
        let result = self.call_directly(cause, method, path, body, wait).await;
        if way == CallRouting::DirectFirst
            && matches!(result, Err(StoreFailure::NotDone))
            && let Some(detoured) = self.call_by_another(method, path, body, wait).await
        {
            return detoured;
        }
        result
    }

    /// The call's end if another gateway made it; `None` when it has to be made directly.
    async fn call_by_another(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait: Duration,
    ) -> Option<Result<StoreReply, StoreFailure>> {
        let (end, ended) = async_channel::bounded(1);
        let (method, path) = (method.to_owned(), path.to_owned());
        let body = body.map(<[u8]>::to_vec);
        let call = ForwardedCall { method, path, body, wait, end };
        let result = match self.detours.try_send(call) {
            Ok(()) => ended.recv().await.ok().flatten(),
            Err(_) => None,
        };
        let has_helped = matches!(result, Some(Ok(_)));
        self.detour_state().note_end(has_helped, self.clock.mono());
        result
    }

    fn detour_state(&self) -> MutexGuard<'_, ForwardingState> {
        self.detour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A call from this VM itself.
    ///
    /// # Errors
    /// No answer, or turned away.
    pub async fn call_directly(
        &self,
        cause: StoreCallCause,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        self.calls.note(cause, path);
        let began = self.clock.mono();
        let result = self.exchange(method, path, body, wait).await;
        let now = self.clock.mono();
        let change = {
            let mut outage = self.outage.lock().unwrap_or_else(PoisonError::into_inner);
            match &result {
                Ok(_) => outage.note_answer(now),
                Err(_) => outage.note_failure(now),
            }
        };
        self.log_change(change, method, path);
        if let Err(failure) = &result {
            let took = now.since(began).as_millis();
            self.log.warn(
                "store_call_failed",
                &[("call", &method), ("path", &path), ("failure", &failure.code()), ("ms", &took)],
            );
        }
        result
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let mut connection = self.connect().await?;
        let mut writer = MessageWriter::request(method, path);
        writer.header("Host", self.settings().address);
        if body.is_some() {
            writer.header("Content-Type", "application/json");
        }
        let bytes = writer.with_body(body.unwrap_or_default());
        let exchange = async {
            write_all(connection.stream(), &bytes).await?;
            let head = connection.response_head(HEAD_BYTES).await?;
            let body = connection.whole_body(head.framing()?, ANSWER_BYTES).await?;
            Ok::<_, WireError>((head, body))
        };
        // An expired wait or a broken connection leaves the call's fate open: it may be done later.
        let answered = timeout(wait, exchange).await.map_err(|_| StoreFailure::Unknown)?;
        let (head, body) = answered.map_err(|_| StoreFailure::Unknown)?;
        if head.keep_alive {
            self.keep(connection);
        }
        match head.status {
            200..300 | 404 | 409 | 410 => Ok(StoreReply { status: head.status, body }),
            _ => Err(StoreFailure::NotDone),
        }
    }

    async fn connect(&self) -> Result<WireReader, StoreFailure> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match idle {
                Some(connection) if !connection.is_unusable() => return Ok(connection),
                Some(_) => {}
                None => break,
            }
        }
        let settings = self.settings();
        let address: SocketAddr = settings.address;
        let connecting = timeout(settings.connect_timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) | Err(_) => return Err(StoreFailure::NotDone),
        };
        // Without it small calls would wait for acknowledgements; a socket that refuses it works.
        let _ = stream.set_nodelay(true);
        Ok(WireReader::new(stream))
    }

    fn keep(&self, connection: WireReader) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_KEPT {
            idle.push(connection);
        }
    }

    fn log_change(&self, change: Option<OutageChange>, method: &str, path: &str) {
        match change {
            None => {}
            Some(OutageChange::Lost) => {
                self.log.warn("store_lost", &[("call", &method), ("path", &path)]);
            }
            Some(OutageChange::Regained) => {
                self.log.info("store_regained", &[("call", &method), ("path", &path)]);
            }
        }
    }
}
