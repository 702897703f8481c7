//! Unit tests of claims. The randomised runs of `yuccanotch-check` test several hosts together.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::encoding::encode_segment;
use super::encoding::SegmentRef;
use super::record::MAX_KEPT_BODY_BYTES;
use super::rules::next_record;
use super::*;
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::ids::KeyVersion;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::reason::RefusalReason;
use crate::store::StoreError;
use crate::store::Versioned;

const NOW: Millis = Millis(1_000);

fn holder(host: &str) -> Holder {
    Holder { host: HostName::new(host), incarnation: Incarnation(7) }
}

fn op(nonce: u64, kind: OpKind) -> Op {
    let holder = holder("entry-0");
    Op { key: ClaimKey(5), digest: RequestDigest(9), holder, nonce: Nonce(nonce), kind }
}

fn refuse() -> OpKind {
    OpKind::Refuse { reason: RefusalReason::NoServer }
}

fn answered(text: &str) -> ClaimState {
    let body = text.as_bytes().to_vec();
    ClaimState::answered(StoredAnswer { status: 200, content_type: "text/plain".into(), body })
}

fn finish(text: &str) -> OpKind {
    OpKind::Finish { state: answered(text) }
}

fn record(state: ClaimState) -> Record {
    Record {
        state,
        ..next_record(None, &op(1, OpKind::Claim), NOW)
            .expect("a claim of a key without a record writes one")
    }
}

#[yare::parameterized(
    second_claim = { ClaimState::Claimed, op(2, OpKind::Claim) },
    own_claim_again = { ClaimState::Claimed, op(1, OpKind::Claim) },
    refusal_of_another_claim = { ClaimState::Claimed, op(2, refuse()) },
    end_of_another_claim = { ClaimState::Claimed, op(2, finish("a")) },
    reclaim_of_a_third_claim = { ClaimState::Claimed, op(2, OpKind::Reclaim { abandoned: Nonce(3) }) },
    refusal_after_the_answer = { answered("a"), op(1, refuse()) },
    another_answer = { answered("a"), op(1, finish("b")) },
    claim_of_a_tombstone = { ClaimState::Tombstone(RefusalReason::NoServer), op(2, OpKind::Claim) },
    answer_after_a_tombstone = { ClaimState::Tombstone(RefusalReason::NoServer), op(1, finish("a")) },
    other_body = { ClaimState::Claimed, Op { digest: RequestDigest(8), ..op(1, finish("a")) } },
    same_nonce_of_another_host = {
        ClaimState::Claimed, Op { holder: holder("entry-1"), ..op(1, finish("a")) }
    },
)]
fn an_operation_that_may_not_apply_leaves_the_record(state: ClaimState, op: Op) {
    assert_eq!(next_record(Some(&record(state)), &op, NOW), None);
}

#[yare::parameterized(
    own_refusal = { ClaimState::Claimed, op(1, refuse()), ClaimState::Tombstone(RefusalReason::NoServer) },
    own_answer = { ClaimState::Claimed, op(1, finish("a")), answered("a") },
    late_answer = { ClaimState::Unknown, op(1, finish("a")), answered("a") },
    reclaim = { ClaimState::Claimed, op(2, OpKind::Reclaim { abandoned: Nonce(1) }), ClaimState::Claimed },
    holder_gone = { ClaimState::Claimed, op(2, OpKind::MarkUnknown { held: Nonce(1) }), ClaimState::Unknown },
)]
fn an_operation_changes_the_record_only_once(state: ClaimState, op: Op, next: ClaimState) {
    let changed = next_record(Some(&record(state)), &op, NOW)
        .expect("the operation applies and changes the record");
    assert_eq!(changed.state, next);
    assert_eq!(next_record(Some(&changed), &op, NOW), None, "a repeated operation changes nothing");
}

#[test]
fn a_long_answer_is_not_kept() {
    let body = vec![0; MAX_KEPT_BODY_BYTES + 1];
    let answer = StoredAnswer { status: 200, content_type: String::new(), body };
    assert_eq!(ClaimState::answered(answer), ClaimState::AnswerNotKept);
}

#[test]
fn keys_differ_when_the_same_text_is_split_differently() {
    let key = |team: &str, service: &str, key| {
        ClaimKey::new(&TeamName::new(team), &ServiceName::new(service), key)
    };
    assert_ne!(key("a", "bc", "d"), key("ab", "c", "d"));
}

#[test]
fn a_head_survives_its_encoding() {
    let head = SlotHead {
        sequence: 3,
        sealed: vec![SegmentRef { id: 4, newest: NOW }],
        open: vec![record(answered("a")), record(ClaimState::Unknown)],
    };
    assert_eq!(SlotHead::decode(&head.encode()), Ok(head));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(buf: Vec<u8>) {
        let _ = SlotHead::decode(&buf);
        let _ = decode_segment(&buf);
    }

    #[test]
    fn a_cut_segment_is_refused(cut in 1_usize..40) {
        let mut buf = encode_segment(&[record(answered("confirmed"))]);
        buf.truncate(buf.len() - cut);
        prop_assert!(decode_segment(&buf).is_err());
    }
}

