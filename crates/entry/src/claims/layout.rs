//! The layout of the claims in the store, which must be the same for all entry hosts.

use std::sync::OnceLock;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::store::Store;
use yuccanotch_core::store::StoreError;

const LAYOUT_KEY: &str = "claims/layout";
const DEFAULT_SLOTS: u16 = 64;
const DEFAULT_RETENTION: Millis = Millis(6 * 3_600_000);

/// Number of slots and retention time, written to the store at the first start of a deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    /// Number of slots; it must never change, because it determines the slot of each key.
    pub slots: u16,
    /// Time for which a claim is kept after its last change, in ms.
    pub retention_ms: Millis,
}

/// Caches the layout after its first read; a store without a layout gets the default one.
#[derive(Debug, Default)]
pub struct LayoutCell(OnceLock<Layout>);

impl LayoutCell {
    /// Returns the layout, or `None` while the store is unavailable or holds an invalid layout.
    pub fn get(&self, store: &dyn Store) -> Option<Layout> {
        if let Some(layout) = self.0.get() {
            return Some(*layout);
        }
        let layout = load_or_create(store).ok().flatten()?;
        Some(*self.0.get_or_init(|| layout))
    }
}

fn load_or_create(store: &dyn Store) -> Result<Option<Layout>, StoreError> {
    if let Some(found) = store.get(LAYOUT_KEY)? {
        return Ok(parse(&found.value));
    }
    let layout = Layout { slots: DEFAULT_SLOTS, retention_ms: DEFAULT_RETENTION };
    let value = serde_json::to_vec(&layout).expect("a layout consists of numbers only");
    match store.swap(LAYOUT_KEY, KeyVersion(0), &value, None) {
        Ok(_) => Ok(Some(layout)),
        Err(StoreError::Conflict(_)) => {
            Ok(store.get(LAYOUT_KEY)?.and_then(|found| parse(&found.value)))
        }
        Err(e) => Err(e),
    }
}

fn parse(value: &[u8]) -> Option<Layout> {
    let layout: Layout = serde_json::from_slice(value).ok()?;
    (layout.slots > 0 && layout.retention_ms > Millis::ZERO).then_some(layout)
}
