//! Remembers which servers have announced that they are leaving, whatever the list says of them.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::forward::reason::LeavingSource;
use crate::forward::servers::ServerEntry;
use crate::name::ServerName;

/// How long an announcement is kept while its server is not listed.
const UNLISTED_TTL: Millis = Millis(600_000);

/// The announcement of one incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    born: Option<u64>,
    source: LeavingSource,
    listed_at: Millis,
}

/// The announcements that this host knows of.
#[derive(Debug, Default)]
pub struct LeavingServers {
    announcements: HashMap<ServerName, Announcement>,
}

impl LeavingServers {
    /// Records that the incarnation of `server` that started at `born` is leaving; returns whether
    /// that is news.
    pub fn insert(
        &mut self,
        now: Millis,
        server: &ServerName,
        born: Option<u64>,
        source: LeavingSource,
    ) -> bool {
        let known = self.announcements.get(server);
        if known.is_some_and(|known| !is_newer(born, known.born)) {
            return false;
        }
        self.announcements.insert(server.clone(), Announcement { born, source, listed_at: now });
        true
    }

    /// Returns whether the incarnation that `entry` describes has announced that it is leaving, or
    /// an incarnation after it has.
    pub fn includes(&self, entry: &ServerEntry) -> bool {
        self.announcements.get(&entry.id).is_some_and(|known| !is_newer(entry.born, known.born))
    }

    /// Returns the servers whose announcement this host itself received, with their starts.
    pub fn received(&self) -> impl Iterator<Item = (&ServerName, Option<u64>)> {
        self.announcements
            .iter()
            .filter(|(_, known)| known.source == LeavingSource::Answer)
            .map(|(server, known)| (server, known.born))
    }

    /// Forgets the announcements of servers that have not been listed for long.
    pub fn on_tick(&mut self, now: Millis, is_listed: impl Fn(&ServerName) -> bool) {
        self.announcements.retain(|server, known| {
            if is_listed(server) {
                known.listed_at = now;
            }
            now.since(known.listed_at) < UNLISTED_TTL
        });
    }
}

/// Returns whether a server that started at `born` is a later incarnation than one that started at
/// `other`. Without both times they count as the same.
fn is_newer(born: Option<u64>, other: Option<u64>) -> bool {
    matches!((born, other), (Some(born), Some(other)) if born > other)
}
