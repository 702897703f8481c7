//! HTTP calls that inject faults, change the host list and read the record.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /faults` | [`FaultRequest`] | 200; 404 for an unknown target |
//! | `POST /hosts` | [`ListedHost`] | 200; the host appears in the host list after its lag |
//! | `DELETE /hosts/NAME` | | 200; the host disappears from the host list after its lag |
//! | `GET /record` | | [`crate::Record`] |
//! | `GET /addresses` | | the addresses of all ports, by name |

use std::sync::Arc;
use std::sync::Weak;

use yuccanotch_core::engine::ListedHost;

use crate::fault::FaultRequest;
use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::Reply;
use crate::standin::Shared;

/// Answers admin calls.
pub(crate) struct AdminHandler {
    // A strong reference would keep the ports open after `Standin` is dropped.
    shared: Weak<Shared>,
}

impl AdminHandler {
    /// Creates a handler for the stand-ins that own `shared`.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self { shared: Arc::downgrade(shared) }
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, req: HttpRequest) -> Reply {
        let Some(shared) = self.shared.upgrade() else { return Reply::Close };
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/faults") => match serde_json::from_slice::<FaultRequest>(&req.body) {
                Ok(fault) => match shared.inject(fault) {
                    Ok(()) => Reply::new(200, ""),
                    Err(e) => Reply::new(404, e.to_string()),
                },
                Err(e) => Reply::new(400, e.to_string()),
            },
            ("POST", "/hosts") => match serde_json::from_slice::<ListedHost>(&req.body) {
                Ok(host) => {
                    shared.add_host(host);
                    Reply::new(200, "")
                }
                Err(e) => Reply::new(400, e.to_string()),
            },
            ("DELETE", path) if path.starts_with("/hosts/") => {
                let name = &path["/hosts/".len()..];
                shared.platform.change_hosts(|hosts| hosts.retain(|host| host.name != name));
                Reply::new(200, "")
            }
            ("GET", "/record") => Reply::json(200, &shared.record()),
            ("GET", "/addresses") => Reply::json(200, &shared.addresses()),
            _ => Reply::new(404, "no such call"),
        }
    }
}
