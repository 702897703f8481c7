//! The client of the platform's store.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::revision::era_of;

use crate::adapter::Item;
use crate::adapter::ProtocolAdapter;
use crate::adapter::StoreCall;
use crate::adapter::StoreError;
use crate::adapter::StoreReply;
use crate::event_log::EventLog;
use crate::issuer;
use crate::pool::Pool;
use crate::pool::Purpose;
use crate::pool::Reuse;
use crate::pool::SendError;

/// The longest wait for the answer to any call but a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time that a watch call may take beyond the time that the store may hold it.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// The prefix of the items that are read to find out whether the store answers; it has few.
const CHECKED_PREFIX: &str = issuer::ISSUER_KEY;
/// The largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Calls the store and logs when it stops or starts to answer.
pub struct StoreClient {
    adapter: Rc<dyn ProtocolAdapter>,
    address: SocketAddrV4,
    pool: Rc<Pool>,
    clock: Clock,
    event_log: Rc<EventLog>,
    lost_since: Cell<Option<Millis>>,
    answered_at: Cell<Option<Millis>>,
    // The latest era that an answer or another host has named.
    era: Cell<u64>,
    calls: Cell<u64>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(
        adapter: Rc<dyn ProtocolAdapter>,
        address: SocketAddrV4,
        pool: Rc<Pool>,
        clock: Clock,
        event_log: Rc<EventLog>,
    ) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            address,
            pool,
            clock,
            event_log,
            lost_since: Cell::new(None),
            answered_at: Cell::new(None),
            era: Cell::new(0),
            calls: Cell::new(0),
        })
    }

    /// Makes one call. A failed call is not retried.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the call may have taken effect.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        self.calls.set(self.calls.get() + 1);
        let limit = match call {
            StoreCall::Watch { wait, .. } => wait.to_duration() + WATCH_TIMEOUT_MARGIN,
            _ => CALL_TIMEOUT,
        };
        let result = match time::timeout(limit, self.send_call(call)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unanswered("timeout".to_owned())),
        };
        self.record_reachability(&result);
        result
    }

    /// Makes a call that the store answers at once, to find out whether it answers this host; one
    /// without an answer tells nothing, since a single answer may be lost.
    pub async fn check(&self, limit: Millis) {
        self.calls.set(self.calls.get() + 1);
        let call = StoreCall::Check { prefix: CHECKED_PREFIX.to_owned() };
        if let Ok(Ok(_)) = time::timeout(limit.to_duration(), self.send_call(&call)).await {
            self.answered_at.set(Some(self.clock.now()));
        }
    }

    async fn send_call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let unanswered = |why: String| StoreError::Unanswered(why);
        let mut conn = self
            .pool
            .acquire(self.address, Purpose::StoreCalls, Reuse::Allowed)
            .await
            .map_err(|e| unanswered(e.to_string()))?;
        let req = self.adapter.encode_store_call(&call.with_store_revisions());
        let response = match conn.send(req).await {
            Ok(response) => response,
            Err(SendError::NotSent(why) | SendError::Broken(why)) => return Err(unanswered(why)),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| unanswered(e.to_string()))?
            .to_bytes();
        self.pool.release(conn, None);
        let era = self.adapter.store_era(&head.headers);
        self.on_era(era);
        let reply = self.adapter.decode_store_reply(call, head.status, &body)?;
        if era < self.era.get() {
            return Err(StoreError::Outdated(era));
        }
        Ok(reply.with_ordered_revisions(era))
    }

    /// Records that the store is in `era` or a later one.
    pub fn on_era(&self, era: u64) {
        self.era.set(self.era.get().max(era));
    }

    /// Returns the latest era of the store that is known. What the store granted in an earlier one
    /// is void.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    fn record_reachability(&self, result: &Result<StoreReply, StoreError>) {
        if result.is_ok() {
            self.answered_at.set(Some(self.clock.now()));
        }
        match (result, self.lost_since.get()) {
            (Ok(_), Some(since)) => {
                let outage = self.clock.now().since(since);
                self.lost_since.set(None);
                self.event_log.line(Event::StoreRegained, &[("away_ms", &outage.0)]);
            }
            (Err(e), None) => {
                self.lost_since.set(Some(self.clock.now()));
                self.event_log.line(Event::StoreLost, &[("why", e)]);
            }
            _ => {}
        }
    }

    /// Returns when the current outage of the store began, which is when its first failed call
    /// ended; `None` if the last call succeeded.
    pub fn lost_since(&self) -> Option<Millis> {
        self.lost_since.get()
    }

    /// Returns when the store last answered a call, other than by refusing it.
    pub fn answered_at(&self) -> Option<Millis> {
        self.answered_at.get()
    }

    /// Returns the number of calls made.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Reads the item under `key`; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gives no usable answer.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        match self.call(&StoreCall::Get { key: key.to_owned() }).await? {
            StoreReply::Item(item) => Ok(item),
            other => Err(StoreError::Malformed(format!("{other:?}"))),
        }
    }

    /// Reads all items under `prefix`, and the revision of the first page, from which to watch for
    /// changes.
    ///
    /// # Errors
    ///
    /// Returns an error when the store gives no usable answer.
    pub async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        let mut all = Vec::new();
        let mut first_as_of = None;
        let mut after = None;
        loop {
            let call = StoreCall::Range { prefix: prefix.to_owned(), after: after.clone() };
            let StoreReply::Items { items, more, as_of } = self.call(&call).await? else {
                return Err(StoreError::Malformed("the answer has no page of items".to_owned()));
            };
            let as_of = *first_as_of.get_or_insert(as_of);
            if era_of(as_of) < self.era() {
                return Err(StoreError::Outdated(era_of(as_of)));
            }
            after = items.last().map(|i| i.key.clone());
            all.extend(items);
            if !more || after.is_none() {
                return Ok((all, as_of));
            }
        }
    }
}
