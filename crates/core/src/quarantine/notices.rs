//! Which of the known crashes one host tells others.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::evidence::age;
use super::evidence::Evidence;
use super::messages::CrashNotice;
use super::messages::Fingerprint;
use super::state::Quarantine;
use crate::clock::Millis;

/// How long after its last crash a refuted fingerprint is repeated to other hosts.
const REFUTATION_SPAN: Millis = Millis(10_000);
/// The most bytes of a notice without its crashes: the fingerprint, a time and lengths.
const NOTICE_BYTES: usize = 28;
/// The most bytes of a crash in a notice without the name of its server.
const CRASH_BYTES: usize = 20;

/// What notices a message carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoticeScope {
    /// How long after a crash its notice is part of such messages.
    pub span: Millis,
    /// The most bytes of the notices in one message.
    pub max_bytes: usize,
}

impl NoticeScope {
    /// What is new, for every message between hosts.
    pub const URGENT: Self = Self { span: Millis(1_000), max_bytes: 3 << 10 };
    /// What a host that has just started needs, for full exchanges between hosts. It must fit a
    /// datagram with the rest of the exchange.
    pub const SHARED: Self = Self { span: Millis(600_000), max_bytes: 5 << 10 };
}

/// Returns an order of fingerprints that differs from turn to turn, so that none always comes last.
fn shuffled(fingerprint: Fingerprint, turn: u64) -> u64 {
    let (Fingerprint::Request(word, _) | Fingerprint::PromptPart(word, _)) = fingerprint;
    xxh3_64_with_seed(&word.to_le_bytes(), turn)
}

/// Returns the most bytes that a notice takes in a message.
fn encoded_bytes(notice: &CrashNotice) -> usize {
    let crashes = notice.crashes.iter().map(|c| c.crash.server.as_str().len() + CRASH_BYTES);
    NOTICE_BYTES + crashes.sum::<usize>()
}

impl Quarantine {
    /// Returns notices of fingerprints with a recent crash for a message to other hosts, as many as
    /// fit it. A fingerprint whose crashes are refuted is repeated for a shorter time.
    ///
    /// Parts, the latest refutations and requests take turns, so that none keeps the others out.
    /// Those with the most crashes come first. Many requests are in flight at one crash, so those
    /// with one crash take turns from message to message: one of them may return at a host that
    /// must know its history.
    pub fn recent_notices(&self, now: Millis, scope: NoticeScope, turn: u64) -> Vec<CrashNotice> {
        let mut queues = self.queues(now, scope.span, turn).map(Vec::into_iter);
        let mut notices = Vec::new();
        let mut bytes = 0;
        loop {
            let next: Vec<_> = queues.iter_mut().filter_map(Iterator::next).collect();
            if next.is_empty() {
                return notices;
            }
            for (fingerprint, entry) in next {
                let notice = entry.to_notice(now, fingerprint, self.stands_out(entry));
                bytes += encoded_bytes(&notice);
                if bytes > scope.max_bytes {
                    return notices;
                }
                notices.push(notice);
            }
        }
    }

    /// Returns the parts, the refuted fingerprints and the requests to tell others of, each in the
    /// order of their importance.
    fn queues(&self, now: Millis, span: Millis, turn: u64) -> [Vec<(Fingerprint, &Evidence)>; 3] {
        let mut parts = Vec::new();
        let mut refuted = Vec::new();
        let mut requests = Vec::new();
        for (fingerprint, entry) in &self.entries {
            let age = age(now, entry.last_crash_at);
            match (entry.crashes.is_empty(), fingerprint.is_part()) {
                (true, _) if age < span.min(REFUTATION_SPAN) => refuted.push((*fingerprint, entry)),
                (false, true) if age < span => parts.push((*fingerprint, entry)),
                (false, false) if age < span => requests.push((*fingerprint, entry)),
                _ => {}
            }
        }
        let importance = |(fingerprint, entry): &(Fingerprint, &Evidence)| {
            let is_old = age(now, entry.last_crash_at) >= NoticeScope::URGENT.span;
            (Reverse(entry.crashes.len()), is_old, shuffled(*fingerprint, turn))
        };
        parts.sort_by_cached_key(importance);
        requests.sort_by_cached_key(importance);
        refuted.sort_by_key(|(_, entry)| Reverse(entry.success_at));
        [parts, refuted, requests]
    }

    /// Returns what to tell others of one fingerprint.
    pub(super) fn notice(&self, now: Millis, fingerprint: Fingerprint) -> Option<CrashNotice> {
        let entry = self.entries.get(&fingerprint)?;
        let stands_out = self.stands_out(entry);
        (!entry.crashes.is_empty()).then(|| entry.to_notice(now, fingerprint, stands_out))
    }
}
