//! Links between the system's own processes: CBOR messages in WebSocket frames over TCP, with
//! mutual authentication by a shared secret, heartbeats on idle links, and a limit on silence
//! after which a link is replaced.

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

/// The types that processes with links use.
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
