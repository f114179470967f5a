//! HTTP/1.1 server and client edges over async-h1, with the limits it lacks.

pub mod body;
pub mod client;
mod guard;
pub mod server;

pub use async_std::net::TcpListener;
pub use http_types;

/// What users of this crate nearly always need.
pub mod prelude {
    pub use http_types::{Body, Method, Request, Response, StatusCode, Url};

    pub use crate::{
        body::{BodyError, BodySender, read_body, streamed_body},
        client::{
            HttpClient,
            counts::ClientCounts,
            error::{ClientError, LostCause, SendFailure},
            settings::ClientSettings,
        },
        server::{
            BoxFuture, HttpServer, counts::ServerCounts, handle::ServerHandle, limits::ServerLimits,
        },
    };
}
