//! One standing link: reads, writes, heartbeats and the silence limit.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use async_channel::Receiver;
use async_std::future::timeout;
use futures_util::{
    SinkExt, StreamExt,
    future::{Either, select},
    pin_mut,
    stream::{SplitSink, SplitStream},
};
use notch_messages::frame::LinkMessage;
use tokio_tungstenite::tungstenite::{Message, protocol::WebSocketConfig};

use crate::{
    codec,
    error::LinkError,
    event::{LinkDown, LinkEvent, LinkHandle, LinkPeer, LinkSink},
    handshake::LinkSocket,
    settings::LinkSettings,
};

/// Messages written before the socket is flushed, at most.
const WRITE_BATCH: usize = 64;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// WebSocket limits: one message a frame, bounded.
pub(crate) fn socket_config(settings: &LinkSettings) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(settings.max_message_bytes))
        .max_frame_size(Some(settings.max_message_bytes))
}

/// Tells of the link's end exactly once, also when the link's task is cancelled in the midst:
/// whoever keeps state by link would otherwise hold it for good.
struct DownGuard<'a> {
    peer: &'a LinkPeer,
    link: u64,
    reason: LinkDown,
    sink: &'a LinkSink,
}

impl Drop for DownGuard<'_> {
    fn drop(&mut self) {
        let peer = self.peer.clone();
        (self.sink)(LinkEvent::Down { peer, link: self.link, reason: self.reason });
    }
}

/// Runs a proved link until it ends, telling `sink` of everything.
pub(crate) async fn run(
    socket: LinkSocket,
    peer: LinkPeer,
    settings: &LinkSettings,
    sink: &LinkSink,
) {
    let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let (queue, messages) = async_channel::bounded(settings.queue);
    let link = LinkHandle { id, queue: queue.clone() };
    sink(LinkEvent::Up { peer: peer.clone(), link });
    let mut guard = DownGuard { peer: &peer, link: id, reason: LinkDown::Closed, sink };
    let (outgoing, incoming) = socket.split();
    let reading = read_all(incoming, settings.silence, &peer, id, sink);
    let writing = write_all(outgoing, messages, settings.heartbeat);
    pin_mut!(reading, writing);
    // The side that ends first drops the other: a reader that met silence must not wait for a
    // writer that is blocked on the very connection that went silent.
    guard.reason = match select(reading, writing).await {
        Either::Left((reason, _)) | Either::Right((reason, _)) => reason,
    };
    queue.close();
}

async fn read_all(
    mut incoming: SplitStream<LinkSocket>,
    silence: Duration,
    peer: &LinkPeer,
    link: u64,
    sink: &LinkSink,
) -> LinkDown {
    loop {
        let frame = match timeout(silence, incoming.next()).await {
            Err(_) => return LinkDown::Silent,
            Ok(None) => return LinkDown::Closed,
            Ok(Some(Err(_))) => return LinkDown::Failed(LinkError::Transport),
            Ok(Some(Ok(frame))) => frame,
        };
        let bytes = match frame {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return LinkDown::Closed,
            _ => continue,
        };
        match codec::decode(&bytes) {
            Ok(LinkMessage::Heartbeat { .. } | LinkMessage::HeartbeatAck { .. }) => {
                sink(LinkEvent::Heartbeat { peer: peer.clone() });
            }
            Ok(message) => sink(LinkEvent::Message { peer: peer.clone(), link, message }),
            Err(fault) => return LinkDown::Failed(fault),
        }
    }
}

/// Each end says something at least once a heartbeat, so each end's silence limit watches the
/// other's direction; an answer to a heartbeat would only double the bytes of idle links. A link
/// that carries one way only is closed by the end that hears nothing.
async fn write_all(
    mut outgoing: SplitSink<LinkSocket, Message>,
    messages: Receiver<LinkMessage>,
    heartbeat: Duration,
) -> LinkDown {
    let mut sequence = 0;
    loop {
        let message = match timeout(heartbeat, messages.recv()).await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) => {
                let _ = timeout(heartbeat, outgoing.close()).await;
                return LinkDown::Closed;
            }
            Err(_) => {
                sequence += 1;
                LinkMessage::Heartbeat { sequence }
            }
        };
        if let Err(fault) = write_batch(&mut outgoing, message, &messages).await {
            return LinkDown::Failed(fault);
        }
    }
}

/// Writes what is queued and flushes once: a flush a message would cost a system call each.
async fn write_batch(
    outgoing: &mut SplitSink<LinkSocket, Message>,
    first: LinkMessage,
    messages: &Receiver<LinkMessage>,
) -> Result<(), LinkError> {
    feed(outgoing, &first).await?;
    for _ in 1..WRITE_BATCH {
        let Ok(message) = messages.try_recv() else { break };
        feed(outgoing, &message).await?;
    }
    outgoing.flush().await.map_err(|_| LinkError::Transport)
}

async fn feed(
    outgoing: &mut SplitSink<LinkSocket, Message>,
    message: &LinkMessage,
) -> Result<(), LinkError> {
    let bytes = codec::encode(message)?;
    outgoing.feed(Message::binary(bytes)).await.map_err(|_| LinkError::Transport)
}
