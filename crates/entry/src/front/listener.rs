//! Accepts connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};

/// Pause after a failed accept, so that running out of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens at `address` and serves each connection by a task of its own until the process ends.
///
/// # Errors
/// The address can't be bound.
pub async fn listen<S, F>(address: SocketAddr, serve: S) -> io::Result<task::JoinHandle<()>>
where
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let serve = Arc::new(serve);
    Ok(task::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Without it events would wait for acknowledgements; a socket that refuses it
                    // still works.
                    let _ = stream.set_nodelay(true);
                    let serving = serve(stream);
                    task::spawn(serving);
                }
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    }))
}
