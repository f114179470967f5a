//! HTTP client of the store.

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
    constants::OBJECT_BYTES,
    store::{
        call_cause::StoreCallCause,
        call_counts::StoreCallCounts,
        forwarding::{CallRouting, ForwardedCall, ForwardingState},
        outage::{OutageChange, StoreOutage},
        reply::{StoreFailure, StoreReply},
    },
};

/// Maximum bytes of an answer's body. A list page is about 1 MB.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of calls queued for forwarding to another gateway. Further calls are made
/// directly.
const MAX_QUEUED_FORWARDS: usize = 64;
/// Part of an object that is kept for its name and version: an eighth.
const OBJECT_RESERVE_DIVISOR: usize = 8;
/// Maximum number of idle connections kept.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Calls the store. A connection on which an answer is missing is never reused, as nothing more
/// arrives on it.
#[derive(Debug)]
pub struct StoreClient {
    settings: Mutex<StoreSettings>,
    idle: Mutex<Vec<WireReader>>,
    outage: Mutex<StoreOutage>,
    forwarding: Mutex<ForwardingState>,
    /// Calls to be made by another gateway. Nobody receives them in a process without other
    /// gateways.
    forwards: Sender<ForwardedCall>,
    clock: NodeClock,
    log: NodeLog,
    calls: StoreCallCounts,
}

impl StoreClient {
    /// Creates a client. Also returns the queue of calls that another gateway should make; if it is
    /// dropped, all calls are made directly.
    pub fn new(
        settings: StoreSettings,
        clock: NodeClock,
        log: NodeLog,
        calls: StoreCallCounts,
    ) -> (Self, Receiver<ForwardedCall>) {
        let (forwards, forwarded_calls) = async_channel::bounded(MAX_QUEUED_FORWARDS);
        let client = Self {
            settings: Mutex::new(settings),
            idle: Mutex::default(),
            outage: Mutex::default(),
            forwarding: Mutex::default(),
            forwards,
            clock,
            log,
            calls,
        };
        (client, forwarded_calls)
    }

    /// The settings in force.
    pub fn settings(&self) -> StoreSettings {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Most bytes of the contents of an object that is written. The rest of what the store accepts is for its name and
    /// version.
    pub fn object_bytes(&self) -> usize {
        let limit = usize::try_from(self.settings().object_limit).unwrap_or(usize::MAX);
        OBJECT_BYTES.min(limit - limit / OBJECT_RESERVE_DIVISOR)
    }

    /// The process's log.
    pub fn log(&self) -> &NodeLog {
        &self.log
    }

    /// The monotonic clock.
    pub fn now(&self) -> MonoTime {
        self.clock.mono()
    }

    /// The clock that includes suspended time.
    pub fn boot_now(&self) -> MonoTime {
        self.clock.boot()
    }

    /// The number of calls made so far.
    pub fn calls(&self) -> &StoreCallCounts {
        &self.calls
    }

    /// Applies new settings. Drops idle connections, which may lead to a former address.
    pub fn reload(&self, settings: StoreSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Whether the store answers, and since when.
    pub fn outage(&self) -> StoreOutage {
        *self.outage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call without a body, such as a read.
    ///
    /// # Errors
    /// No answer, or the store refused the call.
    pub async fn get(&self, cause: StoreCallCause, path: &str) -> Result<StoreReply, StoreFailure> {
        let wait = self.settings().call_timeout;
        self.call(cause, "GET", path, None, wait).await
    }

    /// Makes a call whose answer must arrive within `wait`. While the store is unreachable from
    /// this VM, another gateway makes the call if possible.
    ///
    /// # Errors
    /// No answer, or the store refused the call.
    pub async fn call(
        &self,
        cause: StoreCallCause,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        wait: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let down_since = self.outage().down_since();
        let way = self.forwarding_state().way(down_since, self.clock.mono());
        if way == CallRouting::Forwarded
            && let Some(result) = self.call_via_peer(method, path, body, wait).await
        {
            return result;
        }
        let began = self.clock.mono();
        let limit = self.forwarding_state().direct_limit(wait);
        let result = self.call_directly(cause, method, path, body, limit).await;
        self.forwarding_state().note_direct(self.clock.mono().since(began));
        // A read without an answer can be made again at once; a write only by a caller that expects its outcome to be
        // unknown.
        let is_repeatable = match result {
            Ok(_) | Err(StoreFailure::Refused) => false,
            Err(StoreFailure::NotDone) => way == CallRouting::DirectFirst,
            Err(StoreFailure::Unknown) => method == "GET" && limit < wait,
        };
        if is_repeatable && let Some(forwarded) = self.call_via_peer(method, path, body, wait).await
        {
            return forwarded;
        }
        result
    }

    /// The outcome of a call made by another gateway, or `None` if the call has to be made
    /// directly.
    async fn call_via_peer(
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
        let result = match self.forwards.try_send(call) {
            Ok(()) => ended.recv().await.ok().flatten(),
            Err(_) => None,
        };
        let was_answered = matches!(result, Some(Ok(_)));
        self.forwarding_state().note_end(was_answered, self.clock.mono());
        result
    }

    /// Records whether another gateway could make calls for this one.
    pub fn set_can_forward(&self, can_forward: bool) {
        self.forwarding_state().set_can_forward(can_forward);
    }

    fn forwarding_state(&self) -> MutexGuard<'_, ForwardingState> {
        self.forwarding.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call from this VM.
    ///
    /// # Errors
    /// No answer, or the store refused the call.
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
                Ok(_) | Err(StoreFailure::Refused) => outage.note_answer(now),
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
            connection.send(&bytes).await?;
            let head = connection.response_head(MAX_HEAD_BYTES).await?;
            let body = connection.whole_body(head.framing()?, MAX_BODY_BYTES).await?;
            Ok::<_, WireError>((head, body))
        };
        // After a timeout or a broken connection the outcome is unknown: the call may still take
        // effect.
        let answered = timeout(wait, exchange).await.map_err(|_| StoreFailure::Unknown)?;
        let (head, body) = answered.map_err(|_| StoreFailure::Unknown)?;
        if head.keep_alive {
            self.keep(connection);
        }
        StoreReply::of(head.status, body)
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
        // With Nagle's algorithm small calls would wait for acknowledgements. A failure to disable
        // it is harmless.
        let _ = stream.set_nodelay(true);
        Ok(WireReader::new(stream))
    }

    fn keep(&self, connection: WireReader) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
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
