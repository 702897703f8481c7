//! HTTP client of the platform's store and host list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use ureq::http;
use ureq::http::Response;
use ureq::Agent;
use ureq::Body;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::ids::LeaseId;
use yuccanotch_core::store::http::HEADER_EXPECT;
use yuccanotch_core::store::http::HEADER_LEASE;
use yuccanotch_core::store::http::HEADER_VERSION;
use yuccanotch_core::store::KeyChange;
use yuccanotch_core::store::Store;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::Versioned;
use yuccanotch_core::store::WatchBatch;
use yuccanotch_core::store::MAX_VALUE_BYTES;

use crate::engine_client::agent;
use crate::engine_client::was_not_sent;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest accepted JSON response, in bytes.
const MAX_JSON_BYTES: u64 = 16 << 20;

/// Client of the platform's store and host list; implements [`Store`].
#[derive(Debug)]
pub struct StoreClient {
    agent: Agent,
    base: String,
}

#[derive(Deserialize)]
struct WatchResponse {
    revision: u64,
    changes: Vec<(String, KeyVersion)>,
}

#[derive(Deserialize)]
struct LeaseResponse {
    lease: LeaseId,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { agent: agent(CONNECT_TIMEOUT), base: format!("http://{address}/v1") }
    }

    /// Reads the platform's host list.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer with a list.
    pub fn host_list(&self) -> Result<HostList, StoreError> {
        self.call_json("GET", &format!("{}/hosts", self.base), CALL_TIMEOUT)
    }

    fn call(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, String)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response<Body>, StoreError> {
        let mut builder = http::Request::builder().method(method).uri(url);
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let req = builder.body(body).map_err(|_| StoreError::Unreachable)?;
        let req = self.agent.configure_request(req).timeout_global(Some(timeout)).build();
        self.agent.run(req).map_err(|e| {
            if was_not_sent(&e) {
                StoreError::Unreachable
            } else {
                StoreError::AnswerLost
            }
        })
    }

    fn call_json<T: for<'de> Deserialize<'de>>(
        &self,
        method: &str,
        url: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let response = self.call(method, url, &[], &[], timeout)?;
        let status = response.status().as_u16();
        match status {
            200 => {
                let buf = read_body(response, MAX_JSON_BYTES)?;
                serde_json::from_slice(&buf).map_err(|_| StoreError::AnswerLost)
            }
            410 => Err(StoreError::LeaseLapsed),
            _ => Err(status_error(status)),
        }
    }
}

/// Returns the error for an HTTP status: [`StoreError::Refused`] when the call had no effect, and
/// [`StoreError::AnswerLost`] when it may have had one.
fn status_error(status: u16) -> StoreError {
    match status {
        400..=499 | 503 => StoreError::Refused(status),
        _ => StoreError::AnswerLost,
    }
}

fn read_body(mut response: Response<Body>, limit: u64) -> Result<Vec<u8>, StoreError> {
    let body = response.body_mut().with_config().limit(limit);
    body.read_to_vec().map_err(|_| StoreError::AnswerLost)
}

fn version(response: &Response<Body>) -> Result<KeyVersion, StoreError> {
    let header = response.headers().get(HEADER_VERSION);
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).map(KeyVersion).ok_or(StoreError::AnswerLost)
}

impl Store for StoreClient {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let url = format!("{}/kv/{key}", self.base);
        let response = self.call("GET", &url, &[], &[], CALL_TIMEOUT)?;
        match response.status().as_u16() {
            200 => {
                let version = version(&response)?;
                let value = read_body(response, MAX_VALUE_BYTES as u64 + 1)?;
                Ok(Some(Versioned { version, value }))
            }
            404 => Ok(None),
            status => Err(status_error(status)),
        }
    }

    fn swap(
        &self,
        key: &str,
        expect: KeyVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<KeyVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let url = format!("{}/kv/{key}", self.base);
        let mut headers = vec![(HEADER_EXPECT, expect.to_string())];
        if let Some(lease) = lease {
            headers.push((HEADER_LEASE, lease.to_string()));
        }
        let response = self.call("PUT", &url, &headers, value, CALL_TIMEOUT)?;
        match response.status().as_u16() {
            200 => version(&response),
            409 => Err(StoreError::Conflict(version(&response)?)),
            410 => Err(StoreError::LeaseLapsed),
            413 => Err(StoreError::TooLarge),
            status => Err(status_error(status)),
        }
    }

    fn delete(&self, key: &str, expect: KeyVersion) -> Result<(), StoreError> {
        let url = format!("{}/kv/{key}", self.base);
        let headers = [(HEADER_EXPECT, expect.to_string())];
        let response = self.call("DELETE", &url, &headers, &[], CALL_TIMEOUT)?;
        match response.status().as_u16() {
            200 => Ok(()),
            409 => Err(StoreError::Conflict(version(&response)?)),
            status => Err(status_error(status)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, KeyVersion)>, StoreError> {
        self.call_json("GET", &format!("{}/list?prefix={prefix}", self.base), CALL_TIMEOUT)
    }

    fn watch(&self, prefix: &str, revision: u64, wait: Millis) -> Result<WatchBatch, StoreError> {
        let url =
            format!("{}/watch?prefix={prefix}&after={revision}&wait_ms={}", self.base, wait.0);
        let batch: WatchResponse =
            self.call_json("GET", &url, CALL_TIMEOUT + wait.to_duration())?;
        let changes = batch.changes.into_iter();
        let changes = changes.map(|(key, version)| KeyChange { key, version }).collect();
        Ok(WatchBatch { revision: batch.revision, changes })
    }

    fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError> {
        let url = format!("{}/lease?ttl_ms={}", self.base, ttl.0);
        let granted: LeaseResponse = self.call_json("POST", &url, CALL_TIMEOUT)?;
        Ok(granted.lease)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let url = format!("{}/lease/{lease}/renew", self.base);
        let response = self.call("POST", &url, &[], &[], CALL_TIMEOUT)?;
        match response.status().as_u16() {
            200 => Ok(()),
            410 => Err(StoreError::LeaseLapsed),
            status => Err(status_error(status)),
        }
    }
}
