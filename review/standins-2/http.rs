//! HTTP/1.1 over blocking sockets: heads, bodies and answers.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

/// The longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The first line and the fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the field `name`, in lower case; an empty text if it is missing.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns whether there is a field `name`.
    pub fn has(&self, name: &str) -> bool {
        self.fields.iter().any(|(n, _)| n == name)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request, with its query.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    Complete,
    Broken,
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Connects to `address`.
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; `false` at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").contains("chunked") {
            let mut body = Vec::new();
            return self.read_chunks(&mut body).map(|()| body);
        }
        let length = head.field("content-length").parse().unwrap_or(0);
        self.read_exact(length)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let part = self.read_exact(size)?;
            self.read_line()?;
            if size == 0 {
                return Ok(());
            }
            body.extend_from_slice(&part);
        }
    }

    /// Reads the body of an answer: what has arrived of it, and whether it is complete.
    pub fn read_answer_body(&mut self, head: &Head) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        let result = if matches!(head.status(), 204 | 304) {
            Ok(())
        } else if head.field("transfer-encoding").contains("chunked") {
            self.read_chunks(&mut body)
        } else if head.has("content-length") {
            let length = head.field("content-length").parse().unwrap_or(0);
            self.read_exact(length).map(|part| body = part)
        } else {
            self.read_to_end(&mut body)
        };
        (body, if result.is_ok() { BodyEnd::Complete } else { BodyEnd::Broken })
    }

    fn read_to_end(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        while self.fill()? {}
        body.append(&mut self.buf);
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
    Head { first, fields: fields.collect() }
}

/// Returns a whole answer as bytes.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Returns a whole request as bytes.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Decodes the percent-encoding of a query value.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns the value of `name` in the query of `target`.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, value)| unescape(value))
}
