//! HTTP calls of an engine.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::CacheEvents;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Order;
use yuccanotch_core::engine::RunRequest;

use crate::engine::driver::Driver;
use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::Reply;

/// Answers the HTTP calls of an engine.
pub(crate) struct EngineHandler {
    pub(crate) driver: Arc<Driver>,
    pub(crate) engine: usize,
}

impl Handler for EngineHandler {
    async fn handle(&self, req: HttpRequest) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/v1/run") => handle_json(&req, |run| self.run(run)),
            ("POST", "/v1/cancel") => handle_json(&req, |cancel| self.cancel(cancel)),
            ("POST", "/v1/orders") => handle_json(&req, |order| self.order(order)),
            ("GET", "/v1/load") => self.load().await,
            ("GET", "/v1/cache") => self.cache(&req),
            _ => Reply::new(404, "no such call"),
        }
    }
}

fn handle_json<T: DeserializeOwned>(req: &HttpRequest, f: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(&req.body) {
        Ok(body) => f(body),
        Err(e) => Reply::new(400, e.to_string()),
    }
}

impl EngineHandler {
    fn run(&self, req: RunRequest) -> Reply {
        let (tx, rx) = mpsc::unbounded_channel();
        match self
            .driver
            .with_simulation(|simulation, now| simulation.start_run(now, self.engine, req, tx))
        {
            Ok(_) => Reply::Stream(rx),
            Err((status, frame)) => Reply::json(status, &frame),
        }
    }

    fn cancel(&self, req: CancelRequest) -> Reply {
        self.driver.with_simulation(|simulation, now| {
            simulation.cancel_runs(now, req.request, req.attempt)
        });
        Reply::new(200, "")
    }

    fn order(&self, order: Order) -> Reply {
        let reply = self
            .driver
            .with_simulation(|simulation, now| simulation.handle_order(now, self.engine, order));
        Reply::json(if reply.taken { 200 } else { 412 }, &reply)
    }

    async fn load(&self) -> Reply {
        self.wait_while_stalled().await;
        let report = self.driver.with_simulation(|simulation, now| {
            let (taken_us, report) = simulation.engines[self.engine].report.clone()?;
            let age_ms = Millis(now.saturating_sub(taken_us) / 1000);
            Some(yuccanotch_core::engine::LoadReport { age_ms, ..report })
        });
        report.map_or(Reply::Close, |report| Reply::json(200, &report))
    }

    fn cache(&self, req: &HttpRequest) -> Reply {
        let after = req.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = self.driver.with_simulation(|simulation, now| {
            let engine = &simulation.engines[self.engine];
            let lag_us = engine.settings.behavior.cache_event_lag_ms * 1000;
            CacheEvents { boot: engine.boot, events: engine.cache.events(now, after, lag_us) }
        });
        Reply::json(200, &events)
    }

    async fn wait_while_stalled(&self) {
        let left_us = self.driver.with_simulation(|simulation, now| {
            simulation.engines[self.engine].stalled_until_us.saturating_sub(now)
        });
        if left_us > 0 {
            tokio::time::sleep(std::time::Duration::from_micros(left_us)).await;
        }
    }
}
