//! Follows the configuration and the list of servers in the store.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time;
use yuccanotch_core::clock::Millis;

use crate::edge::StoreCall;
use crate::edge::StoreError;
use crate::edge::StoreEvent;
use crate::edge::StoreKeys;
use crate::edge::StoreReply;
use crate::gossip;
use crate::host::Gateway;
use crate::store::StoreClient;
use crate::views::Views;

/// The longest wait of a watch: a connection that fell silent is noticed after it, or earlier when
/// another host has seen a later revision.
const WAIT: Millis = Millis(2_000);
/// The time that a watch has before it may be cut short because another host is ahead.
const HEAD_START: Duration = Duration::from_millis(700);
/// The pause after each batch of changes, in which further ones gather into one call.
const GATHER: Duration = Duration::from_millis(150);
/// The shortest and longest pause after a failed call, in ms.
const RETRY_MS: (u64, u64) = (60, 600);

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

/// Follows changes until the store no longer keeps them.
async fn follow(gateway: &Gateway, keys: &StoreKeys, mut after: u64) {
    let store = &gateway.store;
    let views = &gateway.views;
    let mut backoff = Backoff::default();
    loop {
        let was_lost = store.lost_since().is_some();
        let call = StoreCall::Watch { prefix: String::new(), after, wait: WAIT };
        let answer = tokio::select! {
            answer = store.call(&call) => answer,
            () = falls_behind(views) => continue,
        };
        match answer {
            Ok(StoreReply::Events { events, as_of }) => {
                if was_lost {
                    views.on_store_recovered();
                }
                backoff.reset();
                let busy = !events.is_empty();
                apply_all(gateway, keys, events);
                after = after.max(as_of);
                views.on_revision(after);
                if busy {
                    time::sleep(GATHER).await;
                }
            }
            Ok(_) => return,
            Err(_) => backoff.pause().await,
        }
    }
}

/// Resolves when the watch in progress lags behind what other hosts have seen.
async fn falls_behind(views: &Views) {
    time::sleep(HEAD_START).await;
    views.behind().await;
}

/// Applies a batch of changes; of several configurations only the last one counts.
fn apply_all(gateway: &Gateway, keys: &StoreKeys, events: Vec<StoreEvent>) {
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
            gossip::on_listed(gateway, &item.value);
        }
        _ => {}
    }
}

/// Pauses between failed calls, longer each time and spread over hosts.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Starts anew after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits after a failure.
    pub async fn pause(&mut self) {
        let (least, most) = RETRY_MS;
        let span = (least << self.failures.min(4)).min(most);
        self.failures += 1;
        let ms = rand::rng().random_range(span / 2..=span);
        time::sleep(Duration::from_millis(ms)).await;
    }
}
