//! This host's entry in the store, by which hosts that start find it, and the entries of others.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;
use yuccanotch_core::clock::Millis;

use crate::adapter::StoreCall;
use crate::adapter::StoreError;
use crate::adapter::StoreReply;
use crate::gossip;
use crate::host::Gateway;
use crate::watch::Backoff;

/// The lease duration of the host's entry in the store.
const LISTING_TTL: Millis = Millis(120_000);
/// The time between checks of the host's entry in the store.
const LISTING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a read of the listed hosts.
const LISTING_READ_PAUSE: Duration = Duration::from_millis(2_000);

/// Lists this host in the store while it is an aggregator, so that hosts that start find it, and
/// reads which hosts are listed when this host hears too few others.
pub async fn run(gateway: Rc<Gateway>) {
    let mut backoff = Backoff::default();
    let mut lease: Option<Lease> = None;
    loop {
        time::sleep(LISTING_CHECK_INTERVAL).await;
        let now = gateway.clock.now();
        let is_aggregator = gateway.peers.node().is_aggregator();
        let result = match &mut lease {
            Some(held) if now >= held.renew_at => renew_listing(&gateway, held).await,
            None if is_aggregator => match write_listing(&gateway).await {
                Ok(held) => {
                    lease = Some(held);
                    Ok(())
                }
                Err(e) => Err(e),
            },
            _ if gateway.peers.node().needs_listing(now) => {
                let result = read_listing(&gateway).await;
                time::sleep(LISTING_READ_PAUSE).await;
                result
            }
            _ => Ok(()),
        };
        match result {
            Ok(()) => backoff.reset(),
            Err(_) => backoff.pause().await,
        }
        if lease.as_ref().is_some_and(|held| held.is_gone || held.era != gateway.store.era()) {
            lease = None;
        }
    }
}

/// The lease of this host's entry in the store.
struct Lease {
    id: u64,
    era: u64,
    renew_at: Millis,
    is_gone: bool,
}

/// Adds the hosts that the store lists to the known ones.
async fn read_listing(gateway: &Gateway) -> Result<(), StoreError> {
    let (items, _) = gateway.store.range(gossip::HOSTS_PREFIX).await?;
    for item in items {
        gossip::add_listed_host(gateway, &item.value);
    }
    Ok(())
}

/// Reads the listed hosts and writes this host's entry; returns the entry's lease.
async fn write_listing(gateway: &Gateway) -> Result<Lease, StoreError> {
    read_listing(gateway).await?;
    let granted = gateway.store.call(&StoreCall::Grant { ttl: LISTING_TTL }).await?;
    let era = gateway.store.era();
    let StoreReply::Lease { lease: Some(id) } = granted else {
        return Err(StoreError::Malformed("the answer names no lease".to_owned()));
    };
    let key = format!("{}{}", gossip::HOSTS_PREFIX, gateway.settings.host);
    let puts = vec![(key, gossip::encode_own_peer(gateway), id)];
    let call = StoreCall::Write { expected: Vec::new(), puts, removes: Vec::new() };
    gateway.store.call(&call).await?;
    Ok(Lease { id, era, renew_at: next_listing_renewal(gateway), is_gone: false })
}

fn next_listing_renewal(gateway: &Gateway) -> Millis {
    gateway.clock.now() + Millis(LISTING_TTL.0 / 4)
}

/// Renews the lease of the host's entry, or finds that the store no longer has it.
async fn renew_listing(gateway: &Gateway, lease: &mut Lease) -> Result<(), StoreError> {
    let reply = gateway.store.call(&StoreCall::Renew { lease: lease.id }).await?;
    lease.is_gone = reply == StoreReply::LeaseGone;
    lease.renew_at = next_listing_renewal(gateway);
    Ok(())
}
