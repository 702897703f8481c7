//! Servers of plain services, which record each call that they execute.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use yuccanotch_core::digest::fast_hash;

use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::Reply;
use crate::record::CallRecord;
use crate::settings::ServiceSettings;

/// The executions of all plain services, in order.
#[derive(Debug)]
pub(crate) struct CallLog {
    started: Instant,
    calls: Mutex<Vec<CallRecord>>,
}

impl CallLog {
    /// Creates an empty log whose timestamps count from `started`.
    pub(crate) fn new(started: Instant) -> Self {
        Self { started, calls: Mutex::new(Vec::new()) }
    }

    /// Returns all executions so far.
    pub(crate) fn calls(&self) -> Vec<CallRecord> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, settings: &ServiceSettings, req: &HttpRequest) -> u64 {
        let started_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut calls = self.lock();
        let run = calls.len() as u64 + 1;
        calls.push(CallRecord {
            run,
            service: settings.service.clone(),
            server: settings.name.clone(),
            method: req.method.clone(),
            path: req.target(),
            key: req.header("idempotency-key").map(str::to_owned),
            body: fast_hash(&req.body),
            started_us,
        });
        run
    }
}

/// The faults of a server, each with the time at which it ends.
#[derive(Debug, Default)]
pub(crate) struct ServiceFaults {
    /// The end of the fault and the time to execute a call, in milliseconds.
    pub(crate) slow: Option<(Instant, u64)>,
    pub(crate) loses_answers: Option<Instant>,
    pub(crate) loses_calls: Option<Instant>,
}

/// A server of a plain service.
pub(crate) struct ServiceHandler {
    pub(crate) settings: ServiceSettings,
    pub(crate) log: Arc<CallLog>,
    pub(crate) faults: Mutex<ServiceFaults>,
}

/// The answer of a plain service, which repeats the request.
#[derive(Debug, Serialize)]
struct Echo<'a> {
    service: &'a str,
    server: &'a str,
    run: u64,
    method: &'a str,
    path: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: serde_json::Value,
}

impl ServiceHandler {
    /// Creates a server without faults.
    pub(crate) fn new(settings: ServiceSettings, log: Arc<CallLog>) -> Self {
        Self { settings, log, faults: Mutex::new(ServiceFaults::default()) }
    }

    /// Changes the faults with `f`.
    pub(crate) fn change_faults(&self, f: impl FnOnce(&mut ServiceFaults)) {
        f(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn plan_call(&self) -> CallPlan {
        let now = Instant::now();
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let is_active = |until: Option<Instant>| until.is_some_and(|until| now < until);
        let slow = faults.slow.filter(|(until, _)| now < *until);
        CallPlan {
            delay_ms: slow.map_or(self.settings.delay_ms, |(_, delay_ms)| delay_ms),
            loses_call: is_active(faults.loses_calls),
            loses_answer: is_active(faults.loses_answers),
        }
    }
}

/// How a call is treated under the faults at its arrival.
struct CallPlan {
    delay_ms: u64,
    loses_call: bool,
    loses_answer: bool,
}

impl Handler for ServiceHandler {
    async fn handle(&self, req: HttpRequest) -> Reply {
        let plan = self.plan_call();
        if plan.loses_call {
            return Reply::Close;
        }
        let run = self.log.add(&self.settings, &req);
        if plan.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(plan.delay_ms)).await;
        }
        if plan.loses_answer {
            return Reply::Close;
        }
        let text = || serde_json::Value::String(String::from_utf8_lossy(&req.body).into_owned());
        let echo = Echo {
            service: self.settings.service.as_str(),
            server: self.settings.name.as_str(),
            run,
            method: &req.method,
            path: &req.path,
            key: req.header("idempotency-key"),
            body: serde_json::from_slice(&req.body).unwrap_or_else(|_| text()),
        };
        Reply::json(200, &echo)
    }
}
