//! Tests of the member table, the server table and single [`FleetNode`]s.

use smallvec::smallvec;

use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::messages::ServerCondition;
use super::node::FleetAction;
use super::node::FleetEvent;
use super::node::FleetNode;
use super::node::HostIdentity;
use super::servers::DeclaredServer;
use super::servers::Now;
use super::servers::ServerTable;
use super::timing::Stamp;
use super::timing::Timing;
use super::FleetMessage;
use super::FleetReply;
use crate::clock::Millis;
use crate::engine::LoadReport;
use crate::engine::Role;
use crate::ids::Incarnation;
use crate::name::ServerName;

const START_UNIX_TIME: Millis = Millis(1_000_000);
const TICK: Millis = Millis(100);

fn update(host: &str, incarnation: u64, round: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        host: host.into(),
        domain: "sahab".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        round,
        state,
    }
}

fn node(host: &str) -> FleetNode {
    let identity = HostIdentity {
        host: host.into(),
        domain: "sahab".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation(5),
    };
    let mut node = FleetNode::new(identity, Timing::default(), Millis::ZERO, START_UNIX_TIME, 1);
    node.on_event(Millis::ZERO, FleetEvent::Tick);
    node
}

fn report(leaving: bool) -> LoadReport {
    LoadReport {
        server: "engine-1".into(),
        boot: 1,
        age_ms: Millis::ZERO,
        running: 3,
        waiting: 0,
        slots: 8,
        step_us: 900,
        kv_percent: 10,
        leaving,
        holdings: smallvec![],
        role: Role::Both,
        fencing: None,
        links_us: vec![("engine-1".into(), 250)],
    }
}

fn declared() -> FleetEvent {
    let name = ServerName::from("engine-1");
    FleetEvent::Declared(vec![DeclaredServer { name, domain: "sahab".into() }])
}

fn sync(node: &mut FleetNode, now: Millis, members: Vec<MemberUpdate>) {
    let reply = FleetReply::Tables { members, servers: super::Gossip::default() };
    node.on_event(now, FleetEvent::Reply { from: "host-2".into(), reply });
}

fn state_of(node: &FleetNode, host: &str) -> Option<MemberState> {
    let mut members = node.members();
    members.find(|member| member.update.host.as_str() == host).map(|m| m.update.state)
}

#[yare::parameterized(
    newer_incarnation = { (2, 0, MemberState::Alive), (1, 9, MemberState::Dead), true },
    newer_round = { (1, 1, MemberState::Alive), (1, 0, MemberState::Dead), true },
    suspicion = { (1, 0, MemberState::Suspect), (1, 0, MemberState::Alive), true },
    death = { (1, 0, MemberState::Dead), (1, 0, MemberState::Suspect), true },
    same = { (1, 0, MemberState::Alive), (1, 0, MemberState::Alive), false },
    old_suspicion = { (1, 0, MemberState::Suspect), (1, 1, MemberState::Alive), false },
    old_process = { (1, 9, MemberState::Alive), (2, 0, MemberState::Suspect), false },
)]
fn updates_are_ordered_by_incarnation_round_and_state(
    new: (u64, u32, MemberState),
    held: (u64, u32, MemberState),
    supersedes: bool,
) {
    let new = update("a", new.0, new.1, new.2);
    let held = update("a", held.0, held.1, held.2);
    assert_eq!(new.supersedes(&held), supersedes);
}

#[test]
fn a_host_refutes_its_own_suspicion() {
    let mut node = node("host-1");
    sync(&mut node, TICK, vec![update("host-1", 5, 3, MemberState::Suspect)]);
    let own = node.members().find(|member| member.update.host.as_str() == "host-1").unwrap();
    assert_eq!((own.update.round, own.update.state), (4, MemberState::Alive));
}

