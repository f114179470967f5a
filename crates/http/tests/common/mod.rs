//! What the tests of both edges share: a server with one route a behaviour, and raw connections.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(unreachable_pub, missing_docs, clippy::unwrap_used, reason = "test code")]

use std::{net::Shutdown, pin::pin, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::{
    future::pending,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use futures_util::future::{Either, select};
use notch_http::prelude::*;

/// Far more than any step needs; only a hang gets here.
const HANG: Duration = Duration::from_secs(20);

/// A server and what its handlers report.
pub struct Bench {
    pub server: ServerHandle,
    pub events: Receiver<String>,
    /// Lets the `/stream` route send its second part.
    pub release: Sender<()>,
}

pub async fn start(limits: ServerLimits) -> Bench {
    let (report, events) = async_channel::unbounded();
    let (release, gate) = async_channel::unbounded();
    let handler = move |request: Request| -> BoxFuture<'static, Response> {
        Box::pin(answer(request, report.clone(), gate.clone()))
    };
    let server = HttpServer::bind("127.0.0.1:0", limits, handler).await.unwrap();
    Bench { server, events, release }
}

async fn answer(mut request: Request, report: Sender<String>, gate: Receiver<()>) -> Response {
    let mut response = Response::new(200);
    match request.url().path() {
        "/hello" => response.set_body("hello"),
        "/ignore" => response.set_body("ignored"),
        "/echo" => match read_body(request.take_body(), 8 << 20).await {
            Ok(bytes) => response.set_body(bytes),
            Err(error) => {
                report.send(format!("{error:?}")).await.unwrap();
                response.set_status(StatusCode::PayloadTooLarge);
            }
        },
        "/stream" => response.set_body(stream_parts(report, gate)),
        "/flood" => response.set_body(flood(report)),
        "/short" => {
            response.set_body(Body::from_reader(async_std::io::Cursor::new("abc"), Some(10)));
        }
        "/forged" => {
            response.insert_header("x-note", "a\r\nx-forged: b");
        }
        "/wait" => {
            let _dropped = DropReport(report.clone());
            report.send("waiting".into()).await.unwrap();
            pending::<()>().await;
        }
        "/panic" => panic!("on purpose"),
        _ => response.set_status(StatusCode::NotFound),
    }
    response
}

struct DropReport(Sender<String>);

impl Drop for DropReport {
    fn drop(&mut self) {
        self.0.try_send("dropped".into()).unwrap();
    }
}

/// Sends one part, waits to be released, sends another and ends well.
fn stream_parts(report: Sender<String>, gate: Receiver<()>) -> Body {
    let (sender, body) = streamed_body();
    async_std::task::spawn(async move {
        sender.send(b"first;".to_vec()).await.unwrap();
        let released = {
            let (released, gone) = (pin!(gate.recv()), pin!(sender.gone()));
            matches!(select(released, gone).await, Either::Left(_))
        };
        if !released {
            return report.send("gone".into()).await.unwrap();
        }
        sender.send(b"second;".to_vec()).await.unwrap();
        sender.finish().await.unwrap();
    });
    body
}

/// Sends without end; reports when nobody reads any more.
fn flood(report: Sender<String>) -> Body {
    let (sender, body) = streamed_body();
    async_std::task::spawn(async move {
        while sender.send(vec![b'x'; 64 << 10]).await.is_ok() {}
        report.send("gone".into()).await.unwrap();
    });
    body
}

impl Bench {
    pub async fn connect(&self) -> RawConnection {
        RawConnection(TcpStream::connect(self.server.address()).await.unwrap())
    }

    pub async fn event(&self) -> String {
        within(self.events.recv()).await.unwrap()
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server.address())
    }
}

/// Fails the test when a step hangs. The guard is asked first: its own waking must not be what
/// ends a step that lost its waker.
pub async fn within<T>(step: impl Future<Output = T>) -> T {
    let (guard, step) = (pin!(async_std::task::sleep(HANG)), pin!(step));
    match select(guard, step).await {
        Either::Left(_) => panic!("hangs"),
        Either::Right((value, _)) => value,
    }
}

/// Waits until `reached` holds.
pub async fn eventually(reached: impl Fn() -> bool) {
    within(async {
        while !reached() {
            async_std::task::yield_now().await;
        }
    })
    .await;
}

/// A connection driven byte by byte.
pub struct RawConnection(pub TcpStream);

impl RawConnection {
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        // The peer may refuse and close before it has read everything.
        let _ = self.0.write_all(bytes.as_ref()).await;
    }

    /// Everything until the peer closes.
    pub async fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = within(self.0.read_to_end(&mut bytes)).await;
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until `mark` was seen.
    pub async fn until(&mut self, mark: &str) -> String {
        let mut text = String::new();
        let mut byte = [0_u8];
        while !text.ends_with(mark) {
            let count = within(self.0.read(&mut byte)).await.unwrap();
            assert_eq!(count, 1, "closed after {text:?}");
            text.push(byte[0] as char);
        }
        text
    }

    pub async fn ask(&mut self, bytes: impl AsRef<[u8]>) -> String {
        self.send(bytes).await;
        self.rest().await
    }

    pub fn close(self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// A request as text; `headers` end with line breaks.
pub fn text(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: test\r\n{headers}\r\n{body}")
}
