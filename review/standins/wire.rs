//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    thread,
    time::Duration,
};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Listens on a free port of the loopback interface and serves each connection in a thread.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// The head and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self::new(stream))
    }

    /// Limits how much of what the client has not read the system holds for it.
    pub fn limit_receive_buffer(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the descriptor is open, and the option is an integer of this size.
        unsafe {
            setsockopt(
                self.stream.as_raw_fd(),
                SOL_SOCKET,
                SO_RCVBUF,
                &bytes,
                size_of::<i32>() as u32,
            );
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0_u8; 16 << 10];
        let read = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the head of a message; `None` when the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Takes up to `count` bytes; fewer only at the end of the connection.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        while self.buffer.len() < count {
            match self.fill() {
                Ok(read) if read > 0 => {}
                _ => break,
            }
        }
        let count = count.min(self.buffer.len());
        self.buffer.drain(..count).collect()
    }

    /// Reads the body of `message`. An answer without a length ends with its connection.
    pub fn body(&mut self, message: &mut Message) {
        if message.header("Transfer-Encoding").is_some() {
            self.chunks(message);
            return;
        }
        let length = message.header("Content-Length").and_then(|length| length.parse().ok());
        let is_answer = message.line.starts_with("HTTP/");
        match length {
            Some(length) => {
                message.body = self.take(length);
                message.is_whole = message.body.len() == length;
            }
            None if is_answer => {
                message.body = self.take(usize::MAX);
                message.is_whole = true;
            }
            None => message.is_whole = true,
        }
    }

    fn chunks(&mut self, message: &mut Message) {
        loop {
            let Ok(Some(line)) = self.line() else { return };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let part = self.take(size);
            let is_whole = part.len() == size;
            message.body.extend_from_slice(&part);
            if !is_whole || self.take(2) != b"\r\n" {
                return;
            }
            if size == 0 {
                message.is_whole = true;
                return;
            }
        }
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head().ok()??;
        self.body(&mut message);
        message.is_whole.then_some(message)
    }

    /// Reads an answer; `None` if not even its head came.
    pub fn answer(&mut self) -> Option<Message> {
        let mut message = self.head().ok()??;
        self.body(&mut message);
        Some(message)
    }
}

/// The bytes of an answer with a body.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The bytes of a request.
pub fn request(method: &str, target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("{method} {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Makes one call on a new connection.
pub fn call(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut connection = Connection::open(address).ok()?;
    connection.send(bytes).ok()?;
    connection.answer()
}
