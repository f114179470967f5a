//! Links over loopback: authentication, order of messages, and replacement of failed and silent
//! connections.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up is the failure of the test")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use notch_link::{codec, prelude::*};
use notch_messages::prelude::*;
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

const ANY_PORT: &str = "127.0.0.1:0";

fn settings(vm: &str, secret: &str) -> LinkSettings {
    LinkSettings {
        vm: VmName::new(vm),
        secret: LinkSecret::new(secret.as_bytes()),
        heartbeat: Duration::from_millis(50),
        silence: Duration::from_millis(300),
        redial_min: Duration::from_millis(10),
        redial_max: Duration::from_millis(50),
        ..LinkSettings::default()
    }
}

fn sink() -> (LinkSink, Receiver<LinkEvent>) {
    let (sender, receiver): (Sender<LinkEvent>, _) = async_channel::unbounded();
    let sink: LinkSink = Arc::new(move |event| {
        let _ = sender.try_send(event);
    });
    (sink, receiver)
}

fn ping(sequence: u64) -> LinkMessage {
    LinkMessage::Gossip(GossipMessage::Ping { sequence, members: vec![], rumors: vec![] })
}

async fn next_up(events: &Receiver<LinkEvent>) -> (LinkPeer, LinkHandle) {
    loop {
        if let LinkEvent::Up { peer, link } = events.recv().await.unwrap() {
            return (peer, link);
        }
    }
}

async fn next_message(events: &Receiver<LinkEvent>) -> LinkMessage {
    loop {
        if let LinkEvent::Message { message, .. } = events.recv().await.unwrap() {
            return message;
        }
    }
}

async fn next_down(events: &Receiver<LinkEvent>) -> LinkDown {
    loop {
        if let LinkEvent::Down { reason, .. } = events.recv().await.unwrap() {
            return reason;
        }
    }
}

#[async_std::test]
async fn messages_arrive_in_order_both_ways() {
    let (sink_b, events_b) = sink();
    let listener =
        LinkListener::start(ANY_PORT.parse().unwrap(), settings("b", "s"), sink_b).await.unwrap();
    let (sink_a, events_a) = sink();
    let _dialer =
        LinkDialer::start(listener.address(), &VmName::new("b"), settings("a", "s"), sink_a);
    let (peer, to_b) = next_up(&events_a).await;
    assert_eq!(peer.vm, VmName::new("b"));
    let (peer, to_a) = next_up(&events_b).await;
    assert_eq!(peer.vm, VmName::new("a"));
    for sequence in 0..500 {
        to_b.send(ping(sequence)).unwrap();
        to_a.send(ping(sequence)).unwrap();
    }
    for sequence in 0..500 {
        assert_eq!(next_message(&events_b).await, ping(sequence));
        assert_eq!(next_message(&events_a).await, ping(sequence));
    }
}

// Guards against links that are trusted for their address alone: any process that reaches the
// port, with a wrong secret or as a different VM, could send orders to targets or act as a peer.
#[rstest]
#[case::wrong_secret("a-secret", "b-secret", "b")]
#[case::empty_secret("a-secret", "", "b")]
#[case::wrong_vm("same", "same", "c")]
#[async_std::test]
async fn an_unauthenticated_peer_gets_no_link(
    #[case] ours: &str,
    #[case] theirs: &str,
    #[case] expected: &str,
) {
    let (sink_b, events_b) = sink();
    let listener =
        LinkListener::start(ANY_PORT.parse().unwrap(), settings("b", ours), sink_b).await.unwrap();
    let (sink_a, events_a) = sink();
    let dialer = LinkDialer::start(
        listener.address(),
        &VmName::new(expected),
        settings("a", theirs),
        sink_a,
    );
    task::sleep(Duration::from_millis(200)).await;
    dialer.stop().await;
    assert!(events_a.try_recv().is_err());
    if ours != theirs {
        assert!(events_b.try_recv().is_err());
    }
}

// Guards against proofs that don't depend on a nonce of the listener: an eavesdropper could record
// the dialler's bytes of a successful handshake and replay them.
#[async_std::test]
async fn a_replayed_handshake_is_refused() {
    let (sink_b, events_b) = sink();
    let listener =
        LinkListener::start(ANY_PORT.parse().unwrap(), settings("b", "s"), sink_b).await.unwrap();
    let (proxy, recorded) = recording_proxy(listener.address()).await;
    let (sink_a, events_a) = sink();
    let dialer = LinkDialer::start(proxy, &VmName::new("b"), settings("a", "s"), sink_a);
    next_up(&events_a).await;
    next_up(&events_b).await;
    dialer.stop().await;
    next_down(&events_b).await;
    let mut bytes = Vec::new();
    while let Ok(part) = recorded.try_recv() {
        bytes.extend(part);
    }
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = async_std::future::timeout(Duration::from_millis(500), stream.read_to_end(&mut answer))
        .await;
    assert!(events_b.try_recv().is_err());
}

