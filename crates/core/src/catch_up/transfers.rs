//! The answers that a host sends to others that are behind.
//!
//! All members of a failure domain ask the same hosts in the same moment. A host sends few large
//! answers at a time, so that each of them is complete early and that host can serve others, and
//! names hosts that have the changes already.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::defect::planted;

/// The most large answers that a host sends at a time.
const MAX_ACTIVE: usize = 2;
/// Answers below this size are sent at once, in bytes.
const SMALL_BYTES: usize = 16 << 10;
/// The time after which a host is named again to another one that asks.
const REFERRAL_INTERVAL: Millis = Millis(100);

/// How a host answers a request for changes now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It sends the changes.
    Send,
    /// It names a host that has the changes.
    Refer(SocketAddrV4),
    /// It lets the request wait and decides again later.
    Wait,
}

/// The large answers in progress, and the hosts that were named to others.
#[derive(Debug, Default)]
pub struct Transfers {
    active: usize,
    named_at: HashMap<SocketAddrV4, Millis>,
}

impl Transfers {
    /// Decides on an answer of `bytes` bytes; [`Reply::Send`] counts as begun. `holders` are other
    /// hosts that have the changes; none if the request must not be referred.
    pub fn decide(&mut self, now: Millis, bytes: usize, holders: &[SocketAddrV4]) -> Reply {
        if bytes < SMALL_BYTES {
            return Reply::Send;
        }
        if self.active < MAX_ACTIVE || planted!(CatchUpServesAllAtOnce) {
            self.active += 1;
            return Reply::Send;
        }
        self.named_at.retain(|_, at| now.since(*at) < REFERRAL_INTERVAL);
        let Some(&holder) = holders.iter().find(|holder| !self.named_at.contains_key(holder))
        else {
            return Reply::Wait;
        };
        self.named_at.insert(holder, now);
        Reply::Refer(holder)
    }

    /// Records the end of an answer of `bytes` bytes.
    pub fn on_end(&mut self, bytes: usize) {
        if bytes >= SMALL_BYTES {
            self.active = self.active.saturating_sub(1);
        }
    }

    /// Returns the number of large answers in progress.
    pub fn active(&self) -> usize {
        self.active
    }
}
