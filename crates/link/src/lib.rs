//! Links between the system's own processes: WebSocket frames of CBOR over TCP, with a mutual
//! proof of the shared secret at the start, heartbeats when idle, and a silence limit.

pub mod codec;
mod connection;
pub mod dialer;
pub mod encoded;
pub mod error;
pub mod event;
mod handshake;
pub mod listener;
pub mod queue;
pub mod secret;
pub mod settings;

/// What daemons use.
pub mod prelude {
    pub use crate::{
        dialer::LinkDialer,
        encoded::EncodedMessage,
        error::LinkError,
        event::{LinkDown, LinkEvent, LinkHandle, LinkPeer, LinkSink},
        listener::LinkListener,
        secret::LinkSecret,
        settings::LinkSettings,
    };
}
