//! Builds and writes messages.

use std::{fmt::Write as _, time::Duration};

use async_std::{future::timeout, io::WriteExt, net::TcpStream};

use crate::{error::WireError, headers::HeaderList};

/// Final chunk of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Builds the bytes of one message.
#[derive(Debug, Clone, Default)]
pub struct MessageWriter {
    text: String,
}

impl MessageWriter {
    /// Starts a request.
    pub fn request(method: &str, target: &str) -> Self {
        Self { text: format!("{method} {target} HTTP/1.1\r\n") }
    }

    /// Starts a response.
    pub fn response(status: u16) -> Self {
        Self { text: format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)) }
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: impl std::fmt::Display) -> &mut Self {
        // Writing to a string never fails.
        let _ = write!(self.text, "{name}: {value}\r\n");
        self
    }

    /// Adds all `headers` but the hop-by-hop ones and those in `except`.
    pub fn copy(&mut self, headers: &HeaderList, except: &[&str]) -> &mut Self {
        for (name, value) in headers.iter() {
            let is_excluded = except.iter().any(|e| e.eq_ignore_ascii_case(name));
            if !is_excluded && !headers.is_hop_by_hop(name) {
                self.header(name, value);
            }
        }
        self
    }

    /// Returns the bytes of the message with a body of known length.
    pub fn with_body(mut self, body: &[u8]) -> Vec<u8> {
        self.header("Content-Length", body.len());
        let mut bytes = self.into_head();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Returns the bytes of the head of a message whose body of `length` bytes is written separately.
    pub fn with_length(mut self, length: u64) -> Vec<u8> {
        self.header("Content-Length", length);
        self.into_head()
    }

    /// Returns the bytes of the head; the body is to follow in chunks.
    pub fn with_chunks(mut self) -> Vec<u8> {
        self.header("Transfer-Encoding", "chunked");
        self.into_head()
    }

    /// Returns the bytes of the head; the body is to follow until the connection ends.
    pub fn until_close(self) -> Vec<u8> {
        self.into_head()
    }

    fn into_head(self) -> Vec<u8> {
        let mut bytes = self.text.into_bytes();
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Appends a chunk to `bytes`. Empty data is skipped, as an empty chunk would end the body.
pub fn write_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

/// Writes all bytes to a connection.
///
/// # Errors
/// `Io` when the connection failed.
pub async fn write_all(stream: &TcpStream, bytes: &[u8]) -> Result<(), WireError> {
    let mut stream = stream;
    stream.write_all(bytes).await?;
    Ok(())
}

/// Writes all bytes to a connection whose other end may read slowly.
///
/// # Errors
/// `Stalled` when nothing could be written for `stall`, `Io` when the connection failed.
pub async fn write_within(
    stream: &TcpStream,
    bytes: &[u8],
    stall: Duration,
) -> Result<(), WireError> {
    let mut stream = stream;
    let mut left = bytes;
    while !left.is_empty() {
        let written =
            timeout(stall, stream.write(left)).await.map_err(|_| WireError::Stalled)??;
        if written == 0 {
            return Err(WireError::Closed);
        }
        left = &left[written..];
    }
    Ok(())
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
