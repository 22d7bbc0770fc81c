//! A minimal HTTP/1.1 reader and writer for the stand-ins, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the second word of the first line: the target of a request or the status.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead on it.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Connects to `address`.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?))
    }

    /// Reads one message with its whole body. `None` if the connection ended before one began.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut msg) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut msg)?;
        Ok(Some(msg))
    }

    /// Reads the head of a message. `None` if the connection ended before one began.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut msg = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                msg.fields
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(msg))
    }

    /// Reads the body of a message whose head has been read.
    pub fn read_body(&mut self, msg: &mut Message) -> io::Result<()> {
        if msg
            .field("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            msg.body = self.read_chunks()?;
            return Ok(());
        }
        let len: usize = msg.field("content-length").parse().unwrap_or(0);
        msg.body = self.take(len)?;
        Ok(())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if len == 0 {
                self.take_line()?;
                return Ok(body);
            }
            body.extend(self.take(len)?);
            self.take_line()?;
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line = self.ahead.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < len {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..len).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16 * 1024];
        let len = self.stream.read(&mut buf)?;
        self.ahead.extend_from_slice(&buf[..len]);
        Ok(len > 0)
    }

    /// Writes a message; the length of the body is added.
    pub fn write(&mut self, start: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start}\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its answer.
    pub fn call(
        &mut self,
        start: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.write(start, fields, body)?;
        self.read()?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends a request on a connection of its own; `None` without a complete answer.
pub fn once(address: SocketAddr, start: &str, fields: &[(&str, &str)]) -> Option<Message> {
    let mut connection = Connection::open(address).ok()?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .ok()?;
    connection.call(start, fields, b"").ok()
}
