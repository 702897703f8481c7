//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

/// Clients allow a new connection one second to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The first line and the header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line, without its end.
    pub first: String,
    /// The fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the field `name`, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Returns the word of the first line with the index `index`.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with buffered reads.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

fn broken(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, why)
}

impl Connection {
    /// Wraps a socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket is gone.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Connects to `address`; reads give up after one second, unless another limit is set.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is established.
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Self::new(stream)
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Err(broken("end of the connection"));
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends or breaks before the head is whole.
    pub fn read_head(&mut self) -> io::Result<Head> {
        let mut head = Head { first: self.line()?, fields: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to `head`.
    ///
    /// # Errors
    ///
    /// Returns an error when the body does not become complete.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(&size, 16).map_err(|_| broken("a chunk size"))?;
                let mut chunk = vec![0; size];
                self.reader.read_exact(&mut chunk)?;
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = head.field("content-length").parse().unwrap_or(0);
        body.resize(length, 0);
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Writes bytes at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the other side has closed the connection, after waiting for `wait` at most.
    pub fn is_closed(&self, wait: Duration) -> bool {
        if self.stream.set_read_timeout(Some(wait)).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_read_timeout(None);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }
}

/// Encodes an answer with a body.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", if status == 200 { "OK" } else { "Other" });
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
