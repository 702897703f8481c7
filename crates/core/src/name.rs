//! Names of hosts, failure domains, teams, models and so on, as cheaply cloned strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text` without checking it; see [`is_valid_name`].
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// Names an entry host.
    HostName;
    /// Names a failure domain.
    DomainName;
    /// Names a region, which holds one or more failure domains.
    RegionName;
    /// Names a team; shares and limits apply to teams.
    TeamName;
    /// Names a backend server: a model engine or a plain service instance.
    ServerName;
    /// Names a model.
    ModelName;
    /// Names a version of a model's weights.
    ModelVersion;
    /// Names a plain service.
    ServiceName;
    /// Names a part of a prompt; requests whose prompts share a part name it alike.
    PromptPart;
}

/// Returns whether `text` may be used as a name in settings and configuration.
///
/// A name has 1 to 64 characters out of lower-case letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    const MAX_LEN: usize = 64;
    let valid_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !text.is_empty() && text.len() <= MAX_LEN && text.chars().all(valid_char)
}
