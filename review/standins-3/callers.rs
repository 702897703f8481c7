//! Callers of the hosts.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

/// The key of the callers' team.
pub const KEY: &str = "key-of-the-bakers";
/// The pause of a stream after which its caller leaves.
const STREAM_PATIENCE: Duration = Duration::from_millis(2_000);
/// The time that callers of streams give their requests, in ms.
pub const STREAM_DEADLINE_MS: u64 = 20_000;
/// The number of tokens that callers of streams ask for.
pub const STREAM_TOKENS: u64 = 160;

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; 0 if no head came.
    pub status: u16,
    /// Whether the whole answer came.
    pub is_complete: bool,
    /// What came of the body.
    pub body: String,
}

impl Answer {
    /// Returns whether the request was served.
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// Describes the answer in the record.
    pub fn describe(&self) -> String {
        let how = if self.is_complete { "complete" } else { "incomplete" };
        format!("status={} {how} bytes={}", self.status, self.body.len())
    }
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The route: `draft`, `note`, `look` or `confirm`.
    pub route: &'a str,
    /// The id of the attempt.
    pub id: &'a str,
    /// The body; `look` requests have none.
    pub body: &'a str,
    /// The number of tokens of the answer, if that is a stream.
    pub tokens: u64,
    /// The time that the caller gives it, in ms.
    pub deadline_ms: u64,
}

impl Request<'_> {
    fn is_stream(&self) -> bool {
        self.route == "draft" || self.route == "note"
    }

    /// Returns the longest time without a byte after which its caller leaves.
    pub fn patience(&self) -> Duration {
        if self.is_stream() {
            STREAM_PATIENCE
        } else {
            Duration::from_millis(self.deadline_ms)
        }
    }
}

/// Sends a request over a new connection and reads the answer.
pub fn send(front: SocketAddrV4, request: Request<'_>) -> io::Result<Answer> {
    send_over(&mut connect(front, request.patience())?, request)
}

/// Connects to a host; reads that take longer than `patience` fail.
pub fn connect(front: SocketAddrV4, patience: Duration) -> io::Result<Connection> {
    Connection::open(front, patience)
}

/// Sends a request over `conn` and reads the answer.
pub fn send_over(conn: &mut Connection, request: Request<'_>) -> io::Result<Answer> {
    let Request { route, id, body, tokens, deadline_ms } = request;
    let (method, body) =
        if route == "look" || route == "ask" { ("GET", "") } else { ("POST", body) };
    let prompt =
        body.bytes().fold(7_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let tokens = format!(
        "Model: m0\r\nToken-Count: 100,{tokens}\r\nPrompt-Prefix: 5c1e07a2:40,{prompt:08x}:60\r\n"
    );
    let tokens = if request.is_stream() { tokens.as_str() } else { "" };
    let head = format!(
        "{method} /{route}/2f HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\n{tokens}\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    conn.write(format!("{head}{body}").as_bytes())?;
    Ok(read_answer(conn, deadline_ms))
}

fn read_answer(conn: &mut Connection, deadline_ms: u64) -> Answer {
    let mut answer = Answer { status: 0, is_complete: false, body: String::new() };
    let until = Instant::now() + Duration::from_millis(deadline_ms);
    let Ok(Some(head)) = conn.read_head() else {
        return answer;
    };
    answer.status = head.status();
    if head.field("transfer-encoding").is_none() {
        let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        answer.is_complete = conn.read_bytes(length).is_ok();
        return answer;
    }
    while Instant::now() < until {
        match conn.read_chunk() {
            Ok(Some(chunk)) => answer.body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => {
                answer.is_complete = true;
                return answer;
            }
            Err(_) => return answer,
        }
    }
    answer
}
