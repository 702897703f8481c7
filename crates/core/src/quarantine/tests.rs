//! Tests of suspects and quarantine.

use super::*;
use crate::clock::Millis;
use crate::ids::RequestId;
use crate::name::ServerName;
use crate::name::TeamName;

fn print(body: &str) -> Fingerprint {
    Fingerprint::new(&TeamName::new("bakery"), body.as_bytes())
}

fn crash(server: &str) -> CrashId {
    CrashId { server: ServerName::new(server), boot: 1 }
}

struct Bench {
    state: Quarantine,
    now: Millis,
}

impl Bench {
    fn new() -> Self {
        Self { state: Quarantine::new(QuarantineSettings::default()), now: Millis(1) }
    }

    fn start(&mut self, request: u128, body: &str, server: &str) {
        self.state.on_start(self.now, RequestId(request), print(body), [crash(server)]);
    }

    fn crash(&mut self, server: &str) -> Vec<CrashNotice> {
        self.now = self.now + Millis(5_000);
        self.state.on_crash(self.now, &crash(server))
    }

    fn standing(&self, body: &str) -> QuarantineStatus {
        self.state.status(self.now, print(body))
    }
}

#[test]
fn a_second_crash_quarantines_and_neighbours_stay_suspect() {
    let mut bench = Bench::new();
    bench.start(1, "poison", "a");
    bench.start(2, "innocent", "a");
    bench.crash("a");
    assert_eq!(bench.standing("innocent"), QuarantineStatus::Suspect);
    bench.start(1, "poison", "b");
    bench.start(2, "innocent", "c");
    bench.crash("b");
    assert_eq!(bench.standing("poison"), QuarantineStatus::Quarantined);
    assert_eq!(bench.standing("innocent"), QuarantineStatus::Suspect);
    bench.state.on_end(bench.now, RequestId(2), true);
    assert_eq!(bench.standing("innocent"), QuarantineStatus::Clear);
}

#[test]
fn the_same_crash_told_twice_counts_once() {
    let mut bench = Bench::new();
    bench.start(1, "quote", "a");
    let notices = bench.crash("a");
    bench.state.on_notice(bench.now, &notices[0]);
    bench.crash("a");
    assert_eq!(bench.standing("quote"), QuarantineStatus::Suspect);
}

#[test]
fn two_suspects_that_crash_together_twice_are_not_convicted() {
    let mut bench = Bench::new();
    for server in ["a", "b"] {
        bench.start(1, "one", server);
        bench.start(2, "two", server);
        bench.crash(server);
    }
    assert_eq!(bench.standing("one"), QuarantineStatus::Suspect);
    assert_eq!(bench.standing("two"), QuarantineStatus::Suspect);
}

#[test]
fn a_suspect_keeps_away_from_other_suspects_here_and_elsewhere() {
    let mut bench = Bench::new();
    bench.start(1, "one", "a");
    bench.start(2, "two", "a");
    bench.crash("a");
    bench.start(2, "two", "b");
    let start = SuspectStart {
        request: RequestId(3),
        fingerprint: print("three"),
        servers: [crash("c")].into_iter().collect(),
    };
    bench.state.on_remote_start(bench.now, start);
    let excluded = bench.state.excluded_servers(bench.now, print("one"));
    assert!(excluded.contains("b") && excluded.contains("c"));
    assert!(bench.state.excluded_servers(bench.now, print("clear")).is_empty());
    bench.state.on_remote_end(RequestId(3));
    assert!(!bench.state.excluded_servers(bench.now, print("one")).contains("c"));
}

#[test]
fn losses_at_one_time_excuse_requests_that_ran_on_one_server_only() {
    let mut bench = Bench::new();
    bench.start(1, "one", "a");
    bench.start(2, "two", "b");
    bench.state.on_crash(bench.now, &crash("a"));
    bench.state.on_crash(bench.now, &crash("b"));
    assert_eq!(bench.standing("one"), QuarantineStatus::Clear);
    assert_eq!(bench.standing("two"), QuarantineStatus::Clear);
}

#[test]
fn an_attempt_that_meets_a_dead_server_is_no_suspect() {
    let mut bench = Bench::new();
    bench.start(1, "poison", "a");
    bench.crash("a");
    bench.now = bench.now + Millis(10);
    bench.start(2, "late", "a");
    bench.crash("a");
    assert_eq!(bench.standing("late"), QuarantineStatus::Clear);
}

#[test]
fn memory_is_bounded_and_expires() {
    let settings = QuarantineSettings { capacity: 8, ..QuarantineSettings::default() };
    let mut state = Quarantine::new(settings);
    for i in 0..50_u128 {
        state.on_start(Millis(0), RequestId(i), print(&i.to_string()), [crash("a")]);
    }
    state.on_crash(Millis(1), &crash("a"));
    assert_eq!(state.len(), 8);
    let later = Millis(1) + settings.quarantine_ttl;
    state.on_crash(later, &crash("z"));
    assert!(state.is_empty());
}
