//! HTTP client of the backend servers: pipeline runs, cancellations, load reports, orders, and
//! calls to plain services.

use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::time::Duration;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use ureq::http;
use ureq::http::HeaderMap;
use ureq::Agent;
use ureq::Body;
use ureq::BodyReader;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::ErrorFrame;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Order;
use yuccanotch_core::engine::OrderReply;
use yuccanotch_core::engine::RunRequest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time of a cancellation, a load report or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest line that is read as one frame of a run, in bytes.
const MAX_FRAME_BYTES: u64 = 64 << 10;
/// Largest JSON document read from a backend server, in bytes.
const MAX_JSON_BYTES: u64 = 1 << 20;
/// Largest body of an answer of a plain service, in bytes.
const MAX_PLAIN_REPLY_BYTES: u64 = 4 << 20;

quick_error! {
    /// Why a call to a backend server returned no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The call failed before a byte was sent, for example because the connection was refused.
        NotSent {
            display("the backend server cannot be reached")
        }
        /// The server refused the call and ran nothing.
        Refused(frame: ErrorFrame) {
            display("the backend server refused: {:?}", frame.fault)
        }
        /// A byte may have been sent, and no complete answer was received.
        Lost(text: String) {
            display("the backend server's answer was lost: {}", text)
        }
    }
}

/// Creates an HTTP agent that sends each call once, over a connection of its own.
pub fn agent(connect_timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(connect_timeout))
        .proxy(None)
        .allow_non_standard_methods(true)
        .build()
        .into()
}

/// Returns whether a call failed before a byte of it was sent.
pub fn was_not_sent(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(kind) => matches!(kind, ureq::Timeout::Connect),
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        _ => false,
    }
}

/// Client of the backend servers.
#[derive(Debug)]
pub struct EngineClient {
    agent: Agent,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A call to a plain service.
#[derive(Debug)]
pub struct PlainCall<'a> {
    /// Address of the server, `ip:port`.
    pub address: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers to send.
    pub headers: HeaderMap,
    /// Body.
    pub body: &'a [u8],
    /// Time left until the call's deadline.
    pub timeout: Millis,
}

impl EngineClient {
    /// Creates a client.
    pub fn new() -> Self {
        Self { agent: agent(CONNECT_TIMEOUT) }
    }

    /// Starts a run on the first server of its chain.
    ///
    /// # Errors
    ///
    /// The error tells calls that ran nothing from calls whose answer was lost.
    pub fn run(&self, run: &RunRequest) -> Result<RunStream, CallError> {
        let address = run.chain.first().map_or("", |hop| hop.address.as_str());
        let body = serde_json::to_vec(run).map_err(|e| CallError::Lost(e.to_string()))?;
        let req = http::Request::post(format!("http://{address}/v1/run"))
            .header("content-type", "application/json")
            .body(&body[..])
            .map_err(|_| CallError::NotSent)?;
        let timeout = Some(run.deadline_ms.to_duration());
        let req = self.agent.configure_request(req).timeout_global(timeout).build();
        let mut response = self.agent.run(req).map_err(to_call_error)?;
        match response.status().as_u16() {
            200 => Ok(RunStream::new(response.into_body())),
            409 | 429 | 503 => {
                let frame = response.body_mut().read_json().map_err(to_call_error)?;
                Err(CallError::Refused(frame))
            }
            status => Err(CallError::Lost(format!("status {status}"))),
        }
    }

    /// Cancels the attempts of a request up to and including one; failures are ignored, since the
    /// deadline ends the runs.
    pub fn cancel(&self, address: &str, cancel: &CancelRequest) {
        let Ok(body) = serde_json::to_vec(cancel) else {
            return;
        };
        let url = format!("http://{address}/v1/cancel");
        let req = self.agent.post(url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
        let _ = req.content_type("application/json").send(&body[..]);
    }

    /// Reads the load report of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete report was received.
    pub fn read_load(&self, address: &str) -> Result<LoadReport, CallError> {
        self.get_json(&format!("http://{address}/v1/load"))
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete answer was received; the engine may have taken the order.
    pub fn send_order(&self, address: &str, order: &Order) -> Result<OrderReply, CallError> {
        let url = format!("http://{address}/v1/orders");
        let req = self.agent.post(url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
        let mut response = req.send_json(order).map_err(to_call_error)?;
        match response.status().as_u16() {
            200 | 412 => response.body_mut().read_json().map_err(to_call_error),
            status => Err(CallError::Lost(format!("status {status}"))),
        }
    }

    /// Reads a JSON document from a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete document was received.
    pub fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        let req = self.agent.get(url).config().timeout_global(Some(CONTROL_TIMEOUT)).build();
        let mut response = req.call().map_err(to_call_error)?;
        if response.status().as_u16() != 200 {
            return Err(CallError::Lost(format!("status {}", response.status().as_u16())));
        }
        let body = response.body_mut().with_config().limit(MAX_JSON_BYTES);
        body.read_json().map_err(to_call_error)
    }

    /// Calls a plain service once.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] says that no byte was sent; after any other error the call may have
    /// run.
    pub fn call_plain(&self, call: PlainCall<'_>) -> Result<PlainReply, CallError> {
        let url = format!("http://{}{}", call.address, call.target);
        let mut req = http::Request::builder()
            .method(call.method)
            .uri(url)
            .body(call.body)
            .map_err(|_| CallError::NotSent)?;
        *req.headers_mut() = call.headers;
        let timeout = Some(call.timeout.to_duration());
        let req = self.agent.configure_request(req).timeout_global(timeout).build();
        let mut response = self.agent.run(req).map_err(to_call_error)?;
        let content_type = response.headers().get("content-type");
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_PLAIN_REPLY_BYTES);
        let body = body.read_to_vec().map_err(|e| CallError::Lost(e.to_string()))?;
        Ok(PlainReply { status, content_type, body })
    }
}

fn to_call_error(e: ureq::Error) -> CallError {
    if was_not_sent(&e) {
        CallError::NotSent
    } else {
        CallError::Lost(e.to_string())
    }
}

/// Frames of a run as they arrive.
pub struct RunStream {
    reader: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
}

impl RunStream {
    fn new(body: Body) -> Self {
        Self { reader: BufReader::new(body.into_reader()), line: Vec::new() }
    }

    /// Waits for the next frame; `None` at the end of the stream.
    ///
    /// The inner error is that of a line that is not a frame.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke.
    pub fn next_frame(&mut self) -> Result<Option<Result<Frame, serde_json::Error>>, CallError> {
        self.line.clear();
        let mut limited = self.reader.by_ref().take(MAX_FRAME_BYTES);
        let len = limited
            .read_until(b'\n', &mut self.line)
            .map_err(|e| CallError::Lost(e.to_string()))?;
        if len == 0 {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(&self.line)))
    }
}
