//! Tests of the links over loopback.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::fleet::FleetMessage;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::fleet::Gossip;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::reason::LinkFault;

use crate::peers::auth::Purpose;
use crate::peers::auth::SessionKey;
use crate::peers::wire;
use crate::peers::Cut;
use crate::peers::Direction;
use crate::peers::PeerError;
use crate::peers::PeerHandler;
use crate::peers::PeerKeys;
use crate::peers::PeerSettings;
use crate::peers::Peers;
use crate::peers::Remote;

const OLD_KEY: &[u8] = b"an old key of 16 bytes or more";
const NEW_KEY: &[u8] = b"a new key of 16 bytes or more!";
const CALL_TIMEOUT: Millis = Millis(2_000);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Acknowledges probes and records the headers of requests and replies.
#[derive(Default)]
struct Recorder {
    requests: Mutex<Vec<PeerHeader>>,
    replies: Mutex<Vec<PeerHeader>>,
}

impl PeerHandler for Recorder {
    fn on_request(&self, header: PeerHeader, request: PeerRequest) -> PeerReply {
        self.requests.lock().unwrap().push(header);
        match request {
            PeerRequest::Fleet(FleetMessage::Probe(gossip)) => {
                PeerReply::Fleet(FleetReply::Ack(gossip))
            }
            _ => PeerReply::Declined,
        }
    }

    fn on_reply_header(&self, header: &PeerHeader) {
        self.replies.lock().unwrap().push(header.clone());
    }
}

struct Node {
    peers: Peers,
    recorder: Arc<Recorder>,
}

impl Node {
    fn start(name: &str, keys: &[&[u8]]) -> Self {
        Self::start_at(name, keys, "127.0.0.1:0".parse().unwrap())
    }

    fn start_at(name: &str, keys: &[&[u8]], listen: SocketAddr) -> Self {
        let settings = PeerSettings {
            host: name.into(),
            domain: "sahab".into(),
            incarnation: Incarnation(7),
            listen,
            keys: PeerKeys::new(keys.iter().map(|key| key.to_vec()).collect()).unwrap(),
        };
        let peers = Peers::bind(settings).unwrap();
        let recorder = Arc::new(Recorder::default());
        let handler: Arc<dyn PeerHandler> = recorder.clone();
        peers.serve(Arc::downgrade(&handler)).unwrap();
        Self { peers, recorder }
    }

    fn add_peer(&self, other: &Node) {
        let domain = DomainName::from("sahab");
        self.peers.set_address(other.peers.host(), &domain, other.peers.address());
    }

    fn probe(&self, other: &Node, number: u64) -> Result<PeerReply, PeerError> {
        self.peers.call(other.peers.host(), probe(number), CALL_TIMEOUT)
    }
}

fn gossip_with_digest(digest: u64) -> Gossip {
    Gossip { digest, ..Gossip::default() }
}

fn probe(number: u64) -> PeerRequest {
    PeerRequest::Fleet(FleetMessage::Probe(gossip_with_digest(number)))
}

