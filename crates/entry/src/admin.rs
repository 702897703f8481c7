//! HTTP server of the admin port: health, metrics, and the requests of [`crate::operators`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::error::EntryError;
use crate::host::Host;
use crate::operators;
use crate::operators::AdminResponse;

/// Longest wait for a request between two checks of whether the host has stopped.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running server of the admin port.
#[derive(Debug)]
pub struct AdminServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Thread that serves the requests; it ends when the host has stopped.
    pub thread: JoinHandle<()>,
}

impl AdminServer {
    /// Opens the admin port of a host and serves it on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the port cannot be opened or the thread cannot be started.
    pub fn start(host: &Arc<Host>) -> Result<Self, EntryError> {
        let wanted = host.settings.admin;
        let server = Server::http(wanted)
            .map_err(|e| EntryError::Listen(wanted.to_string(), io::Error::other(e)))?;
        let address = server.server_addr().to_ip().unwrap_or(wanted);
        let host = host.clone();
        let thread =
            thread::Builder::new().name("admin".to_owned()).spawn(move || serve(&host, &server))?;
        Ok(Self { address, thread })
    }
}

fn serve(host: &Arc<Host>, server: &Server) {
    while !host.is_stopped() {
        match server.recv_timeout(REQUEST_POLL_INTERVAL) {
            Ok(Some(req)) => handle_request(host, req),
            Ok(None) => {}
            Err(_) => thread::sleep(REQUEST_POLL_INTERVAL),
        }
    }
}

/// Returns the metrics as Prometheus text, after copying in the counters that the peer links keep.
fn render_metrics(host: &Host) -> String {
    let stats = host.peers.stats();
    let set_counter = |name, value| host.telemetry.set_counter(name, "", value);
    set_counter("yuccanotch_link_bytes_in_total", stats.bytes_in);
    set_counter("yuccanotch_link_bytes_out_total", stats.bytes_out);
    set_counter("yuccanotch_link_connects_total", stats.connects);
    set_counter("yuccanotch_link_accepts_total", stats.accepts);
    set_counter("yuccanotch_link_calls_total", stats.calls);
    set_counter("yuccanotch_link_failed_calls_total", stats.failed_calls);
    set_counter("yuccanotch_link_served_total", stats.served);
    set_counter("yuccanotch_link_dropped_sends_total", stats.dropped_sends);
    for (fault, count) in &stats.faults {
        host.telemetry.set_counter("yuccanotch_link_faults_total", fault.as_str(), *count);
    }
    host.telemetry.render()
}

fn handle_request(host: &Arc<Host>, req: Request) {
    let answer = match (req.method(), req.url()) {
        (Method::Get, "/healthz") => {
            let (status, text) = host.health();
            AdminResponse::text(status, text)
        }
        (Method::Get, "/metrics") => AdminResponse {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: render_metrics(host),
        },
        _ => operators::handle_request(host, &req),
    };
    let mut response = Response::from_string(answer.body).with_status_code(answer.status);
    if let Ok(header) = Header::from_bytes("content-type", answer.content_type) {
        response.add_header(header);
    }
    let _ = req.respond(response);
}
