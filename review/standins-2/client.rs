//! Clients of the system.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::deployment::KEY;
use crate::deployment::ROUTE_HOST;
use crate::http;
use crate::http::BodyEnd;
use crate::http::Connection;
use crate::http::Head;

/// What a client got.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A head, what arrived of the body, and how it ended.
    Answer(Head, Vec<u8>, BodyEnd),
    /// The connection ended, or nothing came in time.
    Nothing(String),
}

impl Outcome {
    /// Returns whether the answer is whole and a worker's success.
    pub fn is_served(&self) -> bool {
        let Outcome::Answer(head, _, end) = self else {
            return false;
        };
        head.status() == 200 && head.has("server-seal") && *end == BodyEnd::Complete
    }

    /// Returns the outcome in a few words.
    pub fn text(&self) -> String {
        match self {
            Outcome::Answer(head, body, end) => format!(
                "{} id [{}] seal [{}] {} bytes {end:?}",
                head.status(),
                head.field("request-id"),
                head.field("server-seal"),
                body.len()
            ),
            Outcome::Nothing(why) => format!("no answer: {why}"),
        }
    }
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub key: &'a str,
    pub tokens: Option<u64>,
    pub body: &'a [u8],
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            method: "POST",
            target: "/",
            id: "",
            deadline_ms: 1_000,
            key: KEY,
            tokens: None,
            body: b"",
        }
    }
}

impl Call<'_> {
    fn bytes(&self) -> Vec<u8> {
        let deadline = self.deadline_ms.to_string();
        let key = format!("Bearer {}", self.key);
        let tokens = self.tokens.map(|t| format!("100,{t}"));
        let mut fields = vec![
            ("Host", ROUTE_HOST),
            ("Request-Id", self.id),
            ("Deadline-Ms", deadline.as_str()),
            ("Authorization", key.as_str()),
        ];
        if let Some(tokens) = &tokens {
            fields.push(("Model", "m"));
            fields.push(("Token-Count", tokens.as_str()));
            fields.push(("Prompt-Prefix", "a1:40,b2:60"));
        }
        http::request(self.method, self.target, &fields, self.body)
    }

    /// Sends the request over `conn` and reads the answer.
    pub fn send_over(&self, conn: &mut Connection) -> Outcome {
        let wait = Duration::from_millis(self.deadline_ms + 3_000);
        let _ = conn.stream.set_read_timeout(Some(wait));
        if let Err(e) = conn.write(&self.bytes()) {
            return Outcome::Nothing(format!("write: {e}"));
        }
        match conn.read_head() {
            Ok(Some(head)) => {
                let (body, end) = conn.read_answer_body(&head);
                Outcome::Answer(head, body, end)
            }
            Ok(None) => Outcome::Nothing("closed".to_owned()),
            Err(e) => Outcome::Nothing(format!("read: {e}")),
        }
    }

    /// Sends the request to `address` over a connection of its own.
    pub fn send(&self, address: SocketAddrV4) -> Outcome {
        match Connection::open(address) {
            Ok(mut conn) => self.send_over(&mut conn),
            Err(e) => Outcome::Nothing(format!("connect: {e}")),
        }
    }
}
