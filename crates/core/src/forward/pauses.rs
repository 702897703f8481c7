//! The pauses that servers ask for when they turn a request away: until the end of its pause a
//! server gets nothing new from this host. A pause says nothing about a server's health.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::defect::planted;
use crate::forward::reason::PauseKind;
use crate::name::ServerName;
use crate::placement::engine::LayerRange;

/// The longest pause; a server that asks for more gets requests again after this time.
const MAX_PAUSE: Millis = Millis(120_000);
const MS_PER_SECOND: f64 = 1_000.0;

/// The pause that a server asks for, as far as this host keeps to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestedPause {
    /// How the request is treated.
    pub kind: PauseKind,
    /// The length of the pause; zero for unusable ones.
    pub span: Millis,
}

impl RequestedPause {
    /// A request that cannot be read.
    pub const UNUSABLE: Self = Self { kind: PauseKind::Unusable, span: Millis::ZERO };

    /// Creates the pause that `seconds`, of any value, asks for.
    pub fn from_seconds(seconds: f64) -> Self {
        if seconds.is_nan() || seconds < 0.0 {
            return Self::UNUSABLE;
        }
        let ms = (seconds * MS_PER_SECOND).ceil();
        if ms > MAX_PAUSE.0 as f64 {
            return Self { kind: PauseKind::Shortened, span: MAX_PAUSE };
        }
        Self { kind: PauseKind::AsAsked, span: Millis(ms as u64) }
    }
}

/// The servers that have asked this host for a pause.
#[derive(Debug, Default)]
pub struct Pauses {
    until: HashMap<ServerName, Millis>,
}

impl Pauses {
    /// Begins a pause of `server`, or prolongs the present one; a shorter one changes nothing.
    /// Returns whether the server was not in a pause before.
    pub fn begin(&mut self, now: Millis, server: &ServerName, span: Millis) -> bool {
        if span == Millis::ZERO {
            return false;
        }
        let is_first = self.left(now, server) == Millis::ZERO;
        let until = self.until.entry(server.clone()).or_default();
        let latest = if planted!(PauseCutShort) { now + span } else { (now + span).max(*until) };
        *until = latest;
        is_first
    }

    /// Returns how much longer the pause of `server` lasts; zero if it is in none.
    pub fn left(&self, now: Millis, server: &ServerName) -> Millis {
        self.until.get(server).map_or(Millis::ZERO, |until| until.since(now))
    }

    /// Returns whether `server` is in a pause.
    pub fn includes(&self, now: Millis, server: &ServerName) -> bool {
        self.left(now, server) > Millis::ZERO
    }

    /// Returns the number of servers that are in a pause.
    pub fn count(&self, now: Millis) -> usize {
        self.until.values().filter(|until| now < **until).count()
    }

    /// Drops pauses that are over.
    pub fn on_tick(&mut self, now: Millis) {
        self.until.retain(|_, until| now < *until);
    }
}

/// A server that holds layers, and how much longer its pause lasts.
#[derive(Clone, Copy, Debug)]
pub struct PausedHolder {
    /// The layers that it holds.
    pub layers: LayerRange,
    /// The rest of its pause; zero if it is in none.
    pub left: Millis,
}

/// Returns how long no request can be served because all holders of one of the `layers` layers are
/// in a pause; `None` if there is no such layer.
pub fn time_without_holder(layers: u16, holders: &[PausedHolder]) -> Option<Millis> {
    let first_end = |layer: u16| {
        let of_layer = holders.iter().filter(|h| h.layers.from <= layer && layer < h.layers.to);
        of_layer.map(|h| h.left).min()
    };
    (0..layers).filter_map(first_end).max().filter(|left| *left > Millis::ZERO)
}
