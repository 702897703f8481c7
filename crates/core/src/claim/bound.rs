//! Keys whose records one process keeps in memory.
//!
//! A caller fetches a bound key in advance and uses it while the store is unavailable. The key
//! names the arbiter: the host and incarnation that keep its record. Every host sends operations on
//! the key to the arbiter, which applies the same rules as a slot and keeps the record until its
//! process ends. After that the outcome of the call is unknown.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use super::messages::OpReply;
use super::record::ClaimKey;
use super::record::Holder;
use super::record::Record;
use super::rules::next_record;
use super::rules::Op;
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::name::is_valid_name;
use crate::name::HostName;

const PREFIX: &str = "bound";

/// A bound key. Its text is `bound:HOST:INCARNATION:SERIAL` with hexadecimal numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BoundKey {
    /// Process that keeps the key's record.
    pub arbiter: Holder,
    /// Number that distinguishes the keys of one arbiter.
    pub serial: u64,
}

impl fmt::Display for BoundKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Holder { host, incarnation } = &self.arbiter;
        write!(f, "{PREFIX}:{host}:{:x}:{:016x}", incarnation.0, self.serial)
    }
}

impl FromStr for BoundKey {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let [PREFIX, host, incarnation, serial] = parts[..] else {
            return Err(());
        };
        if !is_valid_name(host) {
            return Err(());
        }
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ())?;
        let serial = u64::from_str_radix(serial, 16).map_err(|_| ())?;
        let arbiter = Holder { host: HostName::new(host), incarnation: Incarnation(incarnation) };
        let key = Self { arbiter, serial };
        // Rejects other spellings, such as leading zeros, so that each key has exactly one text.
        if key.to_string() == text {
            Ok(key)
        } else {
            Err(())
        }
    }
}

/// Records of the keys that are bound to this incarnation.
#[derive(Debug)]
pub struct BoundTable {
    incarnation: Incarnation,
    capacity: usize,
    records: HashMap<ClaimKey, Record>,
}

impl BoundTable {
    /// Creates an empty table for at most `capacity` keys.
    pub fn new(incarnation: Incarnation, capacity: usize) -> Self {
        Self { incarnation, capacity, records: HashMap::new() }
    }

    /// Applies an operation to a key that is bound to `incarnation`, and returns the result.
    ///
    /// A full table accepts no new key, because removing a record could let its call run twice.
    pub fn commit(&mut self, incarnation: Incarnation, op: &Op, now: Millis) -> OpReply {
        if incarnation != self.incarnation {
            return OpReply::ArbiterGone;
        }
        let present = self.records.get(&op.key);
        if present.is_none() && self.records.len() >= self.capacity {
            return OpReply::Unavailable;
        }
        if let Some(record) = next_record(present, op, now) {
            self.records.insert(op.key, record);
        }
        match self.records.get(&op.key) {
            Some(record) => OpReply::Recorded { record: record.clone(), sequence: 0 },
            None => OpReply::Absent,
        }
    }

    /// Returns the number of keys that have a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
