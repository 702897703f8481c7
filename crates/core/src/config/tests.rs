//! Tests of declarations, chunks and patches.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::json;
use serde_json::Value;
use yare::parameterized;

use crate::config::behind_mark::BehindMarkWriter;
use crate::config::chunk_gc::ChunkCollector;
use crate::config::document::Document;
use crate::config::manifest::BehindMark;
use crate::config::manifest::ChunkRef;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::parse;
use crate::config::publisher::ConfigChange;
use crate::config::publisher::PublishOutcome;
use crate::config::publisher::Publisher;
use crate::config::reader::Chunks;
use crate::config::reader::Reader;
use crate::config::reader::StoredConfig;
use crate::config::store_call::Procedure;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::config::ActiveConfig;
use crate::digest::Digest;
use crate::finding::Finding;
use crate::ids::ConfigNumber;
use crate::ids::KeyVersion;
use crate::name::TeamName;
use crate::store::StoreError;
use crate::store::Versioned;

/// A store in memory that counts calls and can lose the answer of one write.
#[derive(Clone, Default)]
struct Shelf {
    keys: BTreeMap<String, Versioned>,
    written: usize,
    lose: Cell<Option<Lost>>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Lost {
    BeforeEffect,
    AfterEffect,
}

impl Shelf {
    fn answer(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get(key) => StoreAnswer::Value(self.keys.get(key).cloned()),
            StoreCall::Swap { key, expect, value } => self.swap(key, *expect, value),
            StoreCall::Delete { key, .. } => {
                self.keys.remove(key);
                StoreAnswer::Deleted
            }
            StoreCall::List(prefix) => {
                let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
                StoreAnswer::Keys(keys.map(|(key, v)| (key.clone(), v.version)).collect())
            }
        }
    }

    fn swap(&mut self, key: &str, expect: KeyVersion, value: &[u8]) -> StoreAnswer {
        let lost = if key == MANIFEST_KEY { self.lose.take() } else { None };
        if matches!(lost, Some(Lost::BeforeEffect)) {
            return StoreAnswer::Failed(StoreError::AnswerLost);
        }
        let current = self.keys.get(key).map_or(KeyVersion(0), |value| value.version);
        if current != expect {
            return StoreAnswer::Failed(StoreError::Conflict(current));
        }
        let version = current.next();
        self.keys.insert(key.to_owned(), Versioned { version, value: value.to_vec() });
        self.written += 1;
        match lost {
            Some(_) => StoreAnswer::Failed(StoreError::AnswerLost),
            None => StoreAnswer::Written(version),
        }
    }

    fn run<P: Procedure>(&mut self, mut procedure: P) -> P::Outcome {
        let mut answer = None;
        loop {
            match procedure.next(answer.take()) {
                Step::Call { call, .. } => answer = Some(self.answer(&call)),
                Step::Done(outcome) => return outcome,
            }
        }
    }

    fn first(&mut self, value: Value) -> PublishOutcome {
        let document = Document::try_from(value).unwrap();
        self.run(Publisher::new(PatchId(1), ConfigChange::First(document)))
    }

    fn patch(&mut self, id: u64, base: u64, patch: Value) -> PublishOutcome {
        let change = ConfigChange::Patch { base: ConfigNumber(base), patch };
        self.run(Publisher::new(PatchId(id), change))
    }

    fn read(&mut self) -> StoredConfig {
        self.run(Reader::new(Chunks::new())).unwrap().unwrap()
    }
}

fn places(findings: &[Finding]) -> Vec<&str> {
    findings.iter().map(|finding| finding.pointer.as_str()).collect()
}

fn key_digest(team: usize) -> Digest {
    Digest::of(format!("key-{team}").as_bytes())
}

fn teams(count: usize) -> Value {
    let team = |i| (format!("team-{i:05}"), json!({"keys": [key_digest(i).to_string()]}));
    json!({"teams": (0..count).map(team).collect::<serde_json::Map<_, _>>()})
}

fn two_domains() -> Value {
    json!({"domains": {"sahab": {"region": "amman"}, "marka": {"region": "amman"}}})
}

fn accepted(number: u64) -> PublishOutcome {
    PublishOutcome::Accepted(ConfigNumber(number))
}

fn stale(current: u64) -> PublishOutcome {
    PublishOutcome::Stale { current: ConfigNumber(current) }
}

#[test]
fn reports_all_findings_together() {
    let text = br#"{
        "domains": {"sahab": {"region": "amman"}},
        "models": {"m": {"layers": 0, "version": "v1", "max_tokens": 0, "deadline_ms": 5}},
        "servers": {"s": {"domain": "none", "address": "x", "use": {"service": "gone"}}}
    }"#;
    let findings = parse(text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "/models/m/layers",
            "/models/m/max_tokens",
            "/servers/s/address",
            "/servers/s/domain",
            "/servers/s/use/service",
        ]
    );
}

