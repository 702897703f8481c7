//! Datagrams that hosts of the landed releases send are read by this one, and the other way round.
//!
//! The files in `recorded` were written by the code of the commit in their names.

use std::net::SocketAddrV4;

use proptest::prelude::*;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::limits::LimitRow;
use yuccanotch_core::limits::LimitRows;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::messages::Content;
use yuccanotch_core::peering::messages::DomainRow;
use yuccanotch_core::peering::messages::IncludedReport;
use yuccanotch_core::peering::messages::Message;
use yuccanotch_core::peering::messages::Peer;
use yuccanotch_core::peering::messages::Status;
use yuccanotch_core::peering::messages::StoreContact;
use yuccanotch_core::peering::messages::Surroundings;
use yuccanotch_core::peering::observations::LeavingRow;
use yuccanotch_core::peering::observations::LoadRow;
use yuccanotch_core::peering::observations::Observations;
use yuccanotch_core::peering::observations::PrefillRow;
use yuccanotch_core::peering::observations::SlowRow;
use yuccanotch_core::peering::observations::SuspectRow;
use yuccanotch_core::peering::observations::MAX_PREFILL_ROWS;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::CrashReport;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::reachability::HeardRow;
use yuccanotch_core::reachability::HostRow;
use yuccanotch_core::reachability::ReachRows;
use yuccanotch_core::share::MilliRate;
use yuccanotch_gateway::datagram::Datagram;
use yuccanotch_gateway::datagram::MAX_DATAGRAM_BYTES;

/// The most bytes that two lists of rows of pending prefill take in a datagram: 5 for the hash and 3
/// for the tokens of each.
const MAX_PREFILL_BYTES: usize = 2 * MAX_PREFILL_ROWS * 8;

fn peer(number: u8) -> Peer {
    Peer {
        host: HostName::new(&format!("host-{number}")),
        domain: DomainName::new("north"),
        gossip: SocketAddrV4::new([127, 0, 0, number].into(), 4_003),
        control: SocketAddrV4::new([127, 0, 0, number].into(), 4_002),
        link_mbps: 1_000,
    }
}

fn observations() -> Observations {
    Observations {
        loads: vec![LoadRow { server: 7, active: 300, first: 2, kilo_token_layers: 70_000 }],
        suspects: vec![SuspectRow { server: 8, ms: 1_500 }],
        slow: vec![SlowRow { server: 9, tenths: 25 }],
        leaving: vec![LeavingRow { server: 10, born: Some(1_764_800_000_000) }],
        prefill: Vec::new(),
    }
}

/// Adds rows of pending prefill to all observations of `message`.
fn with_prefill(mut message: Message) -> Message {
    let rows = |first| (first..first + 3).map(|i| PrefillRow::new(i, 40_000)).collect();
    match &mut message.content {
        Content::Join | Content::Peers(_) => {}
        Content::Report { observations, .. } | Content::Summary { observations, .. } => {
            observations.prefill = rows(20);
        }
        Content::Digest { observations, surroundings, .. } => {
            observations.prefill = rows(20);
            if let Some(surroundings) = surroundings {
                surroundings.observations.prefill = rows(30);
            }
        }
    }
    message
}

fn row() -> DomainRow {
    DomainRow {
        domain: DomainName::new("south"),
        hosts: 25,
        has_issuer: true,
        aggregators: vec![peer(3), peer(4)],
    }
}

fn notices() -> Vec<CrashNotice> {
    let crash = CrashId { server: ServerName::new("m-1"), boot: 5 };
    let report = CrashReport { crash, age: Millis(250), ran_for: Millis(90) };
    [Fingerprint::Request(1, 2), Fingerprint::PromptPart(3, u64::MAX)]
        .into_iter()
        .map(|fingerprint| CrashNotice {
            fingerprint,
            crashes: SmallVec::from_iter([report.clone()]),
            success_age: Some(Millis(40)),
            stands_out: true,
        })
        .collect()
}

