//! The small part of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the field `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first_line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// Returns the decoded value of `name` in the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first_line.split(' ').nth(1)?;
        let pairs = target.split_once('?')?.1.split('&');
        let value = pairs.filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1;
        Some(unescape(value))
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|c| std::str::from_utf8(c).ok());
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with a buffer for what is read.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Connects to `address`; reads that take longer than `limit` fail.
    pub fn open(address: SocketAddrV4, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        Self::new(stream)
    }

    /// Writes `bytes`.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next message whole, its body with a length or in chunks.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.field("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else {
            let length = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            message.body = self.read_bytes(length)?;
        }
        Ok(Some(message))
    }

    /// Reads `length` bytes.
    pub fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads the next chunk of a body; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(size);
        Ok((size > 0).then_some(chunk))
    }

    /// Writes an answer with a body of known length. `fields` are whole lines with their ends.
    pub fn answer(&mut self, status: &str, fields: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
        self.write(text.as_bytes())
    }

    /// Writes an answer with a JSON body.
    pub fn answer_json(&mut self, status: &str, body: &str) -> io::Result<()> {
        self.answer(status, "Content-Type: application/json\r\n", body)
    }
}
