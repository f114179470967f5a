//! An established link: reading, writing, heartbeats and detection of silent connections.

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

/// Maximum number of messages written before the socket is flushed.
const WRITE_BATCH: usize = 64;
/// Size of the read buffer and of the write buffer of a socket, bytes. Each link has both, so they
/// are kept small for processes with hundreds of links.
const SOCKET_BUFFER: usize = 8 << 10;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// WebSocket buffers and size limits. A message is sent as one frame, so both have the same limit.
pub(crate) fn socket_config(settings: &LinkSettings) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(SOCKET_BUFFER)
        .write_buffer_size(SOCKET_BUFFER)
        .max_message_size(Some(settings.max_message_bytes))
        .max_frame_size(Some(settings.max_message_bytes))
}

/// Reports the end of the link exactly once, even if the link's task is cancelled. Otherwise
/// receivers of the events would keep their state of the link forever.
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

/// Runs an authenticated link until it ends and reports its events to `sink`.
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
    // The direction that ends first cancels the other: after a silence time-out the reader must
    // not wait for the writer, which may be blocked on the same silent connection.
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

/// Writes queued messages, and a heartbeat after each idle heartbeat interval. Since both ends do
/// this, each end detects a failure of the other's direction by its own silence limit, and
/// heartbeats need no answers, which would double the traffic of idle links. A link that
/// transports messages in one direction only is closed by the end that receives nothing.
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

/// Writes the queued messages and flushes once, because a flush per message would cost a system
/// call each.
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
