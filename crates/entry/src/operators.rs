//! Operators' requests on the admin port that need an admin key: status, configuration, drain.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;

use crate::host::Host;

/// The state of an entry host, as `GET /status` returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Incarnation of the host, which differs for each start of the process.
    pub incarnation: String,
    /// Number of the configuration in force; 0 when there is none.
    pub config: ConfigNumber,
    /// Identifier of the patch that produced the configuration; empty when there is none.
    pub patch: String,
    /// Whether the host is draining and refuses new requests.
    pub draining: bool,
    /// Number of requests in flight.
    pub in_flight: usize,
}

/// A response on the admin port.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: &'static str,
    /// Response body.
    pub body: String,
}

impl AdminResponse {
    /// Creates a plain-text response.
    pub fn text(status: u16, body: &str) -> Self {
        Self { status, content_type: "text/plain", body: body.to_owned() }
    }

    fn json(body: String) -> Self {
        Self { status: 200, content_type: "application/json", body }
    }
}

/// Handles a request of an operator. Its bearer key must be one whose digest the settings list.
pub fn handle_request(host: &Arc<Host>, req: &Request) -> AdminResponse {
    if !is_authorized(host, req) {
        host.telemetry.increment_counter("yuccanotch_admin_refused_total", "unauthorized");
        return AdminResponse::text(401, "the Authorization header has no valid admin key\n");
    }
    match (req.method(), req.url()) {
        (Method::Get, "/status") => AdminResponse::json(status_json(host)),
        (Method::Get, "/config") => config_response(host),
        (Method::Post, "/drain") => {
            host.start_draining();
            AdminResponse::text(202, "draining\n")
        }
        _ => AdminResponse::text(404, "not found\n"),
    }
}

fn is_authorized(host: &Host, req: &Request) -> bool {
    let header = req.headers().iter().find(|header| header.field.equiv("authorization"));
    let key = header.and_then(|header| header.value.as_str().strip_prefix("Bearer "));
    key.is_some_and(|key| host.settings.admin_keys.contains(&Digest::of(key.as_bytes())))
}

fn status_json(host: &Host) -> String {
    let active = host.configuration.current();
    let status = Status {
        host: host.settings.host.clone(),
        domain: host.settings.domain.clone(),
        incarnation: host.incarnation.to_string(),
        config: active.as_ref().map(|active| active.number).unwrap_or_default(),
        patch: active.map(|active| active.patch().to_string()).unwrap_or_default(),
        draining: host.is_draining(),
        in_flight: host.in_flight.load(std::sync::atomic::Ordering::SeqCst),
    };
    serde_json::to_string(&status).expect("a status consists of strings and numbers")
}

/// Returns the configuration in force, from which operators can recover a lost store.
fn config_response(host: &Host) -> AdminResponse {
    let Some(active) = host.configuration.current() else {
        return AdminResponse::text(404, "no configuration\n");
    };
    match active.document() {
        Ok(document) => {
            let body = json!({"number": active.number, "declaration": document.to_value()});
            AdminResponse::json(body.to_string())
        }
        Err(e) => AdminResponse::text(500, &format!("{e}\n")),
    }
}