fn ack(number: u64) -> Result<PeerReply, PeerError> {
    Ok(PeerReply::Fleet(FleetReply::Ack(gossip_with_digest(number))))
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition not met in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn one_connection_carries_many_calls_with_authenticated_headers() {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    a.add_peer(&b);
    a.peers.set_config_number(ConfigNumber(4));
    b.peers.set_config_number(ConfigNumber(5));
    for number in 0..100 {
        assert_eq!(a.probe(&b, number), ack(number));
    }
    let header = |host: &str, config| PeerHeader {
        host: host.into(),
        incarnation: Incarnation(7),
        config: ConfigNumber(config),
    };
    assert_eq!(*b.recorder.requests.lock().unwrap(), vec![header("a", 4); 100]);
    assert_eq!(*a.recorder.replies.lock().unwrap(), vec![header("b", 5); 100]);
    assert_eq!(a.peers.stats().connects, 1);
    assert_eq!(b.peers.stats().accepts, 1);
    assert_eq!(b.peers.stats().served, 100);
}

#[test]
fn both_sides_count_the_same_bytes() {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    a.add_peer(&b);
    for number in 0..10 {
        a.probe(&b, number).unwrap();
    }
    eventually("both sides agree", || {
        let (a, b) = (a.peers.stats(), b.peers.stats());
        a.bytes_out == b.bytes_in && a.bytes_in == b.bytes_out && a.bytes_out > 0
    });
}

#[test]
fn a_key_rotation_with_overlap_fails_no_call() {
    type Keys = &'static [&'static [u8]];
    let steps: [(Keys, Keys); 5] = [
        (&[OLD_KEY], &[OLD_KEY, NEW_KEY]),
        (&[OLD_KEY, NEW_KEY], &[OLD_KEY, NEW_KEY]),
        (&[OLD_KEY, NEW_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY, OLD_KEY], &[NEW_KEY, OLD_KEY]),
        (&[NEW_KEY, OLD_KEY], &[NEW_KEY]),
    ];
    for (a_keys, b_keys) in steps {
        let a = Node::start("a", a_keys);
        let b = Node::start("b", b_keys);
        a.add_peer(&b);
        b.add_peer(&a);
        assert_eq!(a.probe(&b, 1), ack(1));
        assert_eq!(b.probe(&a, 2), ack(2));
    }
}

