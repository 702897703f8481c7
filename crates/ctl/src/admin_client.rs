//! HTTP client of an entry host's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_entry::operators::Status;

use crate::error::CliError;
use crate::error::CliResult;

const TIMEOUT: Duration = Duration::from_millis(3_000);
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Configuration that an entry host has adopted.
#[derive(Clone, Debug, Deserialize)]
pub struct HostConfig {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// Declaration of the configuration, as JSON.
    pub declaration: Value,
}

/// Client of one entry host's admin port.
#[derive(Debug)]
pub struct AdminClient {
    /// Address of the admin port.
    pub address: SocketAddr,
    agent: Agent,
    key: String,
}

impl AdminClient {
    /// Creates a client that presents `key` as its bearer key.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let agent = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .build();
        Self { address, agent: agent.into(), key: format!("Bearer {key}") }
    }

    /// Returns the status of the host.
    pub fn status(&self) -> CliResult<Status> {
        self.read(self.agent.get(self.url("status")).header("authorization", &self.key).call())
    }

    /// Returns the configuration that the host has adopted.
    pub fn config(&self) -> CliResult<HostConfig> {
        self.read(self.agent.get(self.url("config")).header("authorization", &self.key).call())
    }

    /// Tells the host to drain: to accept no new requests, finish those in flight and exit.
    pub fn drain(&self) -> CliResult<()> {
        let sent =
            self.agent.post(self.url("drain")).header("authorization", &self.key).send_empty();
        self.check_status(sent).map(|_| ())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn read<T: for<'de> Deserialize<'de>>(
        &self,
        response: Result<Response<Body>, ureq::Error>,
    ) -> CliResult<T> {
        let mut response = self.check_status(response)?;
        let body = response.body_mut().with_config().limit(MAX_BODY_BYTES);
        body.read_json().map_err(|e| self.host_error(&e.to_string()))
    }

    fn check_status(
        &self,
        response: Result<Response<Body>, ureq::Error>,
    ) -> CliResult<Response<Body>> {
        let response = response.map_err(|e| self.host_error(&e.to_string()))?;
        match response.status().as_u16() {
            200..=299 => Ok(response),
            401 => Err(self.host_error("the key is not an admin key of this host")),
            status => Err(self.host_error(&format!("answered with status {status}"))),
        }
    }

    fn host_error(&self, text: &str) -> CliError {
        CliError::Failed(format!("{}: {text}", self.address))
    }
}