#[test]
fn reports_faults_of_types_with_their_places() {
    let text = br#"{
        "teams": {
            "a": {"keys": ["zz"], "weight": "heavy", "priority": "high"},
            "b": {"weight": 1}
        },
        "models": {"m": {"layers": 4, "version": "v1", "max_tokens": 9, "deadline_ms": 5}},
        "servers": {
            "s": {"domain": "none", "address": "127.0.0.1:1", "use": {"engine": {
                "accelerator": "large", "model": "m", "version": "v1",
                "layers": {"first": 0}, "colour": "red"
            }}}
        },
        "extra": {"x": 1}
    }"#;
    let findings = parse(text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "/extra",
            "/servers/s/use/engine/colour",
            "/servers/s/use/engine/layers",
            "/teams/a/keys/0",
            "/teams/a/priority",
            "/teams/a/weight",
            "/teams/b",
        ]
    );
}

#[test]
fn reports_a_key_and_an_address_that_stand_twice() {
    let key = key_digest(0).to_string();
    let text = json!({
        "domains": {"d": {"region": "r"}},
        "services": {"x": {"routes": []}},
        "teams": {"a": {"keys": [key]}, "b": {"keys": [key]}},
        "servers": {
            "s": {"domain": "d", "address": "127.0.0.1:1", "use": {"service": "x"}},
            "t": {"domain": "d", "address": "127.0.0.1:1", "use": {"service": "x"}},
        },
    });
    let findings = parse(text.to_string().as_bytes()).unwrap_err();
    assert_eq!(places(&findings), ["/servers/t/address", "/teams/b/keys/0"]);
}

#[parameterized(
    not_json = { b"{" },
    not_an_object = { b"[]" },
    section_not_an_object = { br#"{"teams": []}"# },
)]
fn refuses_what_is_not_a_document(text: &[u8]) {
    assert_eq!(parse(text).unwrap_err().len(), 1);
}

#[test]
fn keeps_every_value_of_38000_teams_small_and_rewrites_one_chunk() {
    const LARGEST: usize = 64 * 1024;
    let mut shelf = Shelf::default();
    assert_eq!(shelf.first(teams(38_000)), accepted(1));
    assert!(shelf.keys.values().all(|value| value.value.len() < LARGEST));

    shelf.written = 0;
    let patch = json!({"teams": {"team-00042": {"weight": 7}}});
    assert_eq!(shelf.patch(2, 1, patch), accepted(2));
    assert_eq!(shelf.written, 2, "one chunk and the manifest");

    let stored = shelf.read();
    let active = ActiveConfig::new(stored.manifest, stored.chunks).unwrap();
    let (name, team) = active.team_by_key(&key_digest(42)).unwrap();
    assert_eq!((name.as_str(), team.weight), ("team-00042", 7));
    assert_eq!(active.team(&TeamName::new("team-37999")).unwrap().weight, 1);
    assert!(active.team_by_key(&key_digest(38_000)).is_none());
    assert!(active.team(&TeamName::new("team-38000")).is_none());
}

#[test]
fn accepts_a_patch_once_and_refuses_a_stale_base_with_the_current_number() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let add = json!({"domains": {"abdali": {"region": "amman"}}});
    assert_eq!(shelf.patch(2, 1, add.clone()), accepted(2));
    assert_eq!(shelf.patch(2, 1, add), accepted(2), "the same patch again");
    assert_eq!(shelf.patch(3, 1, json!({"domains": {"marka": null}})), stale(2));
    assert_eq!(shelf.read().document().unwrap().sections()["domains"].len(), 3);
}

#[test]
fn writes_nothing_for_a_patch_with_faults_or_without_effect() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let before = shelf.written;
    let PublishOutcome::Invalid(findings) =
        shelf.patch(2, 1, json!({"domains": {"Marka!": {}}, "teams": {"a": {"keys": []}}}))
    else {
        panic!("the patch has faults");
    };
    assert_eq!(places(&findings), ["/domains/Marka!", "/teams/a/keys"]);
    let same = json!({"domains": {"sahab": {"region": "amman"}}});
    assert_eq!(shelf.patch(3, 1, same), PublishOutcome::Unchanged(ConfigNumber(1)));
    assert_eq!(shelf.written, before);
}

#[parameterized(
    before_effect = { Lost::BeforeEffect },
    after_effect = { Lost::AfterEffect },
)]
fn settles_a_lost_answer_by_the_id_of_the_patch(lost: Lost) {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    shelf.lose.set(Some(lost));
    assert_eq!(shelf.patch(2, 1, json!({"domains": {"marka": null}})), accepted(2));
    assert_eq!(shelf.read().manifest.number, ConfigNumber(2));
}

