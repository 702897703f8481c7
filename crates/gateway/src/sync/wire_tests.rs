//! Tests of the formats of answers with changes.

use bytes::Bytes;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::item_log::Changes;
use yuccanotch_core::forward::item_log::ItemChange;

use crate::sync::wire::PackedValues;
use crate::sync::wire::SharedChanges;
use crate::sync::wire::MAX_CHANGES_BYTES;

/// An answer in the plain format, as 21ea23e sends and reads it.
const PLAIN_ANSWER: &[u8] =
    b"\x00\x09\x03\x0dconfiguration\x07\x01\x03abc\x05small\x08\x01\x05value\x07removed\x09\x00\xfa";

fn changes(value: Vec<u8>) -> SharedChanges {
    let item = |key: &str, revision, value: Option<Bytes>| ItemChange {
        key: key.to_owned(),
        revision,
        value,
    };
    let items = vec![
        item("configuration", 7, Some(value.into())),
        item("small", 8, Some(Bytes::from_static(b"value"))),
        item("removed", 9, None),
    ];
    let changes = Changes { is_complete: false, revision: 9, items };
    SharedChanges { changes, removal_delay: Millis(250) }
}

#[test]
fn both_formats_return_what_was_encoded() {
    let kept = PackedValues::default();
    let sent = changes(b"route ".repeat(50_000));
    let packed = sent.clone().encode_packed(&kept);
    assert!(packed.len() < 10_000, "{} bytes", packed.len());
    assert_eq!(SharedChanges::decode_packed(&packed, &kept), Some(sent.clone()));
    let plain = sent.clone().encode_plain();
    assert_eq!(SharedChanges::decode_plain(&plain), Some(sent));
}

#[test]
fn a_compressed_value_is_kept_until_a_newer_one_replaces_it() {
    let (sender, receiver) = (PackedValues::default(), PackedValues::default());
    let mut sent = changes(b"route ".repeat(50_000));
    let packed = sent.clone().encode_packed(&sender);
    SharedChanges::decode_packed(&packed, &receiver).expect("the answer can be read");
    assert_eq!(sent.clone().encode_packed(&receiver), packed);
    sent.changes.items[0].revision = 10;
    sent.changes.items[0].value = Some(b"other ".repeat(50_000).into());
    let packed = sent.clone().encode_packed(&receiver);
    assert_eq!(SharedChanges::decode_packed(&packed, &sender), Some(sent));
    assert_eq!(receiver.len(), 1);
}

#[test]
fn values_that_are_too_large_together_are_refused() {
    let kept = PackedValues::default();
    let packed = changes(vec![0; MAX_CHANGES_BYTES]).encode_packed(&kept);
    assert!(packed.len() < MAX_CHANGES_BYTES / 100);
    assert_eq!(SharedChanges::decode_packed(&packed, &kept), None);
}

#[test]
fn bytes_that_are_no_answer_are_refused() {
    let kept = PackedValues::default();
    let packed = changes(b"route ".repeat(50_000)).encode_packed(&kept);
    for len in [0, 1, packed.len() / 2, packed.len() - 1] {
        assert_eq!(SharedChanges::decode_packed(&packed[..len], &kept), None, "{len} bytes");
    }
}

// The landed releases read this format and no other.
#[test]
fn the_plain_format_does_not_change() {
    let encoded = changes(b"abc".to_vec()).encode_plain();
    assert_eq!(encoded.as_ref(), PLAIN_ANSWER);
}
