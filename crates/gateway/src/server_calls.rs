//! The messages that a host sends to servers on its own account: requests for reports, health checks
//! and orders.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::ServerName;

use crate::adapter::EngineReport;
use crate::adapter::Order;
use crate::adapter::OrderReply;
use crate::adapter::WholeRequest;
use crate::announcements::Announcer;
use crate::host::Gateway;
use crate::pool::Purpose;
use crate::pool::Reuse;

/// The longest wait for the report of a model server.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// The largest accepted answer to a report request or an order, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;

impl Gateway {
    /// Requests a model server's report; returns `None` if it does not come in time or cannot be
    /// read.
    pub async fn fetch_report(&self, address: SocketAddrV4) -> Option<EngineReport> {
        self.fetch_report_over(address, Reuse::Allowed).await
    }

    /// Requests a model server's report over a new connection; otherwise like
    /// [`Self::fetch_report`].
    pub async fn fetch_fresh_report(&self, address: SocketAddrV4) -> Option<EngineReport> {
        self.fetch_report_over(address, Reuse::Fresh).await
    }

    async fn fetch_report_over(&self, address: SocketAddrV4, reuse: Reuse) -> Option<EngineReport> {
        let req = self.adapter.encode_report_request();
        let sending = self.send_request(address, req, Purpose::Reports, reuse);
        let (status, body) = time::timeout(REPORT_TIMEOUT, sending).await.ok()??;
        if !status.is_success() {
            return None;
        }
        self.adapter.decode_report(&body).ok()
    }

    /// Checks the health of a server at `path` over a new connection; returns whether it answers, with
    /// whatever status.
    pub async fn answers_health_check(&self, address: SocketAddrV4, path: &str) -> bool {
        let Some(req) = self.adapter.encode_health_check(path) else {
            return false;
        };
        let sending = self.send_request(address, req, Purpose::HealthCheck, Reuse::Fresh);
        time::timeout(REPORT_TIMEOUT, sending).await.is_ok_and(|answer| answer.is_some())
    }

    /// Returns a model server's report that is at most `max_age` old, and requests one if none is
    /// cached.
    pub async fn recent_report(
        &self,
        address: SocketAddrV4,
        max_age: Millis,
    ) -> Option<Rc<EngineReport>> {
        self.reports.get(address, max_age, self.fetch_report(address)).await
    }

    /// Records how slow a model server reports to be, from a report that is at most `max_age` old.
    pub async fn check_slowness(
        &self,
        server: &ServerName,
        address: SocketAddrV4,
        max_age: Millis,
    ) {
        if let Some(report) = self.recent_report(address, max_age).await {
            self.routing.record_slowness(address, report.slowness);
            self.reports.record_slowness(server, report.slowness);
        }
    }

    /// Sends an order to a model server. `None` means that no answer came; the server may still
    /// carry the order out.
    pub async fn send_order(
        &self,
        server: &ServerName,
        address: SocketAddrV4,
        order: &Order<'_>,
    ) -> Option<OrderReply> {
        let req = self.adapter.encode_order(server, order);
        let sending = self.send_request(address, req, Purpose::Order, Reuse::Fresh);
        let (status, _) = time::timeout(ORDER_TIMEOUT, sending).await.ok()??;
        Some(self.adapter.decode_order_reply(status))
    }

    /// Sends a request to a server and reads its whole answer.
    async fn send_request(
        &self,
        address: SocketAddrV4,
        req: WholeRequest,
        purpose: Purpose,
        reuse: Reuse,
    ) -> Option<(StatusCode, Bytes)> {
        let mut conn = self.pool.acquire(address, purpose, reuse).await.ok()?;
        let response = conn.send(req).await.ok()?;
        let (head, body) = response.into_parts();
        let reply = self.adapter.decode_reply(&head);
        // Reports, orders and health checks have no id.
        if !self.is_own_answer(None, &head, &reply, &conn) {
            return None;
        }
        self.record_announcements(Announcer::At(address), &reply);
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?.to_bytes();
        if !reply.closes {
            self.pool.release(conn, reply.keep_alive);
        }
        Some((head.status, body))
    }
}