#[yare::parameterized(
    no_key = { "order-17" },
    short = { "bound:entry-0:7" },
    leading_zero = { "bound:entry-0:07:0000000000000001" },
    bad_host = { "bound:entry 0:7:0000000000000001" },
)]
fn other_texts_are_rejected_as_bound_keys(text: &str) {
    assert!(text.parse::<BoundKey>().is_err());
}

#[test]
fn bound_key_is_arbitrated_by_its_incarnation_only() {
    let key = BoundKey { arbiter: holder("entry-0"), serial: 1 };
    assert_eq!(key.to_string().parse(), Ok(key));
    let mut table = BoundTable::new(Incarnation(7), 1);
    let claim = op(1, OpKind::Claim);
    assert_eq!(table.commit(Incarnation(6), &claim, NOW), OpReply::ArbiterGone);
    assert!(matches!(table.commit(Incarnation(7), &claim, NOW), OpReply::Recorded { .. }));
    let second = Op { key: ClaimKey(6), ..claim };
    assert_eq!(table.commit(Incarnation(7), &second, NOW), OpReply::Unavailable);
}

struct WriterFixture {
    writer: SlotWriter,
    budget: WriteBudget,
    rng: Pcg64Mcg,
}

impl WriterFixture {
    fn new() -> Self {
        let mut fixture = Self {
            writer: SlotWriter::new(SlotId(0), SlotSettings::default()),
            budget: WriteBudget::new(100, 10),
            rng: Pcg64Mcg::seed_from_u64(1),
        };
        fixture.submit(1, op(1, OpKind::Claim));
        assert!(matches!(fixture.poll(), (_, Some(StoreCall::Get { .. }))));
        fixture.writer.on_store(NOW, StoreAnswer::Got(Ok(None)));
        fixture
    }

    fn submit(&mut self, ticket: u64, op: Op) {
        self.writer.submit(NOW, Ticket(ticket), 0, op).expect("the queue has room");
    }

    fn poll(&mut self) -> (Replies, Option<StoreCall>) {
        self.writer.poll(NOW, NOW, &mut self.budget, &mut self.rng)
    }
}

#[test]
fn operations_that_wait_share_one_swap() {
    let mut fixture = WriterFixture::new();
    for key in 2..=5 {
        fixture.submit(key, Op { key: ClaimKey(key.into()), ..op(key, OpKind::Claim) });
    }
    assert!(
        matches!(fixture.poll(), (replies, Some(StoreCall::Swap { .. })) if replies.is_empty())
    );
    let replies = fixture.writer.on_store(NOW, StoreAnswer::Swapped(Ok(KeyVersion(1))));
    assert_eq!(replies.len(), 5);
    assert_eq!(fixture.writer.counts().swaps, 1);
}

#[test]
fn a_swap_whose_answer_was_lost_is_not_written_again() {
    let mut fixture = WriterFixture::new();
    let Some(StoreCall::Swap { value, .. }) = fixture.poll().1 else {
        panic!("the writer does not swap the head");
    };
    let lost = StoreAnswer::Swapped(Err(StoreError::AnswerLost));
    assert!(fixture.writer.on_store(NOW, lost).is_empty());
    assert!(matches!(fixture.poll(), (_, Some(StoreCall::Get { .. }))));
    let found = Versioned { version: KeyVersion(1), value };
    fixture.writer.on_store(NOW, StoreAnswer::Got(Ok(Some(found))));
    let (replies, call) = fixture.poll();
    assert_eq!(call, None, "the writer writes the batch again although it took effect");
    assert!(matches!(&replies[0].1, OpReply::Recorded { record, .. } if record.nonce == Nonce(1)));
}

#[test]
fn a_malformed_head_is_never_overwritten() {
    let mut fixture = WriterFixture::new();
    fixture.poll();
    fixture.writer.on_store(NOW, StoreAnswer::Swapped(Err(StoreError::Conflict(KeyVersion(9)))));
    fixture.poll();
    let found = Versioned { version: KeyVersion(9), value: vec![0xff; 8] };
    let replies = fixture.writer.on_store(NOW, StoreAnswer::Got(Ok(Some(found))));
    assert_eq!(replies[0].1, OpReply::Unavailable);
    assert_eq!(fixture.writer.counts().damaged, 1);
    assert_eq!(fixture.poll().1, None);
}

#[test]
fn a_new_writer_reports_an_older_copy_of_the_slot_as_restored() {
    let mut fixture = WriterFixture::new();
    fixture.writer.submit(NOW, Ticket(2), 40, op(2, OpKind::Claim)).expect("the queue has room");
    assert!(matches!(fixture.poll(), (_, Some(StoreCall::Get { .. }))));
    fixture.writer.on_store(NOW, StoreAnswer::Got(Ok(None)));
    let (replies, _) = fixture.poll();
    assert_eq!(replies[..], [(Ticket(2), OpReply::Restored)]);
}
