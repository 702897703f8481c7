//! Stand-ins of clients.

use std::fmt;
use std::io;
use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use crate::http::Connection;

/// The host name of all routes.
pub const HOST: &str = "app.example";
/// How long a client waits beyond its deadline before it gives up.
const PATIENCE: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer came, with its status.
    Answered(u16),
    /// No connection was established.
    NoConnection,
    /// The connection was closed or broke before a whole answer, or none came in time.
    Closed(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "status {status}"),
            Self::NoConnection => f.write_str("no connection"),
            Self::Closed(why) => write!(f, "closed without a whole answer: {why}"),
        }
    }
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// The key, where the configuration contains tenants.
    pub key: Option<&'a str>,
    pub deadline: Duration,
    pub body: &'a [u8],
    /// The body is sent in pieces of so many bytes.
    pub piece: usize,
    /// The pause after each piece.
    pub pause: Duration,
}

/// A client that keeps its connection for many requests.
pub struct Client {
    host: SocketAddrV4,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client of the host at `host`.
    pub fn new(host: SocketAddrV4) -> Self {
        Self { host, connection: None }
    }

    /// Returns whether it has a connection from an earlier request, which the host has not closed.
    pub fn is_connected(&mut self) -> bool {
        if self.connection.as_ref().is_some_and(|c| c.is_closed(Duration::from_millis(1))) {
            self.connection = None;
        }
        self.connection.is_some()
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, req: &Request<'_>) -> Outcome {
        if !self.is_connected() {
            match Connection::open(self.host) {
                Ok(connection) => self.connection = Some(connection),
                Err(_) => return Outcome::NoConnection,
            }
        }
        let Some(mut connection) = self.connection.take() else {
            return Outcome::NoConnection;
        };
        match exchange(&mut connection, req) {
            Ok((status, closes)) => {
                self.connection = Some(connection).filter(|_| !closes);
                Outcome::Answered(status)
            }
            Err(e) => Outcome::Closed(e.to_string()),
        }
    }
}

fn exchange(connection: &mut Connection, req: &Request<'_>) -> io::Result<(u16, bool)> {
    connection.stream.set_read_timeout(Some(req.deadline + PATIENCE))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
         {}Content-Length: {}\r\n\r\n",
        req.method,
        req.path,
        req.id,
        req.deadline.as_millis(),
        req.key.map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n")),
        req.body.len()
    );
    connection.write(head.as_bytes())?;
    for piece in req.body.chunks(req.piece.max(1)) {
        connection.write(piece)?;
        thread::sleep(req.pause);
    }
    let head = connection.read_head()?;
    connection.read_body(&head)?;
    let closes = head.field("connection").eq_ignore_ascii_case("close");
    Ok((head.status(), closes))
}
