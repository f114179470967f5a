//! One standing link: reads, writes, heartbeats and the silence limit.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

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
    encoded::EncodedMessage,
    error::LinkError,
    event::{LinkDown, LinkEvent, LinkHandle, LinkPeer, LinkSink},
    handshake::LinkSocket,
    queue::{LinkQueue, QueueLimits},
    settings::LinkSettings,
};

/// Messages written before the socket is flushed, at most.
const WRITE_BATCH: usize = 64;
/// Bytes read from, or gathered for, one socket at a time. Each link holds a buffer of this size for each
/// way, so a process with hundreds of links pays for it hundreds of times.
const SOCKET_BUFFER: usize = 8 << 10;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// WebSocket limits: one message a frame, bounded.
pub(crate) fn socket_config(settings: &LinkSettings) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(SOCKET_BUFFER)
        .write_buffer_size(SOCKET_BUFFER)
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
    let limits = QueueLimits { messages: settings.queue, bytes: settings.queue_bytes };
    let queue = Arc::new(LinkQueue::new(limits));
    let link = LinkHandle { id, queue: Arc::clone(&queue) };
    sink(LinkEvent::Up { peer: peer.clone(), link });
    let mut guard = DownGuard { peer: &peer, link: id, reason: LinkDown::Closed, sink };
    let (outgoing, incoming) = socket.split();
    let reading = read_all(incoming, settings.silence, &peer, id, sink);
    let writing = write_all(outgoing, &queue, settings.heartbeat);
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
            Ok(message) => {
                let bytes = bytes.len();
                sink(LinkEvent::Message { peer: peer.clone(), link, message, bytes });
            }
            Err(fault) => return LinkDown::Failed(fault),
        }
    }
}

/// Each end says something at least once a heartbeat, so each end's silence limit watches the
/// other's direction; an answer to a heartbeat would only double the bytes of idle links. A link
/// that carries one way only is closed by the end that hears nothing.
async fn write_all(
    mut outgoing: SplitSink<LinkSocket, Message>,
    queue: &LinkQueue,
    heartbeat: Duration,
) -> LinkDown {
    let mut sequence = 0;
    loop {
        let message = match timeout(heartbeat, queue.pop()).await {
            Ok(Some(message)) => Ok(message),
            Ok(None) => {
                let _ = timeout(heartbeat, outgoing.close()).await;
                return LinkDown::Closed;
            }
            Err(_) => {
                sequence += 1;
                EncodedMessage::encode(&LinkMessage::Heartbeat { sequence })
            }
        };
        let written = match message {
            Ok(message) => write_batch(&mut outgoing, message, queue).await,
            Err(fault) => Err(fault),
        };
        if let Err(fault) = written {
            return LinkDown::Failed(fault);
        }
    }
}

/// Writes what is queued and flushes once: a flush a message would cost a system call each.
async fn write_batch(
    outgoing: &mut SplitSink<LinkSocket, Message>,
    first: EncodedMessage,
    queue: &LinkQueue,
) -> Result<(), LinkError> {
    feed(outgoing, first).await?;
    for _ in 1..WRITE_BATCH {
        let Some(message) = queue.try_pop() else { break };
        feed(outgoing, message).await?;
    }
    outgoing.flush().await.map_err(|_| LinkError::Transport)
}

async fn feed(
    outgoing: &mut SplitSink<LinkSocket, Message>,
    message: EncodedMessage,
) -> Result<(), LinkError> {
    let frame = Message::Binary(message.into_bytes());
    outgoing.feed(frame).await.map_err(|_| LinkError::Transport)
}