#[test]
fn a_peer_without_a_shared_key_is_refused_and_counted() {
    let a = Node::start("a", &[OLD_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    a.add_peer(&b);
    let e = a.probe(&b, 1).unwrap_err();
    assert!(!e.was_sent(), "{e}");
    eventually("b counts the unauthenticated connection", || {
        b.peers.stats().fault(LinkFault::Stranger) == 1
    });
    assert!(b.recorder.requests.lock().unwrap().is_empty());
}

#[test]
fn a_host_that_proves_another_name_is_not_called() {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    let domain = DomainName::from("sahab");
    a.peers.set_address(&HostName::from("c"), &domain, b.peers.address());
    let e = a.peers.call(&HostName::from("c"), probe(1), CALL_TIMEOUT);
    assert_eq!(e, Err(PeerError::Unauthenticated));
    assert_eq!(a.peers.stats().fault(LinkFault::WrongHost), 1);
    assert!(b.recorder.requests.lock().unwrap().is_empty());
}

#[test]
fn bytes_that_are_not_the_protocol_are_refused_and_counted() {
    let b = Node::start("b", &[NEW_KEY]);
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff"]
    {
        let mut stream = TcpStream::connect(b.peers.address()).unwrap();
        stream.write_all(garbage).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
    }
    eventually("both connections are counted", || b.peers.stats().fault(LinkFault::Stranger) == 2);
    let a = Node::start("a", &[NEW_KEY]);
    a.add_peer(&b);
    assert_eq!(a.probe(&b, 3), ack(3));
}

#[test]
fn a_tag_verifies_only_for_its_purpose_stream_and_connection() {
    let key = SessionKey::derive(NEW_KEY, &[1; 16], &[2; 16]);
    let tagged_body = key.append_tag(Purpose::Request, 3, b"body".to_vec());
    assert_eq!(key.check_tag(Purpose::Request, 3, &tagged_body), Some(&b"body"[..]));
    assert_eq!(
        key.check_tag(Purpose::Request, 5, &tagged_body),
        None,
        "replayed on a later stream"
    );
    assert_eq!(key.check_tag(Purpose::Reply, 3, &tagged_body), None, "reflected");
    let other = SessionKey::derive(NEW_KEY, &[1; 16], &[3; 16]);
    assert_eq!(
        other.check_tag(Purpose::Request, 3, &tagged_body),
        None,
        "replayed on another connection"
    );
    let mut changed = tagged_body.clone();
    changed[0] ^= 1;
    assert_eq!(key.check_tag(Purpose::Request, 3, &changed), None, "changed");
    assert_eq!(key.check_tag(Purpose::Request, 3, &tagged_body[..8]), None, "shorter than a tag");
}

#[test]
fn malformed_values_are_not_decoded() {
    let body = wire::encode(&wire::WireRequest { config: ConfigNumber(1), request: probe(9) });
    assert!(wire::decode::<wire::WireRequest>(&body).is_some());
    for end in 0..body.len() {
        assert!(wire::decode::<wire::WireRequest>(&body[..end]).is_none(), "cut at {end}");
    }
    let mut longer = body.clone();
    longer.push(0);
    assert!(wire::decode::<wire::WireRequest>(&longer).is_none(), "bytes after the value");
    // A length prefix of 2^60 bytes.
    let huge = [253, 0, 0, 0, 0, 0, 0, 0, 16];
    assert!(wire::decode::<Vec<u8>>(&huge).is_none());
}

#[test]
fn calls_resume_after_a_restart_of_the_peer() {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    let address = b.peers.address();
    a.add_peer(&b);
    assert_eq!(a.probe(&b, 1), ack(1));
    drop(b);
    assert!(a.peers.call(&HostName::from("b"), probe(2), CALL_TIMEOUT).is_err());
    let mut restarted = None;
    eventually("the address can be bound again", || {
        let listener = std::net::TcpListener::bind(address);
        listener.is_ok_and(|listener| {
            drop(listener);
            restarted = Some(Node::start_at("b", &[NEW_KEY], address));
            true
        })
    });
    let b = restarted.unwrap();
    eventually("calls succeed again", || a.probe(&b, 3) == ack(3));
}

#[test]
fn a_call_to_an_unknown_or_absent_peer_sends_nothing() {
    let a = Node::start("a", &[NEW_KEY]);
    let unknown = a.peers.call(&HostName::from("b"), probe(1), CALL_TIMEOUT);
    assert_eq!(unknown, Err(PeerError::UnknownHost));
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    a.peers.set_address(&HostName::from("b"), &DomainName::from("sahab"), free);
    let absent = a.peers.call(&HostName::from("b"), probe(1), CALL_TIMEOUT);
    assert_eq!(absent, Err(PeerError::Unreachable));
}

#[test]
fn requests_are_declined_after_the_handler_is_dropped() {
    let a = Node::start("a", &[NEW_KEY]);
    let Node { peers, recorder } = Node::start("b", &[NEW_KEY]);
    drop(recorder);
    a.peers.set_address(peers.host(), &DomainName::from("sahab"), peers.address());
    assert_eq!(a.peers.call(peers.host(), probe(1), CALL_TIMEOUT), Ok(PeerReply::Declined));
}

#[yare::parameterized(
    outbound_host = { Direction::Outbound, Remote::Host("b".into()), false },
    outbound_domain = { Direction::Outbound, Remote::Domain("sahab".into()), false },
    inbound_host = { Direction::Inbound, Remote::Host("b".into()), true },
    inbound_domain = { Direction::Inbound, Remote::Domain("sahab".into()), true },
)]
fn a_cut_drops_messages_of_one_direction(direction: Direction, remote: Remote, served: bool) {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    a.add_peer(&b);
    b.add_peer(&a);
    let cut = Cut { direction, remote };
    a.peers.set_cut(cut.clone(), true);
    // As the caller: a dropped request is not served, a dropped reply is lost.
    let e = a.probe(&b, 1).unwrap_err();
    assert_eq!(e.was_sent(), served);
    assert_eq!(b.recorder.requests.lock().unwrap().len(), usize::from(served));
    // As the callee: a request is served only if inbound messages are not dropped.
    assert!(b.probe(&a, 2).is_err());
    assert_eq!(a.recorder.requests.lock().unwrap().len(), usize::from(!served));
    a.peers.set_cut(cut, false);
    assert_eq!(a.probe(&b, 3), ack(3));
    assert_eq!(b.probe(&a, 4), ack(4));
}

#[test]
fn requests_sent_without_waiting_arrive() {
    let a = Node::start("a", &[NEW_KEY]);
    let b = Node::start("b", &[NEW_KEY]);
    a.add_peer(&b);
    for number in 0..20 {
        a.peers.send(b.peers.host(), probe(number));
    }
    eventually("all arrive", || b.recorder.requests.lock().unwrap().len() == 20);
}
