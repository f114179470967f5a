//! Accepts TCP connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};

/// Pause after a failed accept; without it the loop would spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens on `address` and serves each connection in its own task until the process ends.
///
/// # Errors
/// `address` can't be bound.
pub async fn listen<S, F>(address: SocketAddr, serve: S) -> io::Result<task::JoinHandle<()>>
where
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    listen_admitting(address, || true, serve).await
}

/// The same, but closes connections that are not admitted before anything is read from them.
///
/// # Errors
/// `address` can't be bound.
pub async fn listen_admitting<A, S, F>(
    address: SocketAddr,
    admits: A,
    serve: S,
) -> io::Result<task::JoinHandle<()>>
where
    A: Fn() -> bool + Send + Sync + 'static,
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let serve = Arc::new(serve);
    Ok(task::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if !admits() => drop(stream),
                Ok((stream, _)) => {
                    // With Nagle's algorithm, stream events would wait for acknowledgements. A failure
                    // to disable it isn't fatal.
                    let _ = stream.set_nodelay(true);
                    let connection_task = serve(stream);
                    task::spawn(connection_task);
                }
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    }))
}
