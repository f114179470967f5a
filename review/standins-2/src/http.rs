//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0_u8; 65536];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Message { start, headers, body: Vec::new() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|e| e.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.exactly(size)?;
                message.body.extend_from_slice(&data);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length").and_then(|l| l.parse().ok()) {
            message.body = self.exactly(length)?;
        }
        Ok(Some(message))
    }
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own and reads the answer, within `wait` in all.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(wait))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(wait))?;
    stream.write_all(&request(method, path, headers, body))?;
    let left = wait.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let answer = Reader::new(stream).message()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
