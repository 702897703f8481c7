//! Tests of declaration checks, chunks and publications.

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

/// A store in memory that counts writes and can lose the answer to one write of the manifest.
#[derive(Clone, Default)]
struct MemoryStore {
    keys: BTreeMap<String, Versioned>,
    /// Number of successful writes.
    writes: usize,
    lose_answer: Cell<Option<LostAnswer>>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum LostAnswer {
    /// The write does not take effect.
    BeforeEffect,
    /// The write takes effect.
    AfterEffect,
}

impl MemoryStore {
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
        let lost = if key == MANIFEST_KEY { self.lose_answer.take() } else { None };
        if matches!(lost, Some(LostAnswer::BeforeEffect)) {
            return StoreAnswer::Failed(StoreError::AnswerLost);
        }
        let current = self.keys.get(key).map_or(KeyVersion(0), |value| value.version);
        if current != expect {
            return StoreAnswer::Failed(StoreError::Conflict(current));
        }
        let version = current.next();
        self.keys.insert(key.to_owned(), Versioned { version, value: value.to_vec() });
        self.writes += 1;
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

    fn publish_first(&mut self, value: Value) -> PublishOutcome {
        let document = Document::try_from(value).unwrap();
        self.run(Publisher::new(PatchId(1), ConfigChange::First(document)))
    }

    fn publish_patch(&mut self, id: u64, base: u64, patch: Value) -> PublishOutcome {
        let change = ConfigChange::Patch { base: ConfigNumber(base), patch };
        self.run(Publisher::new(PatchId(id), change))
    }

    fn read(&mut self) -> StoredConfig {
        self.run(Reader::new(Chunks::new())).unwrap().unwrap()
    }
}

fn pointers(findings: &[Finding]) -> Vec<&str> {
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
        pointers(&findings),
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
fn reports_type_errors_with_their_json_pointers() {
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
        pointers(&findings),
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
fn reports_a_duplicate_key_and_a_duplicate_address() {
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
    assert_eq!(pointers(&findings), ["/servers/t/address", "/teams/b/keys/0"]);
}

#[parameterized(
    not_json = { b"{" },
    not_an_object = { b"[]" },
    section_not_an_object = { br#"{"teams": []}"# },
)]
fn rejects_text_that_is_not_an_object_of_objects(text: &[u8]) {
    assert_eq!(parse(text).unwrap_err().len(), 1);
}

#[test]
fn stores_38000_teams_in_small_values_and_rewrites_one_chunk_per_patch() {
    const MAX_BYTES: usize = 64 * 1024;
    let mut store = MemoryStore::default();
    assert_eq!(store.publish_first(teams(38_000)), accepted(1));
    assert!(store.keys.values().all(|value| value.value.len() < MAX_BYTES));

    store.writes = 0;
    let patch = json!({"teams": {"team-00042": {"weight": 7}}});
    assert_eq!(store.publish_patch(2, 1, patch), accepted(2));
    assert_eq!(store.writes, 2, "one chunk and the manifest");

    let stored = store.read();
    let active = ActiveConfig::new(stored.manifest, stored.chunks).unwrap();
    let (name, team) = active.team_by_key(&key_digest(42)).unwrap();
    assert_eq!((name.as_str(), team.weight), ("team-00042", 7));
    assert_eq!(active.team(&TeamName::new("team-37999")).unwrap().weight, 1);
    assert!(active.team_by_key(&key_digest(38_000)).is_none());
    assert!(active.team(&TeamName::new("team-38000")).is_none());
}

#[test]
fn accepts_a_patch_once_and_rejects_a_stale_base_with_the_current_number() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let add = json!({"domains": {"abdali": {"region": "amman"}}});
    assert_eq!(store.publish_patch(2, 1, add.clone()), accepted(2));
    assert_eq!(store.publish_patch(2, 1, add), accepted(2), "the same patch again");
    assert_eq!(store.publish_patch(3, 1, json!({"domains": {"marka": null}})), stale(2));
    assert_eq!(store.read().document().unwrap().sections()["domains"].len(), 3);
}

#[test]
fn writes_nothing_for_a_patch_that_is_invalid_or_without_effect() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let before = store.writes;
    let PublishOutcome::Invalid(findings) =
        store.publish_patch(2, 1, json!({"domains": {"Marka!": {}}, "teams": {"a": {"keys": []}}}))
    else {
        panic!("the invalid patch was not rejected");
    };
    assert_eq!(pointers(&findings), ["/domains/Marka!", "/teams/a/keys"]);
    let no_op = json!({"domains": {"sahab": {"region": "amman"}}});
    assert_eq!(store.publish_patch(3, 1, no_op), PublishOutcome::Unchanged(ConfigNumber(1)));
    assert_eq!(store.writes, before);
}

#[parameterized(
    before_effect = { LostAnswer::BeforeEffect },
    after_effect = { LostAnswer::AfterEffect },
)]
fn resolves_a_lost_answer_by_the_patch_id(lost: LostAnswer) {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    store.lose_answer.set(Some(lost));
    assert_eq!(store.publish_patch(2, 1, json!({"domains": {"marka": null}})), accepted(2));
    assert_eq!(store.read().manifest.number, ConfigNumber(2));
}

