//! Measures server and client together on loopback: kept against new connections, and both
//! against a bare TCP exchange of as many bytes, in one run.
#![allow(clippy::print_stdout, reason = "its output is the measurement")]

use std::time::{Duration, Instant};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use notch_http::prelude::*;

/// Requests one after another.
const SEQUENTIAL: usize = 5_000;
/// Requests in all from many callers at once.
const TOGETHER: usize = 40_000;
/// Callers at once.
const CALLERS: usize = 32;
/// Bytes of each request's and each answer's body.
const BODY: usize = 512;
/// Parts of one streamed answer.
const PARTS: usize = 20_000;

/// A failed step ends the measurement.
type Step<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> Step<()> {
    task::block_on(measure())
}

async fn measure() -> Step<()> {
    let handler = |mut request: Request| -> BoxFuture<'static, Response> {
        Box::pin(async move {
            let mut response = Response::new(200);
            if request.url().path() == "/parts" {
                response.set_body(parts());
            } else if let Ok(bytes) = read_body(request.take_body(), 1 << 20).await {
                response.set_body(bytes);
            }
            response
        })
    };
    let server = HttpServer::bind("127.0.0.1:0", ServerLimits::default(), handler).await?;
    let url = Url::parse(&format!("http://{}/echo", server.address()))?;
    let kept = HttpClient::default();
    let new = HttpClient::new(ClientSettings { idle_per_address: 0, ..ClientSettings::default() });

    let bare = sequential_bare().await?;
    show("bare TCP, kept connection", &bare);
    let kept_times = sequential(&kept, &url).await?;
    show("HTTP, kept connection", &kept_times);
    let new_times = sequential(&new, &url).await?;
    show("HTTP, new connection each", &new_times);
    let added = |q| at(&kept_times, q).saturating_sub(at(&bare, q)).as_micros();
    println!("added by HTTP over bare TCP: p50 {} us, p99 {} us", added(0.5), added(0.99));

    let kept_rate = together(&kept, &url).await?;
    let new_rate = together(&new, &url).await?;
    println!("{CALLERS} callers, kept connections: {kept_rate:.0} requests/s");
    println!("{CALLERS} callers, new connections:  {new_rate:.0} requests/s");
    println!("kept / new: {:.2}", kept_rate / new_rate);
    println!("streamed parts read one by one: {:.0} parts/s", stream_rate(&kept, &url).await?);
    Ok(())
}

async fn ask(client: &HttpClient, url: &Url) -> Step<()> {
    let mut request = Request::new(Method::Post, url.clone());
    request.set_body(vec![b'x'; BODY]);
    let mut response = client.send(request).await?;
    let body = read_body(response.take_body(), 1 << 20).await?;
    if body.len() == BODY { Ok(()) } else { Err("wrong answer".into()) }
}

async fn sequential(client: &HttpClient, url: &Url) -> Step<Vec<Duration>> {
    let mut times = Vec::with_capacity(SEQUENTIAL);
    for _ in 0..SEQUENTIAL {
        let started = Instant::now();
        ask(client, url).await?;
        times.push(started.elapsed());
    }
    times.sort();
    Ok(times)
}

/// The same bytes over a bare connection, echoed.
async fn sequential_bare() -> Step<Vec<Duration>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let echo = task::spawn(async move {
        let (mut socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        let mut bytes = [0; BODY];
        while socket.read_exact(&mut bytes).await.is_ok() {
            socket.write_all(&bytes).await?;
        }
        Ok::<(), std::io::Error>(())
    });
    let mut socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let mut bytes = [0; BODY];
    let mut times = Vec::with_capacity(SEQUENTIAL);
    for _ in 0..SEQUENTIAL {
        let started = Instant::now();
        socket.write_all(&bytes).await?;
        socket.read_exact(&mut bytes).await?;
        times.push(started.elapsed());
    }
    drop(socket);
    echo.await?;
    times.sort();
    Ok(times)
}

/// Requests a second from many callers at once.
async fn together(client: &HttpClient, url: &Url) -> Step<f64> {
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (client, url) = (client.clone(), url.clone());
            task::spawn(async move {
                for _ in 0..TOGETHER / CALLERS {
                    ask(&client, &url).await?;
                }
                Ok(())
            })
        })
        .collect();
    for caller in callers {
        let ended: Step<()> = caller.await;
        ended?;
    }
    Ok((TOGETHER / CALLERS * CALLERS) as f64 / started.elapsed().as_secs_f64())
}

fn parts() -> Body {
    let (sender, body) = streamed_body();
    task::spawn(async move {
        for _ in 0..PARTS {
            if sender.send(b"data: {\"token\":\"word\"}\n\n".to_vec()).await.is_err() {
                return;
            }
        }
        // A caller that left in the last moment has all it wanted.
        let _ = sender.finish().await;
    });
    body
}

/// Parts of a streamed answer a second.
async fn stream_rate(client: &HttpClient, url: &Url) -> Step<f64> {
    let started = Instant::now();
    let request = Request::new(Method::Get, url.join("/parts")?);
    let mut response = client.send(request).await?;
    read_body(response.take_body(), 1 << 30).await?;
    Ok(PARTS as f64 / started.elapsed().as_secs_f64())
}

fn at(times: &[Duration], quantile: f64) -> Duration {
    let place = (times.len() as f64 * quantile) as usize;
    times.get(place.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn show(name: &str, times: &[Duration]) {
    let micros = |quantile| at(times, quantile).as_micros();
    println!("{name}: p50 {} us, p99 {} us", micros(0.5), micros(0.99));
}