/// Returns one message of each kind, with rows.
fn messages() -> Vec<(Message, ReachRows)> {
    let surroundings = Surroundings {
        candidates: vec![peer(2)],
        has_issuer: false,
        domains: vec![row()],
        observations: observations(),
    };
    let included = vec![IncludedReport { host: 11, sequence: 12 }];
    let contents = [
        Content::Join,
        Content::Peers(vec![peer(1), peer(2)]),
        Content::Report { sequence: 5, wants_every_round: true, observations: observations() },
        Content::Digest {
            included,
            observations: observations(),
            surroundings: Some(surroundings),
        },
        Content::Summary { row: row(), observations: observations() },
    ];
    let from = Status {
        peer: peer(1),
        incarnation: u64::MAX - 1,
        is_stopping: false,
        is_issuer: true,
        reads_store: true,
        revision: 1 << 41,
    };
    let rows = ReachRows {
        heard: vec![HeardRow { server: 7, age_ms: 300 }],
        hosts: vec![HostRow {
            relay: SocketAddrV4::new([127, 0, 0, 1].into(), 4_004),
            domain: 13,
            reaches: true,
            age_ms: 20,
        }],
    };
    let message = |content| Message { from: from.clone(), content, notices: notices() };
    contents.into_iter().map(|content| (message(content), rows.clone())).collect()
}

/// The datagrams of the landed release d761cae, in the order of [`messages`].
const RECORDED: [&[u8]; 5] = [
    include_bytes!("recorded/d761cae-join.bin"),
    include_bytes!("recorded/d761cae-peers.bin"),
    include_bytes!("recorded/d761cae-report.bin"),
    include_bytes!("recorded/d761cae-digest.bin"),
    include_bytes!("recorded/d761cae-summary.bin"),
];

/// The datagrams of the landed release ec617e4, in the order of [`messages`].
const RECORDED_WITH_LIMITS: [&[u8]; 5] = [
    include_bytes!("recorded/ec617e4-join.bin"),
    include_bytes!("recorded/ec617e4-peers.bin"),
    include_bytes!("recorded/ec617e4-report.bin"),
    include_bytes!("recorded/ec617e4-digest.bin"),
    include_bytes!("recorded/ec617e4-summary.bin"),
];

/// The datagrams of the landed release 763fb2d, in the order of [`messages`].
const RECORDED_WITH_STORE: [&[u8]; 5] = [
    include_bytes!("recorded/763fb2d-join.bin"),
    include_bytes!("recorded/763fb2d-peers.bin"),
    include_bytes!("recorded/763fb2d-report.bin"),
    include_bytes!("recorded/763fb2d-digest.bin"),
    include_bytes!("recorded/763fb2d-summary.bin"),
];

fn limits() -> LimitRows {
    let row = |server, rate| LimitRow { server, boot: 3, rate, age_ms: 70_000 };
    LimitRows { servers: vec![row(7, Some(MilliRate(3_500))), row(8, None)] }
}

fn store() -> StoreContact {
    StoreContact { own_age_ms: Some(333), other_age_ms: Some(70_000) }
}

/// Guards against a change that hosts of this release cannot read from the landed ones.
#[test]
fn datagrams_of_the_landed_releases_are_read() {
    for ((message, reach), recorded) in messages().into_iter().zip(RECORDED) {
        let (limits, store) = Default::default();
        let expected = Datagram { message, reach, limits, store };
        assert_eq!(Datagram::decode(recorded), Some(expected));
    }
    for ((message, reach), recorded) in messages().into_iter().zip(RECORDED_WITH_LIMITS) {
        let store = StoreContact::default();
        let expected = Datagram { message, reach, limits: limits(), store };
        assert_eq!(Datagram::decode(recorded), Some(expected));
    }
    for ((message, reach), recorded) in messages().into_iter().zip(RECORDED_WITH_STORE) {
        let expected = Datagram { message, reach, limits: limits(), store: store() };
        assert_eq!(Datagram::decode(recorded), Some(expected));
    }
}

