//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the word of the start line at this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, within: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, within)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65536];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a message with its whole body. `None` if the peer closed before the first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let start = match self.line() {
            Ok(line) => line,
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && self.buf.is_empty() => {
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        let mut msg = Message { start, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
            msg.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let chunked = msg.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| bad("chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                let data = self.exact(size)?;
                msg.body.extend_from_slice(&data);
                self.exact(2)?;
            }
        } else if let Some(len) = msg.header("content-length") {
            let len = len.parse().map_err(|_| bad("length"))?;
            msg.body = self.exact(len)?;
        } else if msg.start.starts_with("HTTP/") && !matches!(msg.status(), 204 | 304) {
            // The end of the connection ends the body.
            while self.fill()? > 0 {}
            msg.body = std::mem::take(&mut self.buf);
        }
        Ok(Some(msg))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Formats a message with a body of known length.
pub fn format(start: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || start.starts_with("HTTP/") || start.starts_with("POST") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the answer, all within a time.
pub fn call(address: SocketAddr, request: &[u8], within: Duration) -> io::Result<Message> {
    let end = Instant::now() + within;
    let mut conn = Conn::connect(address, within.min(Duration::from_secs(1)))?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left))?;
    conn.stream.set_write_timeout(Some(left))?;
    conn.write(request)?;
    conn.read()?.ok_or_else(|| bad("closed without an answer"))
}