// Guards against links that hang forever when a middlebox stops forwarding bytes but keeps both
// connections open: neither end gets an error, and requests wait until their deadlines.
#[async_std::test]
async fn a_silent_connection_is_replaced() {
    let (sink_b, events_b) = sink();
    let listener =
        LinkListener::start(ANY_PORT.parse().unwrap(), settings("b", "s"), sink_b).await.unwrap();
    let (proxy, freeze) = freezing_proxy(listener.address()).await;
    let (sink_a, events_a) = sink();
    let _dialer = LinkDialer::start(proxy, &VmName::new("b"), settings("a", "s"), sink_a);
    let (_, first) = next_up(&events_a).await;
    freeze.send(()).await.unwrap();
    assert_eq!(next_down(&events_a).await, LinkDown::Silent);
    let (_, second) = next_up(&events_a).await;
    assert_ne!(first.id(), second.id());
    next_up(&events_b).await;
    second.send(ping(7)).unwrap();
    assert_eq!(next_message(&events_b).await, ping(7));
}

// Guards against a dialler that gives up after the first loss: every send would fail after a peer
// restarted on the same port.
#[async_std::test]
async fn a_restarted_peer_is_dialled_again() {
    let (sink_b, _events_b) = sink();
    let listener =
        LinkListener::start(ANY_PORT.parse().unwrap(), settings("b", "s"), sink_b).await.unwrap();
    let address = listener.address();
    let (sink_a, events_a) = sink();
    let _dialer = LinkDialer::start(address, &VmName::new("b"), settings("a", "s"), sink_a);
    next_up(&events_a).await;
    listener.stop().await;
    next_down(&events_a).await;
    let (sink_b, events_b) = sink();
    let _again = LinkListener::start(address, settings("b", "s"), sink_b).await.unwrap();
    let (_, link) = next_up(&events_a).await;
    link.send(ping(1)).unwrap();
    assert_eq!(next_message(&events_b).await, ping(1));
}

/// Forwards bytes in both directions and records those that the dialler sent.
async fn recording_proxy(target: SocketAddr) -> (SocketAddr, Receiver<Vec<u8>>) {
    let (sender, receiver) = async_channel::unbounded();
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let onward = TcpStream::connect(target).await.unwrap();
            task::spawn(forward(onward.clone(), stream.clone(), None, None));
            task::spawn(forward(stream, onward, Some(sender.clone()), None));
        }
    });
    (address, receiver)
}

/// Forwards bytes in both directions. After a message on the channel the first connection stays
/// open but forwards nothing more, while new connections work.
async fn freezing_proxy(target: SocketAddr) -> (SocketAddr, Sender<()>) {
    let (freeze, frozen) = async_channel::bounded::<()>(1);
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut first = true;
        while let Ok((stream, _)) = listener.accept().await {
            let onward = TcpStream::connect(target).await.unwrap();
            let stop = std::mem::take(&mut first).then(|| frozen.clone());
            task::spawn(forward(onward.clone(), stream.clone(), None, stop.clone()));
            task::spawn(forward(stream, onward, None, stop));
        }
    });
    (address, freeze)
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    record: Option<Sender<Vec<u8>>>,
    freeze: Option<Receiver<()>>,
) {
    let mut bytes = vec![0; 4096];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if freeze.as_ref().is_some_and(|freeze| !freeze.is_empty()) {
            task::sleep(Duration::from_secs(3)).await;
            return;
        }
        if let Some(record) = &record {
            let _ = record.send(bytes[..count].to_vec()).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

proptest! {
    #![proptest_config(Config {
        cases: 512, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default()
    })]

    // Guards against a decoder that trusts lengths or indexes: one invalid frame on a link could
    // crash the process.
    #[test]
    fn any_bytes_decode_or_fail_cleanly(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode::<LinkMessage>(&bytes);
    }

    #[test]
    fn a_cut_or_lengthened_message_is_refused(sequence in any::<u64>(), cut in 1_usize..8) {
        let mut bytes = codec::encode(&ping(sequence)).unwrap();
        prop_assert_eq!(codec::decode::<LinkMessage>(&bytes).unwrap(), ping(sequence));
        let whole = bytes.len();
        prop_assert!(codec::decode::<LinkMessage>(&bytes[..whole - cut]).is_err());
        bytes.push(0);
        prop_assert!(codec::decode::<LinkMessage>(&bytes).is_err());
    }
}
