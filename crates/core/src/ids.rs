//! Numeric identifiers and counters; see [`crate::name`] for names.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Identifies one request of one caller, as 32 hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

macro_rules! counter_types {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

counter_types! {
    /// Counts the attempts of one request, from 1.
    Attempt(u32);
    /// Numbers the accepted configurations, from 1.
    ConfigNumber(u64);
    /// Fencing token: increases with each new holder of the order issuer's lease.
    FencingNumber(u64);
    /// Distinguishes the successive processes of one entry host.
    Incarnation(u64);
    /// Numbers the writes to one key of the platform's store; 0 stands for an absent key.
    KeyVersion(u64);
    /// Identifies a lease of the platform's store.
    LeaseId(u64);
}
