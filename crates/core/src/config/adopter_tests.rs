//! Tests of adoption and of the notice tree.

use std::collections::BTreeSet;

use serde_json::json;
use yare::parameterized;

use crate::clock::Millis;
use crate::config::adopter::AdoptAction;
use crate::config::adopter::AdoptActions;
use crate::config::adopter::AdoptEvent;
use crate::config::adopter::Adopter;
use crate::config::adopter::ConfigProblem;
use crate::config::adopter::Source;
use crate::config::chunk::split;
use crate::config::document::Document;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::messages::WireChunk;
use crate::config::notice_tree::is_store_watcher;
use crate::config::notice_tree::notice_rounds;
use crate::config::notice_tree::notice_targets;
use crate::config::notice_tree::STORE_WATCHERS;
use crate::ids::ConfigNumber;
use crate::name::DomainName;
use crate::name::HostName;

const NOW: Millis = Millis(100);

struct TestConfig {
    manifest: Manifest,
    chunks: Vec<WireChunk>,
}

/// Returns a configuration whose only failure domain is named after its number and patch.
fn test_config(number: u64, patch: u64) -> TestConfig {
    let number = ConfigNumber(number);
    let value = json!({"domains": {format!("d-{number}-{patch}"): {"region": "r"}}});
    let document = Document::try_from(value).unwrap();
    let split = split(&document, None, number, PatchId(patch)).unwrap();
    let chunks = split
        .new_chunks
        .into_iter()
        .map(|new| WireChunk { digest: new.chunk.digest, bytes: new.bytes })
        .collect();
    let manifest = Manifest::following(None, number, PatchId(patch), split.sections);
    TestConfig { manifest, chunks }
}

/// Passes the manifest and, where requested, the chunks of `config` to `adopter`; returns the last
/// actions.
fn offer(adopter: &mut Adopter, from: &Source, config: &TestConfig) -> AdoptActions {
    let manifest = Some(config.manifest.clone());
    let mut actions = adopter.on_event(NOW, AdoptEvent::Manifest { from: from.clone(), manifest });
    if matches!(actions.last(), Some(AdoptAction::FetchChunks { .. })) {
        let chunks = config.chunks.clone();
        actions = adopter.on_event(NOW, AdoptEvent::Chunks { from: from.clone(), chunks });
    }
    actions
}

fn adopted(actions: &AdoptActions) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        AdoptAction::Adopt(active) => Some(active.number.0),
        _ => None,
    })
}

fn reported(actions: &AdoptActions) -> Option<&ConfigProblem> {
    actions.iter().find_map(|action| match action {
        AdoptAction::Report(problem) => Some(problem),
        _ => None,
    })
}

fn peer(name: &str) -> Source {
    Source::Peer(HostName::new(name))
}

#[test]
fn adopts_a_higher_number_and_reports_a_store_with_a_lower_number() {
    let mut adopter = Adopter::new();
    assert_eq!(adopted(&offer(&mut adopter, &Source::Store, &test_config(5, 1))), Some(5));
    let actions = offer(&mut adopter, &Source::Store, &test_config(3, 2));
    assert_eq!(adopted(&actions), None);
    let behind = ConfigProblem::StoreBehind { store: ConfigNumber(3), held: ConfigNumber(5) };
    assert_eq!(reported(&actions), Some(&behind));
    let marks_store = |action: &AdoptAction| matches!(action, AdoptAction::MarkStoreBehind(number) if *number == ConfigNumber(5));
    assert!(actions.iter().any(marks_store));
    let again = offer(&mut adopter, &Source::Store, &test_config(3, 2));
    assert_eq!(reported(&again), None, "reported once");
    assert_eq!(adopter.number(), ConfigNumber(5));
    assert_eq!(
        adopted(&offer(&mut adopter, &Source::Store, &test_config(1_000_000, 4))),
        Some(1_000_000)
    );
}

#[test]
fn keeps_its_configuration_when_a_peer_has_another_one_with_the_same_number() {
    let mut adopter = Adopter::new();
    offer(&mut adopter, &Source::Store, &test_config(5, 1));
    let actions = offer(&mut adopter, &peer("a"), &test_config(5, 2));
    let conflict = ConfigProblem::NumberConflict { number: ConfigNumber(5), from: peer("a") };
    assert_eq!(reported(&actions), Some(&conflict));
    assert_eq!(adopter.active().unwrap().patch(), PatchId(1));
}

