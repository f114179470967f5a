//! Liveness probes of silent targets.

use std::{net::SocketAddr, sync::Arc};

use async_std::{future::timeout, net::TcpStream, task};
use futures_util::future::join_all;
use notch_h1::prelude::*;
use notch_platform_wire::target::liveness_request;

use crate::{
    constants::{ANSWER_HEAD_BYTES, LIVENESS_TICK, LIVENESS_TIMEOUT},
    node::EntryNode,
};

/// Probes silent targets until the process ends. All are probed at once: one after the other, ten targets that
/// stay silent would delay the use of a recovered one by a second and a half.
pub async fn probe_silent(node: Arc<EntryNode>) {
    loop {
        task::sleep(LIVENESS_TICK).await;
        let silent = node.targets().silent_targets(node.clock.mono());
        join_all(silent.iter().map(|(id, address)| probe(&node, id, *address))).await;
    }
}

async fn probe(node: &EntryNode, id: &str, address: SocketAddr) {
    let is_alive = timeout(LIVENESS_TIMEOUT, is_responding(address)).await.unwrap_or(false);
    node.log.info("target_probed", &[("target", &id), ("alive", &is_alive)]);
    if is_alive {
        node.targets().note_liveness(id);
        node.runner_wake.notify(usize::MAX);
    } else {
        node.targets().note_silence(id, node.clock.mono());
    }
}

async fn is_responding(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address).await else { return false };
    if write_all(&stream, &liveness_request(address)).await.is_err() {
        return false;
    }
    WireReader::new(stream).response_head(ANSWER_HEAD_BYTES).await.is_ok()
}