#[parameterized(
    before_effect = { Lost::BeforeEffect, stale(2) },
    after_effect = { Lost::AfterEffect, accepted(2) },
)]
fn settles_a_lost_answer_after_another_patch_followed(lost: Lost, settled: PublishOutcome) {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    shelf.lose.set(Some(lost));
    let patch = json!({"domains": {"marka": null}});
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
    let mut publisher = Publisher::new(PatchId(2), change);
    let mut answer = None;
    let outcome = loop {
        match publisher.next(answer.take()) {
            Step::Call { call, .. } => answer = Some(shelf.answer(&call)),
            Step::Done(outcome) => break outcome,
        }
        if answer == Some(StoreAnswer::Failed(StoreError::AnswerLost)) {
            let base = shelf.read().manifest.number.0;
            let other = json!({"domains": {"abdali": {"region": "amman"}}});
            assert_eq!(shelf.patch(3, base, other), accepted(base + 1));
        }
    };
    // Another patch may have followed in a store that went back to a copy without this one.
    let at_first = if lost == Lost::AfterEffect { accepted(2) } else { PublishOutcome::Unknown };
    assert_eq!(outcome, at_first);
    let patch = json!({"domains": {"marka": null}});
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
    assert_eq!(shelf.run(Publisher::resumed(PatchId(2), change)), settled);
}

#[test]
fn refuses_patches_while_the_store_is_behind_and_recovers_above_all_numbers() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let old = shelf.clone();
    shelf.patch(2, 1, json!({"domains": {"marka": null}}));
    let held = shelf.read().document().unwrap();
    let mut shelf = old;
    let mut stored = shelf.read();
    stored.manifest.floor = Some(BehindMark { number: ConfigNumber(2), host: "entry-1".into() });
    shelf.swap(MANIFEST_KEY, stored.version, &stored.manifest.encode());
    assert_eq!(
        shelf.patch(3, 1, json!({"domains": {"sahab": null}})),
        PublishOutcome::Behind { store: ConfigNumber(1), hosts: ConfigNumber(2) }
    );
    let recovery = ConfigChange::Recovery { highest: ConfigNumber(2), document: held.clone() };
    assert_eq!(shelf.run(Publisher::new(PatchId(4), recovery)), accepted(1_000_000));
    assert_eq!(shelf.read().document().unwrap(), held);
    let next = json!({"domains": {"abdali": {"region": "amman"}}});
    assert_eq!(shelf.patch(5, 1_000_000, next), accepted(1_000_001));
}

#[test]
fn reads_the_new_manifest_when_a_chunk_of_the_old_one_is_gone() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let mut reader = Reader::new(Chunks::new());
    let Step::Call { call, .. } = reader.next(None) else { panic!("no call") };
    let manifest = shelf.answer(&call);
    shelf.patch(2, 1, json!({"domains": {"marka": null}}));
    let old: Vec<String> = shelf.keys.keys().filter(|key| key.contains("/1-")).cloned().collect();
    shelf.keys.retain(|key, _| !old.contains(key));
    let mut answer = Some(manifest);
    let stored = loop {
        match reader.next(answer.take()) {
            Step::Call { call, .. } => answer = Some(shelf.answer(&call)),
            Step::Done(read) => break read.unwrap().unwrap(),
        }
    };
    assert_eq!(stored.manifest.number, ConfigNumber(2));
}

#[test]
fn refuses_a_chunk_with_other_bytes() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let stored = shelf.read();
    let (_, chunk) = stored.manifest.chunks().next().unwrap();
    let mut chunks = stored.chunks.clone();
    chunks.insert(chunk.digest, Arc::from(&b"{}"[..]));
    assert!(ActiveConfig::new(stored.manifest.clone(), chunks).is_err());
    shelf.keys.get_mut(&chunk.key()).unwrap().value = b"{}".to_vec();
    assert!(shelf.run(Reader::new(Chunks::new())).is_err());
}

#[test]
fn deletes_only_chunks_that_nothing_can_refer_to() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let orphan = ChunkRef {
        number: ConfigNumber(2),
        patch: PatchId(9),
        digest: Digest::of(b"a patch that lost"),
    };
    let under_way = ChunkRef { number: ConfigNumber(3), ..orphan };
    for chunk in [orphan, under_way] {
        shelf.swap(&chunk.key(), KeyVersion(0), b"{}");
    }
    shelf.patch(2, 1, json!({"domains": {"marka": null}}));
    assert_eq!(shelf.run(ChunkCollector::new()), 2, "the chunk of number 1 and the orphan");
    assert!(shelf.keys.contains_key(&under_way.key()));
    assert_eq!(shelf.read().manifest.number, ConfigNumber(2));
}

#[test]
fn marks_a_store_that_is_behind_once() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let floor = BehindMark { number: ConfigNumber(7), host: "entry-1".into() };
    let before = shelf.written;
    assert!(shelf.run(BehindMarkWriter::new(floor.clone())));
    assert!(shelf.run(BehindMarkWriter::new(floor)));
    assert_eq!(shelf.written, before + 1);
    assert_eq!(shelf.read().manifest.newer_host_number(), Some(ConfigNumber(7)));
}

#[test]
fn reads_back_the_manifest_that_it_wrote() {
    let mut shelf = Shelf::default();
    shelf.first(two_domains());
    let manifest = shelf.read().manifest;
    assert_eq!(Manifest::decode(&manifest.encode()).unwrap(), manifest);
    assert!(Manifest::decode(b"{}").is_err());
}