#[parameterized(
    before_effect = { LostAnswer::BeforeEffect, stale(2) },
    after_effect = { LostAnswer::AfterEffect, accepted(2) },
)]
fn resolves_a_lost_answer_after_another_patch_was_accepted(
    lost: LostAnswer,
    resumed_outcome: PublishOutcome,
) {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    store.lose_answer.set(Some(lost));
    let patch = json!({"domains": {"marka": null}});
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
    let mut publisher = Publisher::new(PatchId(2), change);
    let mut answer = None;
    let outcome = loop {
        match publisher.next(answer.take()) {
            Step::Call { call, .. } => answer = Some(store.answer(&call)),
            Step::Done(outcome) => break outcome,
        }
        if answer == Some(StoreAnswer::Failed(StoreError::AnswerLost)) {
            let base = store.read().manifest.number.0;
            let other = json!({"domains": {"abdali": {"region": "amman"}}});
            assert_eq!(store.publish_patch(3, base, other), accepted(base + 1));
        }
    };
    // The store may have been restored from a copy without this patch before the other patch was
    // accepted.
    let first_outcome =
        if lost == LostAnswer::AfterEffect { accepted(2) } else { PublishOutcome::Unknown };
    assert_eq!(outcome, first_outcome);
    let patch = json!({"domains": {"marka": null}});
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
    assert_eq!(store.run(Publisher::resumed(PatchId(2), change)), resumed_outcome);
}

#[test]
fn rejects_patches_while_the_store_is_behind_and_recovers_above_all_numbers() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let old = store.clone();
    store.publish_patch(2, 1, json!({"domains": {"marka": null}}));
    let held = store.read().document().unwrap();
    let mut store = old;
    let mut stored = store.read();
    stored.manifest.floor = Some(BehindMark { number: ConfigNumber(2), host: "entry-1".into() });
    store.swap(MANIFEST_KEY, stored.version, &stored.manifest.encode());
    assert_eq!(
        store.publish_patch(3, 1, json!({"domains": {"sahab": null}})),
        PublishOutcome::Behind { store: ConfigNumber(1), hosts: ConfigNumber(2) }
    );
    let recovery = ConfigChange::Recovery { highest: ConfigNumber(2), document: held.clone() };
    assert_eq!(store.run(Publisher::new(PatchId(4), recovery)), accepted(1_000_000));
    assert_eq!(store.read().document().unwrap(), held);
    let next = json!({"domains": {"abdali": {"region": "amman"}}});
    assert_eq!(store.publish_patch(5, 1_000_000, next), accepted(1_000_001));
}

#[test]
fn reads_the_new_manifest_when_a_chunk_of_the_old_one_was_deleted() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let mut reader = Reader::new(Chunks::new());
    let Step::Call { call, .. } = reader.next(None) else { panic!("no call") };
    let manifest = store.answer(&call);
    store.publish_patch(2, 1, json!({"domains": {"marka": null}}));
    let old: Vec<String> = store.keys.keys().filter(|key| key.contains("/1-")).cloned().collect();
    store.keys.retain(|key, _| !old.contains(key));
    let mut answer = Some(manifest);
    let stored = loop {
        match reader.next(answer.take()) {
            Step::Call { call, .. } => answer = Some(store.answer(&call)),
            Step::Done(read) => break read.unwrap().unwrap(),
        }
    };
    assert_eq!(stored.manifest.number, ConfigNumber(2));
}

#[test]
fn rejects_a_chunk_whose_bytes_do_not_match_its_digest() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let stored = store.read();
    let (_, chunk) = stored.manifest.chunks().next().unwrap();
    let mut chunks = stored.chunks.clone();
    chunks.insert(chunk.digest, Arc::from(&b"{}"[..]));
    assert!(ActiveConfig::new(stored.manifest.clone(), chunks).is_err());
    store.keys.get_mut(&chunk.key()).unwrap().value = b"{}".to_vec();
    assert!(store.run(Reader::new(Chunks::new())).is_err());
}

#[test]
fn deletes_only_chunks_that_no_manifest_can_refer_to() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let orphan = ChunkRef {
        number: ConfigNumber(2),
        patch: PatchId(9),
        digest: Digest::of(b"a patch that lost"),
    };
    let pending = ChunkRef { number: ConfigNumber(3), ..orphan };
    for chunk in [orphan, pending] {
        store.swap(&chunk.key(), KeyVersion(0), b"{}");
    }
    store.publish_patch(2, 1, json!({"domains": {"marka": null}}));
    assert_eq!(store.run(ChunkCollector::new()), 2, "the chunk of number 1 and the orphan");
    assert!(store.keys.contains_key(&pending.key()));
    assert_eq!(store.read().manifest.number, ConfigNumber(2));
}

#[test]
fn marks_a_store_that_is_behind_only_once() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let mark = BehindMark { number: ConfigNumber(7), host: "entry-1".into() };
    let before = store.writes;
    assert!(store.run(BehindMarkWriter::new(mark.clone())));
    assert!(store.run(BehindMarkWriter::new(mark)));
    assert_eq!(store.writes, before + 1);
    assert_eq!(store.read().manifest.newer_host_number(), Some(ConfigNumber(7)));
}

#[test]
fn decodes_the_manifest_that_it_encoded() {
    let mut store = MemoryStore::default();
    store.publish_first(two_domains());
    let manifest = store.read().manifest;
    assert_eq!(Manifest::decode(&manifest.encode()).unwrap(), manifest);
    assert!(Manifest::decode(b"{}").is_err());
}
