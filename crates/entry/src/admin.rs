//! Operators' port: health, metrics, status.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde::Serialize;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;

use crate::error::EntryError;
use crate::host::Host;

const POLL: Duration = Duration::from_millis(50);

/// The running admin port.
#[derive(Debug)]
pub struct Admin {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its thread, which ends when the host has stopped.
    pub thread: JoinHandle<()>,
}

impl Admin {
    /// Opens the admin port of a host.
    ///
    /// # Errors
    ///
    /// Returns an error when the port cannot be opened.
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
        match server.recv_timeout(POLL) {
            Ok(Some(req)) => answer(host, req),
            Ok(None) => {}
            Err(_) => thread::sleep(POLL),
        }
    }
}

fn answer(host: &Arc<Host>, req: Request) {
    let (status, content_type, body) = match (req.method(), req.url()) {
        (Method::Get, "/healthz") => {
            let (status, text) = host.health();
            (status, "text/plain", text.to_owned())
        }
        (Method::Get, "/metrics") => (200, "text/plain; version=0.0.4", host.telemetry.render()),
        (Method::Get, "/status") => (200, "application/json", status(host)),
        _ => (404, "text/plain", "not found\n".to_owned()),
    };
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", content_type) {
        response.add_header(header);
    }
    let _ = req.respond(response);
}

#[derive(Serialize)]
struct Status<'a> {
    host: &'a HostName,
    domain: &'a DomainName,
    incarnation: String,
    config: ConfigNumber,
    draining: bool,
    in_flight: usize,
}

fn status(host: &Host) -> String {
    let status = Status {
        host: &host.settings.host,
        domain: &host.settings.domain,
        incarnation: host.incarnation.to_string(),
        config: host.configuration.current().map(|active| active.number).unwrap_or_default(),
        draining: host.is_draining(),
        in_flight: host.in_flight.load(std::sync::atomic::Ordering::SeqCst),
    };
    serde_json::to_string(&status).expect("a status has only texts and numbers")
}
