//! Tests of adoption and spread.

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

struct Shown {
    manifest: Manifest,
    chunks: Vec<WireChunk>,
}

/// Returns a configuration whose only domain is named after its number.
fn shown(number: u64, patch: u64) -> Shown {
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
    Shown { manifest, chunks }
}

fn show(adopter: &mut Adopter, from: &Source, shown: &Shown) -> AdoptActions {
    let manifest = Some(shown.manifest.clone());
    let mut actions = adopter.on_event(NOW, AdoptEvent::Manifest { from: from.clone(), manifest });
    if matches!(actions.last(), Some(AdoptAction::FetchChunks { .. })) {
        let chunks = shown.chunks.clone();
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
        AdoptAction::Report(trouble) => Some(trouble),
        _ => None,
    })
}

fn peer(name: &str) -> Source {
    Source::Peer(HostName::new(name))
}

#[test]
fn adopts_a_higher_number_and_reports_a_store_that_went_back() {
    let mut adopter = Adopter::new();
    assert_eq!(adopted(&show(&mut adopter, &Source::Store, &shown(5, 1))), Some(5));
    let actions = show(&mut adopter, &Source::Store, &shown(3, 2));
    assert_eq!(adopted(&actions), None);
    let behind = ConfigProblem::StoreBehind { store: ConfigNumber(3), held: ConfigNumber(5) };
    assert_eq!(reported(&actions), Some(&behind));
    let raises = |action: &AdoptAction| matches!(action, AdoptAction::MarkStoreBehind(number) if *number == ConfigNumber(5));
    assert!(actions.iter().any(raises));
    let again = show(&mut adopter, &Source::Store, &shown(3, 2));
    assert_eq!(reported(&again), None, "reported once");
    assert_eq!(adopter.number(), ConfigNumber(5));
    assert_eq!(adopted(&show(&mut adopter, &Source::Store, &shown(1_000_000, 4))), Some(1_000_000));
}

#[test]
fn keeps_what_it_holds_when_a_peer_shows_another_one_under_the_same_number() {
    let mut adopter = Adopter::new();
    show(&mut adopter, &Source::Store, &shown(5, 1));
    let actions = show(&mut adopter, &peer("a"), &shown(5, 2));
    let forked = ConfigProblem::NumberConflict { number: ConfigNumber(5), from: peer("a") };
    assert_eq!(reported(&actions), Some(&forked));
    assert_eq!(adopter.active().unwrap().patch(), PatchId(1));
}

#[test]
fn marks_a_store_that_has_another_configuration_under_the_number_held() {
    let mut adopter = Adopter::new();
    show(&mut adopter, &Source::Store, &shown(5, 1));
    let actions = show(&mut adopter, &Source::Store, &shown(5, 2));
    let raises = |action: &AdoptAction| matches!(action, AdoptAction::MarkStoreBehind(number) if *number == ConfigNumber(6));
    assert!(actions.iter().any(raises));
    let from_peer = show(&mut adopter, &peer("a"), &shown(5, 2));
    assert!(!from_peer.iter().any(raises), "a peer may show what the store no longer has");
}

#[test]
fn asks_the_peer_with_the_highest_number_and_turns_to_the_next_when_it_fails() {
    let mut adopter = Adopter::new();
    let heard = |adopter: &mut Adopter, host: &str, number| {
        let from = HostName::new(host);
        adopter.on_event(NOW, AdoptEvent::PeerNumber { from, number: ConfigNumber(number) })
    };
    let first = heard(&mut adopter, "a", 4);
    assert!(matches!(&first[..], [AdoptAction::FetchManifest(from)] if *from == peer("a")));
    assert!(heard(&mut adopter, "b", 5).is_empty(), "one fetch at a time");
    let next = adopter.on_event(NOW, AdoptEvent::Failed { from: peer("a") });
    assert!(matches!(&next[..], [AdoptAction::FetchManifest(from)] if *from == peer("b")));
    assert_eq!(adopted(&show(&mut adopter, &peer("b"), &shown(5, 1))), Some(5));
}

#[test]
fn gives_up_a_fetch_that_makes_no_progress() {
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
fn refuses_a_chunk_with_other_bytes_and_adopts_nothing() {
    let mut adopter = Adopter::new();
    let mut shown = shown(2, 1);
    shown.chunks[0].bytes.push(b' ');
    let actions = show(&mut adopter, &peer("a"), &shown);
    assert!(matches!(reported(&actions), Some(ConfigProblem::BadChunk { .. })));
    assert_eq!(adopter.number(), ConfigNumber(0));
}

#[test]
fn reports_a_configuration_that_this_version_cannot_read() {
    let mut adopter = Adopter::new();
    show(&mut adopter, &Source::Store, &shown(1, 1));
    let number = ConfigNumber(2);
    let value = json!({"later": {"x": {}}});
    let split = split(&Document::try_from(value).unwrap(), None, number, PatchId(2)).unwrap();
    let chunks = split
        .new_chunks
        .iter()
        .map(|c| WireChunk { digest: c.chunk.digest, bytes: c.bytes.clone() });
    let later = Shown {
        chunks: chunks.collect(),
        manifest: Manifest::following(None, number, PatchId(2), split.sections),
    };
    let actions = show(&mut adopter, &Source::Store, &later);
    assert!(matches!(reported(&actions), Some(ConfigProblem::Unreadable { .. })));
    assert_eq!(adopter.number(), ConfigNumber(1));
}

#[parameterized(
    one = { 1 },
    two = { 2 },
    today = { 8 },
    a_domain_of_the_target = { 76 },
)]
fn reaches_every_member_of_a_domain_in_the_stated_rounds(count: usize) {
    let domain = DomainName::new("sahab");
    let members: Vec<HostName> = (0..count).map(|i| HostName::new(&format!("entry-{i}"))).collect();
    let watchers: BTreeSet<&HostName> =
        members.iter().filter(|host| is_store_watcher(&domain, &members, host)).collect();
    assert_eq!(watchers.len(), STORE_WATCHERS.min(count));
    let mut told: BTreeSet<HostName> = watchers.into_iter().cloned().collect();
    for _ in 0..notice_rounds(count) {
        let next: Vec<_> =
            told.iter().flat_map(|host| notice_targets(&domain, &members, host)).collect();
        told.extend(next);
    }
    assert_eq!(told.len(), count);
}