#[test]
fn a_silent_host_is_suspected_then_dead_and_forgotten() {
    let mut node = node("host-1");
    sync(&mut node, TICK, vec![update("host-2", 1, 0, MemberState::Alive)]);
    let mut seen = Vec::new();
    let mut now = TICK;
    while now < Millis(70_000) {
        now = now + TICK;
        node.on_event(now, FleetEvent::Tick);
        let state = state_of(&node, "host-2");
        if seen.last() != Some(&state) {
            seen.push(state);
        }
    }
    let expected = [MemberState::Alive, MemberState::Suspect, MemberState::Dead].map(Some);
    assert_eq!(seen[..3], expected);
    assert_eq!(seen[3..], [None]);
}

#[test]
fn a_host_that_was_paused_does_not_suspect_the_others() {
    let mut node = node("host-1");
    sync(&mut node, TICK, vec![update("host-2", 1, 0, MemberState::Alive)]);
    node.on_event(Millis(600), FleetEvent::Tick);
    node.on_event(Millis(9_000), FleetEvent::Tick);
    assert_eq!(state_of(&node, "host-2"), Some(MemberState::Alive));
}

#[test]
fn a_probe_is_repeated_through_others_before_a_suspicion() {
    let mut node = node("host-1");
    let others = ["host-2", "host-3", "host-4"].map(|h| update(h, 1, 0, MemberState::Alive));
    sync(&mut node, TICK, others.to_vec());
    let mut calls = Vec::new();
    for tick in 2..8 {
        let actions = node.on_event(Millis(tick * TICK.0), FleetEvent::Tick);
        calls.extend(actions.into_iter().filter_map(|action| match action {
            FleetAction::Call { to, message: FleetMessage::ProbeFor(target) } => Some((to, target)),
            _ => None,
        }));
    }
    assert_eq!(calls.len(), 2, "{calls:?}");
    let target = calls[0].1.clone();
    assert!(calls.iter().all(|(to, t)| *t == target && *to != target));
}

#[test]
fn a_leaving_server_is_reported_to_other_hosts_at_once() {
    let mut node = node("host-1");
    sync(&mut node, TICK, vec![update("host-2", 1, 0, MemberState::Alive)]);
    node.on_event(TICK, declared());
    let observed =
        |leaving| FleetEvent::Observed { server: "engine-1".into(), report: Some(report(leaving)) };
    node.on_event(Millis(200), observed(false));
    let actions = node.on_event(Millis(300), observed(true));
    let spread = actions.iter().any(|action| match action {
        FleetAction::Call { to, message: FleetMessage::Rumor(gossip) } => {
            let leaving = |load: &super::LoadUpdate| load.condition == ServerCondition::Leaving;
            to.as_str() == "host-2" && gossip.loads.iter().any(leaving)
        }
        _ => false,
    });
    assert!(spread, "{actions:?}");
}

#[test]
fn an_observation_reaches_another_host_completely_and_only_once() {
    let mut observer = node("host-1");
    let mut other = node("host-2");
    observer.on_event(TICK, declared());
    other.on_event(TICK, declared());
    let server = ServerName::from("engine-1");
    let report = report(false);
    let observed = FleetEvent::Observed { server: server.clone(), report: Some(report.clone()) };
    observer.on_event(TICK, observed);
    let request = |servers| FleetEvent::Request {
        from: "host-2".into(),
        message: FleetMessage::Sync { members: Vec::new(), servers },
    };
    let mut request_tables = || {
        let mut actions = observer.on_event(TICK, request(true));
        match actions.pop() {
            Some(FleetAction::Reply(reply)) => reply,
            action => panic!("{action:?}"),
        }
    };
    let reply = request_tables();
    other.on_event(Millis(150), FleetEvent::Reply { from: "host-1".into(), reply });
    let record = other.server(&server).unwrap();
    assert_eq!(record.report.as_deref(), Some(&report));
    let version = other.servers_version();
    let again = request_tables();
    other.on_event(Millis(900), FleetEvent::Reply { from: "host-1".into(), reply: again });
    assert_eq!(other.servers_version(), version, "the same observation is not taken twice");
}

