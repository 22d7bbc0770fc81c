//! A small HTTP/1.1 reader for the stand-ins.

use std::{
    io::{self, Read},
    net::TcpStream,
};

/// The head of a message: its first line and its fields, in the order received.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    /// Status of an answer; 0 if the first line is no status line.
    pub fn status(&self) -> u16 {
        if !self.line.starts_with("HTTP/1.") {
            return 0;
        }
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the stream.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Reads a head; `None` if the stream ends before one begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    fields: fields.collect(),
                }));
            }
            if !self.fill()? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "a head ends early",
                ));
            }
        }
    }

    pub fn exactly(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill()? {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "a body ends early",
                ));
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "a line ends early",
                ));
            }
        }
    }

    /// Reads the body that a head announces. `to_end`: whether a body without a length ends with the
    /// connection, as that of an answer does.
    pub fn body(&mut self, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
        if head
            .get("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
        {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "not a chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        if let Some(n) = head.get("content-length").and_then(|v| v.parse().ok()) {
            return self.exactly(n);
        }
        if to_end {
            while self.fill()? {}
            return Ok(std::mem::take(&mut self.buf));
        }
        Ok(Vec::new())
    }
}
