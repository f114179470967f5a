//! Calls to the platform, made by tasks; their answers come back as control events.

use std::sync::Arc;

use async_std::task;
use futures_util::future::join_all;
use notch_jobs::prelude::ReadFailure;
use notch_ledger::read_segment;
use notch_platform::{ObjectApi, PermitRequest, WeightPermits};
use notch_telemetry::prelude::*;
use notch_types::{
    object::{StoreCall, StoreFailure, StoreOp, StoreReply, StoreResult},
    prelude::*,
};

use crate::control::{
    event::{ControlEvent, StoreUser},
    inbox::ControlInbox,
    shard_desk::ShardRead,
    shard_host::RecordRead,
};

/// Makes calls to the platform for the control thread.
#[derive(Clone)]
pub struct PlatformCalls {
    objects: Arc<dyn ObjectApi>,
    weights: Arc<dyn WeightPermits>,
    metrics: Arc<Metrics>,
    inbox: ControlInbox,
}

impl PlatformCalls {
    /// Calls through these edges.
    pub fn new(
        objects: Arc<dyn ObjectApi>,
        weights: Arc<dyn WeightPermits>,
        metrics: Arc<Metrics>,
        inbox: ControlInbox,
    ) -> Self {
        Self { objects, weights, metrics, inbox }
    }

    /// Makes a call to the object API.
    pub fn store(&self, user: StoreUser, call: StoreCall) {
        let calls = self.clone();
        task::spawn(async move {
            let StoreCall { call, op } = call;
            let result = calls.timed(op).await;
            calls.inbox.send(ControlEvent::StoreAnswered { user, call, result });
        });
    }

    /// Reads what a shard wants read.
    pub fn read(&self, read: ShardRead) {
        let calls = self.clone();
        match read {
            ShardRead::Object { shard, key } => {
                task::spawn(async move {
                    let result = calls.object(&key).await;
                    calls.inbox.send(ControlEvent::ObjectRead { shard, key, result });
                });
            }
            ShardRead::Records { shard, read } => {
                task::spawn(async move {
                    let token = read.read;
                    let result = calls.records(read).await;
                    calls.inbox.send(ControlEvent::RecordsRead { shard, read: token, result });
                });
            }
        }
    }

    /// Asks the weight store for a permit to load.
    pub fn want_permit(
        &self,
        epoch: Epoch,
        order: u64,
        vm: VmName,
        model: TargetName,
        version: String,
    ) {
        let calls = self.clone();
        task::spawn(async move {
            let request = PermitRequest { vm, model, version };
            let result = calls.weights.ask(request).await;
            calls.inbox.send(ControlEvent::PermitAnswered { epoch, order, result });
        });
    }

    async fn timed(&self, op: StoreOp) -> StoreResult {
        let waits = matches!(op, StoreOp::Watch { .. });
        let started = std::time::Instant::now();
        let result = self.objects.call(op).await;
        let is_up = !matches!(result, Err(StoreFailure::Unavailable | StoreFailure::Unknown));
        self.metrics.set(Gauge::StoreUp, i64::from(is_up));
        if !waits {
            self.metrics.observe(Timing::StoreCall, started.elapsed());
        }
        result
    }

    async fn object(&self, key: &str) -> Result<Payload, ReadFailure> {
        match self.timed(StoreOp::Get { key: key.to_owned() }).await {
            Ok(StoreReply::Object(Some(object))) => object.value.ok_or(ReadFailure::Gone),
            Ok(StoreReply::Object(None)) => Err(ReadFailure::Gone),
            Ok(_) => Err(ReadFailure::Unavailable),
            Err(StoreFailure::TooLarge | StoreFailure::Conflict(_)) => Err(ReadFailure::Gone),
            Err(_) => Err(ReadFailure::Unavailable),
        }
    }

    async fn records(&self, mut read: RecordRead) -> Result<Vec<(u64, Payload)>, ReadFailure> {
        let segments = std::mem::take(&mut read.segments);
        let reads = segments.iter().map(|(key, wanted)| self.segment(key, wanted));
        let mut fetched = Vec::new();
        let mut failure = None;
        for part in join_all(reads).await {
            match part {
                Ok(records) => fetched.extend(records),
                Err(fault) => failure = Some(fault),
            }
        }
        read.finish(fetched, failure)
    }

    async fn segment(
        &self,
        key: &str,
        wanted: &[(u64, usize)],
    ) -> Result<Vec<(u64, Payload)>, ReadFailure> {
        let bytes = self.object(key).await?;
        let record = |(seq, index): &(u64, usize)| {
            let record = read_segment(&bytes, *index).map_err(|_| ReadFailure::Gone)?;
            Ok((*seq, record))
        };
        wanted.iter().map(record).collect()
    }
}