#[test]
fn stamp_ages_hold_across_wraparound_and_clock_skew() {
    let late = Stamp(3);
    let early = Stamp(u32::MAX - 2);
    assert!(late.is_after(early));
    assert_eq!(late.before(late.age_of(early)), early);
    assert_eq!(early.before(early.age_of(late)), late);
    assert_eq!(early.age_of(late).span(), Millis::ZERO);
}

#[test]
fn servers_of_a_domain_without_hosts_are_observed_from_elsewhere() {
    let mut lone_host = node("host-1");
    let name = ServerName::from("engine-1");
    let far = DeclaredServer { name: name.clone(), domain: "marka".into() };
    lone_host.on_event(TICK, FleetEvent::Declared(vec![far]));
    let observes = |node: &mut FleetNode, from: u64| {
        (from..from + 49).any(|tick| {
            let actions = node.on_event(Millis(tick * TICK.0), FleetEvent::Tick);
            actions
                .iter()
                .any(|action| matches!(action, FleetAction::Observe(server) if *server == name))
        })
    };
    assert!(!observes(&mut lone_host, 0), "it has just started");
    assert!(observes(&mut lone_host, 50), "nobody else can observe it");
    let marka =
        MemberUpdate { domain: "marka".into(), ..update("host-2", 9, 1, MemberState::Alive) };
    sync(&mut lone_host, Millis(11_000), vec![marka]);
    assert!(!observes(&mut lone_host, 111), "its own domain has a host again");
}

#[test]
fn a_domain_with_one_live_host_of_many_stays_reachable() {
    let mut node = node("a");
    let mut far = update("f-0", 1, 0, MemberState::Alive);
    let mut members = vec![];
    for i in 0..8 {
        far.host = format!("f-{i}").as_str().into();
        far.domain = "marka".into();
        far.state = if i == 0 { MemberState::Alive } else { MemberState::Dead };
        members.push(MemberUpdate { state: MemberState::Alive, ..far.clone() });
        members.push(far.clone());
    }
    let message = FleetMessage::Sync { members, servers: false };
    node.on_event(TICK, FleetEvent::Request { from: "f-0".into(), message });
    let start = TICK + Timing::default().domain_timeout;
    for i in 1..600 {
        let now = TICK + Millis(TICK.0 * i);
        for action in node.on_event(now, FleetEvent::Tick) {
            if matches!(&action, FleetAction::Call { to, .. } if to.as_str() == "f-0") {
                let reply = FleetReply::Ack(Default::default());
                node.on_event(now, FleetEvent::Reply { from: "f-0".into(), reply });
            }
        }
        assert!(now < start || node.is_reachable(now, &"marka".into()), "cut off at {now}");
    }
}

#[test]
fn another_domain_is_told_at_once_that_a_silent_server_answers_again() {
    let timing = Timing::default();
    let name = ServerName::from("engine-1");
    let mut table = ServerTable::default();
    table.declare(&[DeclaredServer { name: name.clone(), domain: "sahab".into() }]);
    let mut observe = |ms: u64, report: Option<LoadReport>| {
        let now = Now { time: Millis(ms), stamp: Stamp::at(START_UNIX_TIME + Millis(ms)) };
        table.observe(now, &name, report, &timing);
        let batch = table.take_cross_domain_batch(now, &"sahab".into(), &"marka".into(), &timing);
        batch.loads.iter().map(|load| load.condition).collect::<Vec<_>>()
    };
    assert_eq!(observe(1_000, Some(report(false))), [ServerCondition::Ready]);
    assert!(observe(2_000, None).is_empty());
    assert_eq!(observe(3_000, None), [ServerCondition::Silent]);
    assert_eq!(observe(4_000, Some(report(false))), [ServerCondition::Ready]);
    assert!(observe(5_000, Some(report(false))).is_empty());
}
