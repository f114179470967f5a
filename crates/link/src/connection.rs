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

/// Heartbeat answers that may wait.
const ACK_QUEUE: usize = 8;

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
    let (acks, ack_queue) = async_channel::bounded(ACK_QUEUE);
    let reading = read_all(incoming, settings.silence, &peer, id, sink, acks);
    let writing = write_all(outgoing, messages, ack_queue, settings.heartbeat);
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
    acks: async_channel::Sender<LinkMessage>,
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
            Ok(LinkMessage::Heartbeat { sequence }) => {
                // A full queue means that answers are on their way already.
                let _ = acks.try_send(LinkMessage::HeartbeatAck { sequence });
            }
            Ok(LinkMessage::HeartbeatAck { .. }) => {}
            Ok(message) => sink(LinkEvent::Message { peer: peer.clone(), link, message }),
            Err(fault) => return LinkDown::Failed(fault),
        }
    }
}

async fn write_all(
    mut outgoing: SplitSink<LinkSocket, Message>,
    messages: Receiver<LinkMessage>,
    acks: Receiver<LinkMessage>,
    heartbeat: Duration,
) -> LinkDown {
    let mut sequence = 0;
    loop {
        let message = match timeout(heartbeat, next_message(&messages, &acks)).await {
            Ok(Some(message)) => message,
            Ok(None) => {
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

/// Acks go first: a link under load must not look silent.
async fn next_message(
    messages: &Receiver<LinkMessage>,
    acks: &Receiver<LinkMessage>,
) -> Option<LinkMessage> {
    if let Ok(ack) = acks.try_recv() {
        return Some(ack);
    }
    let ack = acks.recv();
    let message = messages.recv();
    pin_mut!(ack, message);
    match select(ack, message).await {
        Either::Left((Ok(ack), _)) => Some(ack),
        Either::Left((Err(_), message)) => message.await.ok(),
        Either::Right((message, _)) => message.ok(),
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
