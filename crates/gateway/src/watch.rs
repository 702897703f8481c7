//! Follows changes of the configuration and the list of servers in the store.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time;
use yuccanotch_core::clock::Millis;

use crate::adapter::StoreCall;
use crate::adapter::StoreError;
use crate::adapter::StoreEvent;
use crate::adapter::StoreKeys;
use crate::adapter::StoreReply;
use crate::gossip;
use crate::host::Gateway;
use crate::store::StoreClient;
use crate::views::Views;

/// How long the store may hold a watch call. A connection that no longer delivers anything is
/// noticed after this time, or earlier when another host has seen a newer revision.
const WATCH_WAIT: Millis = Millis(2_000);
/// How long a watch call runs before it may be cancelled because another host has seen a newer
/// revision.
const MIN_WATCH_TIME: Duration = Duration::from_millis(700);
/// The pause after each batch of changes, so that the next call returns several at once.
const BATCH_PAUSE: Duration = Duration::from_millis(150);
/// The base and the largest span of the pause after a failed call, in ms.
const BACKOFF_MS: (u64, u64) = (60, 600);

/// Follows the store for the life of the process.
pub async fn run(gateway: Rc<Gateway>, keys: StoreKeys) {
    let store = &gateway.store;
    let views = &gateway.views;
    let mut backoff = Backoff::default();
    loop {
        match read_all(store, views, &keys).await {
            Ok(as_of) => {
                backoff.reset();
                follow(&gateway, &keys, as_of).await;
            }
            Err(_) => backoff.pause().await,
        }
    }
}

/// Reads the servers and the configuration; returns the revision to watch from.
async fn read_all(store: &StoreClient, views: &Views, keys: &StoreKeys) -> Result<u64, StoreError> {
    let was_lost = store.lost_since().is_some();
    let (items, as_of) = store.range(&keys.servers).await?;
    if was_lost {
        views.on_store_recovered();
    }
    views.on_server_list(&items);
    if let Some(item) = store.get(&keys.configuration).await? {
        views.on_configuration(&item.value, "store");
    }
    views.on_revision(as_of);
    Ok(as_of)
}

/// Applies changes from the revision `after` on, until the store no longer keeps the history.
async fn follow(gateway: &Gateway, keys: &StoreKeys, mut after: u64) {
    let store = &gateway.store;
    let views = &gateway.views;
    let mut backoff = Backoff::default();
    loop {
        let was_lost = store.lost_since().is_some();
        let call = StoreCall::Watch { prefix: String::new(), after, wait: WATCH_WAIT };
        let answer = tokio::select! {
            answer = store.call(&call) => answer,
            () = wait_until_behind(views) => continue,
        };
        match answer {
            Ok(StoreReply::Events { events, as_of }) => {
                if was_lost {
                    views.on_store_recovered();
                }
                backoff.reset();
                let has_events = !events.is_empty();
                apply_batch(gateway, keys, events);
                after = after.max(as_of);
                views.on_revision(after);
                if has_events {
                    time::sleep(BATCH_PAUSE).await;
                }
            }
            Ok(_) => return,
            Err(_) => backoff.pause().await,
        }
    }
}

/// Resolves when other hosts have seen a newer revision than the watch call in progress has
/// delivered.
async fn wait_until_behind(views: &Views) {
    time::sleep(MIN_WATCH_TIME).await;
    views.wait_for_newer_peer().await;
}

/// Applies a batch of changes. If it holds several configurations, only the last one is adopted.
fn apply_batch(gateway: &Gateway, keys: &StoreKeys, events: Vec<StoreEvent>) {
    let mut configuration = None;
    for event in events {
        match event {
            StoreEvent::Put(item) if item.key == keys.configuration => {
                configuration = Some(item.value);
            }
            other => apply(gateway, keys, other),
        }
    }
    if let Some(value) = configuration {
        gateway.views.on_configuration(&value, "store");
    }
}

fn apply(gateway: &Gateway, keys: &StoreKeys, event: StoreEvent) {
    let views = &gateway.views;
    match event {
        StoreEvent::Put(item) if item.key.starts_with(&keys.servers) => views.on_server_put(&item),
        StoreEvent::Removed { key } if key.starts_with(&keys.servers) => {
            views.on_server_removed(&key);
        }
        StoreEvent::Put(item) if item.key.starts_with(gossip::HOSTS_PREFIX) => {
            gossip::add_listed_host(gateway, &item.value);
        }
        _ => {}
    }
}

/// Exponential backoff between failed calls, with jitter so that hosts do not retry at the same
/// time.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns to the shortest pause after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits before the next call after a failure.
    pub async fn pause(&mut self) {
        let (least, most) = BACKOFF_MS;
        let span = (least << self.failures.min(4)).min(most);
        self.failures += 1;
        let ms = rand::rng().random_range(span / 2..=span);
        time::sleep(Duration::from_millis(ms)).await;
    }
}