#[test]
fn marks_a_store_that_has_another_configuration_with_the_adopted_number() {
    let mut adopter = Adopter::new();
    offer(&mut adopter, &Source::Store, &test_config(5, 1));
    let actions = offer(&mut adopter, &Source::Store, &test_config(5, 2));
    let marks_store = |action: &AdoptAction| matches!(action, AdoptAction::MarkStoreBehind(number) if *number == ConfigNumber(6));
    assert!(actions.iter().any(marks_store));
    let from_peer = offer(&mut adopter, &peer("a"), &test_config(5, 2));
    assert!(
        !from_peer.iter().any(marks_store),
        "a peer may have a configuration that the store no longer has"
    );
}

#[test]
fn fetches_from_the_peer_with_the_highest_number_and_tries_the_next_when_it_fails() {
    let mut adopter = Adopter::new();
    let announce = |adopter: &mut Adopter, host: &str, number| {
        let from = HostName::new(host);
        adopter.on_event(NOW, AdoptEvent::PeerNumber { from, number: ConfigNumber(number) })
    };
    let first = announce(&mut adopter, "a", 4);
    assert!(matches!(&first[..], [AdoptAction::FetchManifest(from)] if *from == peer("a")));
    assert!(announce(&mut adopter, "b", 5).is_empty(), "one fetch at a time");
    let next = adopter.on_event(NOW, AdoptEvent::Failed { from: peer("a") });
    assert!(matches!(&next[..], [AdoptAction::FetchManifest(from)] if *from == peer("b")));
    assert_eq!(adopted(&offer(&mut adopter, &peer("b"), &test_config(5, 1))), Some(5));
}

#[test]
fn abandons_a_fetch_without_progress_after_the_timeout() {
    let mut adopter = Adopter::new();
    let from = HostName::new("a");
    adopter.on_event(NOW, AdoptEvent::PeerNumber { from, number: ConfigNumber(2) });
    assert!(adopter.on_event(NOW, AdoptEvent::Tick).is_empty());
    adopter.on_event(Millis(10_000), AdoptEvent::Tick);
    let from = HostName::new("b");
    let actions =
        adopter.on_event(Millis(10_000), AdoptEvent::PeerNumber { from, number: ConfigNumber(2) });
    assert!(matches!(&actions[..], [AdoptAction::FetchManifest(from)] if *from == peer("b")));
}

#[test]
fn rejects_a_chunk_whose_bytes_do_not_match_its_digest() {
    let mut adopter = Adopter::new();
    let mut config = test_config(2, 1);
    config.chunks[0].bytes.push(b' ');
    let actions = offer(&mut adopter, &peer("a"), &config);
    assert!(matches!(reported(&actions), Some(ConfigProblem::BadChunk { .. })));
    assert_eq!(adopter.number(), ConfigNumber(0));
}

#[test]
fn reports_a_configuration_that_this_version_cannot_read() {
    let mut adopter = Adopter::new();
    offer(&mut adopter, &Source::Store, &test_config(1, 1));
    let number = ConfigNumber(2);
    let value = json!({"later": {"x": {}}});
    let split = split(&Document::try_from(value).unwrap(), None, number, PatchId(2)).unwrap();
    let chunks = split
        .new_chunks
        .iter()
        .map(|c| WireChunk { digest: c.chunk.digest, bytes: c.bytes.clone() });
    let later = TestConfig {
        chunks: chunks.collect(),
        manifest: Manifest::following(None, number, PatchId(2), split.sections),
    };
    let actions = offer(&mut adopter, &Source::Store, &later);
    assert!(matches!(reported(&actions), Some(ConfigProblem::Unreadable { .. })));
    assert_eq!(adopter.number(), ConfigNumber(1));
}

#[parameterized(
    one = { 1 },
    two = { 2 },
    current_domain_size = { 8 },
    target_domain_size = { 76 },
)]
fn notices_reach_every_member_of_a_domain_within_notice_rounds(count: usize) {
    let domain = DomainName::new("sahab");
    let members: Vec<HostName> = (0..count).map(|i| HostName::new(&format!("entry-{i}"))).collect();
    let watchers: BTreeSet<&HostName> =
        members.iter().filter(|host| is_store_watcher(&domain, &members, host)).collect();
    assert_eq!(watchers.len(), STORE_WATCHERS.min(count));
    let mut notified: BTreeSet<HostName> = watchers.into_iter().cloned().collect();
    for _ in 0..notice_rounds(count) {
        let next: Vec<_> =
            notified.iter().flat_map(|host| notice_targets(&domain, &members, host)).collect();
        notified.extend(next);
    }
    assert_eq!(notified.len(), count);
}