/// Guards against a change that hosts of the landed release cannot read from this one: they read as far
/// as they know.
#[test]
fn datagrams_begin_with_what_the_landed_release_reads() {
    let recorded = RECORDED.into_iter().zip(RECORDED_WITH_LIMITS).zip(RECORDED_WITH_STORE);
    for ((message, reach), ((recorded, with_limits), with_store)) in
        messages().into_iter().zip(recorded)
    {
        let message = with_prefill(message);
        let buf =
            Datagram { message, reach, limits: limits(), store: store() }.encode().expect("bytes");
        assert_eq!(&buf[..recorded.len()], recorded);
        assert_eq!(&buf[..with_limits.len()], with_limits);
        assert_eq!(&buf[..with_store.len()], with_store);
    }
}

/// Guards against a part that hosts of 763fb2d cannot leave unread: they decode four parts, one after
/// the other, and hear of no pending prefill.
#[test]
fn the_landed_release_reads_datagrams_with_pending_prefill() {
    for (message, reach) in messages() {
        let sent = with_prefill(message.clone());
        let datagram =
            Datagram { message: sent, reach: reach.clone(), limits: limits(), store: store() };
        let buf = datagram.encode().expect("bytes");
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        let landed: (Message, ReachRows, LimitRows, StoreContact) =
            bincode::serde::decode_from_slice(&buf, config).expect("the landed parts").0;
        assert_eq!(landed, (message, reach, limits(), store()));
    }
}

/// Guards against a message that is lost with the part behind it: where a datagram ends too early, no
/// row of pending prefill is read, and all else is.
#[test]
fn a_datagram_that_is_cut_in_the_pending_prefill_is_read_without_it() {
    for ((message, reach), landed) in messages().into_iter().zip(RECORDED_WITH_STORE) {
        let sent = with_prefill(message.clone());
        let datagram =
            Datagram { message: sent, reach: reach.clone(), limits: limits(), store: store() };
        let buf = datagram.encode().expect("bytes");
        let expected = Datagram { message, reach, limits: limits(), store: store() };
        for end in landed.len()..buf.len() {
            assert_eq!(Datagram::decode(&buf[..end]).as_ref(), Some(&expected), "{end} bytes");
        }
    }
}

/// Guards against rows that do not fit: those of 200 servers in a digest with its surroundings.
#[test]
fn the_rows_of_pending_prefill_have_a_bounded_size() {
    let rows = || -> Vec<PrefillRow> {
        (0..MAX_PREFILL_ROWS as u32).map(|i| PrefillRow::new(u32::MAX - i, u64::MAX)).collect()
    };
    let (message, reach) = messages().into_iter().nth(3).expect("a digest");
    let encoded_len = |message: Message| {
        let reach = reach.clone();
        Datagram { message, reach, limits: limits(), store: store() }.encode().expect("bytes").len()
    };
    let without = encoded_len(message.clone());
    let mut message = message;
    if let Content::Digest { observations, surroundings: Some(surroundings), .. } =
        &mut message.content
    {
        observations.prefill = rows();
        surroundings.observations.prefill = rows();
    }
    let with = encoded_len(message);
    assert!(with - without <= MAX_PREFILL_BYTES, "{} bytes of rows", with - without);
}

#[test]
fn datagrams_are_read_as_they_were_sent() {
    for (message, reach) in messages() {
        let message = with_prefill(message);
        let datagram = Datagram { message, reach, limits: limits(), store: store() };
        let mut buf = datagram.encode().expect("bytes");
        assert_eq!(Datagram::decode(&buf).as_ref(), Some(&datagram));
        // What a later release adds behind changes nothing.
        buf.extend([1, 2, 3]);
        assert_eq!(Datagram::decode(&buf), Some(datagram));
    }
}

proptest! {
    /// Guards against bytes that stop a host: cut, flipped or lengthened datagrams.
    #[test]
    fn damaged_datagrams_are_read_or_dropped(
        number in 0..RECORDED.len(),
        cut in 0..300_usize,
        flips in prop::collection::vec((0..300_usize, any::<u8>()), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut buf = RECORDED[number].to_vec();
        for (at, value) in flips {
            if let Some(byte) = buf.get_mut(at) {
                *byte ^= value;
            }
        }
        buf.truncate(buf.len().saturating_sub(cut));
        buf.extend(tail);
        if let Some(datagram) = Datagram::decode(&buf) {
            prop_assert!(datagram.message.notices.len() <= MAX_DATAGRAM_BYTES);
        }
    }
}
