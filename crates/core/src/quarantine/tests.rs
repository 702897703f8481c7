//! Unit tests of suspects and quarantine.

use super::*;
use crate::clock::Millis;
use crate::ids::RequestId;
use crate::name::ServerName;
use crate::name::TeamName;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new(&TeamName::new("bakery"), body.as_bytes())
}

fn crash(server: &str) -> CrashId {
    CrashId { server: ServerName::new(server), boot: 1 }
}

struct Fixture {
    state: Quarantine,
    now: Millis,
}

impl Fixture {
    fn new() -> Self {
        Self { state: Quarantine::new(QuarantineSettings::default()), now: Millis(1) }
    }

    fn start(&mut self, request: u128, body: &str, server: &str) {
        self.state.on_start(self.now, RequestId(request), fingerprint(body), [crash(server)]);
    }

    fn crash(&mut self, server: &str) -> Vec<CrashNotice> {
        self.now = self.now + Millis(5_000);
        self.state.on_crash(self.now, &crash(server))
    }

    fn status(&self, body: &str) -> QuarantineStatus {
        self.state.status(self.now, fingerprint(body))
    }
}

#[test]
fn a_second_crash_quarantines_and_neighbours_stay_suspect() {
    let mut fixture = Fixture::new();
    fixture.start(1, "poison", "a");
    fixture.start(2, "innocent", "a");
    fixture.crash("a");
    assert_eq!(fixture.status("innocent"), QuarantineStatus::Suspect);
    fixture.start(1, "poison", "b");
    fixture.start(2, "innocent", "c");
    fixture.crash("b");
    assert_eq!(fixture.status("poison"), QuarantineStatus::Quarantined);
    assert_eq!(fixture.status("innocent"), QuarantineStatus::Suspect);
    fixture.state.on_end(fixture.now, RequestId(2), true);
    assert_eq!(fixture.status("innocent"), QuarantineStatus::Clear);
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut fixture = Fixture::new();
    fixture.start(1, "quote", "a");
    let notices = fixture.crash("a");
    fixture.state.on_notice(fixture.now, &notices[0]);
    fixture.crash("a");
    assert_eq!(fixture.status("quote"), QuarantineStatus::Suspect);
}

#[test]
fn two_suspects_in_flight_at_the_same_two_crashes_are_not_quarantined() {
    let mut fixture = Fixture::new();
    for server in ["a", "b"] {
        fixture.start(1, "one", server);
        fixture.start(2, "two", server);
        fixture.crash(server);
    }
    assert_eq!(fixture.status("one"), QuarantineStatus::Suspect);
    assert_eq!(fixture.status("two"), QuarantineStatus::Suspect);
}

#[test]
fn a_suspect_is_kept_off_servers_that_run_other_suspects_of_any_host() {
    let mut fixture = Fixture::new();
    fixture.start(1, "one", "a");
    fixture.start(2, "two", "a");
    fixture.crash("a");
    fixture.start(2, "two", "b");
    let start = SuspectStart {
        request: RequestId(3),
        fingerprint: fingerprint("three"),
        servers: [crash("c")].into_iter().collect(),
    };
    fixture.state.on_remote_start(fixture.now, start);
    let excluded = fixture.state.excluded_servers(fixture.now, fingerprint("one"));
    assert!(excluded.contains("b") && excluded.contains("c"));
    assert!(fixture.state.excluded_servers(fixture.now, fingerprint("clear")).is_empty());
    fixture.state.on_remote_end(RequestId(3));
    assert!(!fixture.state.excluded_servers(fixture.now, fingerprint("one")).contains("c"));
}

#[test]
fn simultaneous_losses_do_not_count_against_requests_that_ran_on_one_server_only() {
    let mut fixture = Fixture::new();
    fixture.start(1, "one", "a");
    fixture.start(2, "two", "b");
    fixture.state.on_crash(fixture.now, &crash("a"));
    fixture.state.on_crash(fixture.now, &crash("b"));
    assert_eq!(fixture.status("one"), QuarantineStatus::Clear);
    assert_eq!(fixture.status("two"), QuarantineStatus::Clear);
}

#[test]
fn an_attempt_sent_to_a_server_known_to_have_crashed_is_no_suspect() {
    let mut fixture = Fixture::new();
    fixture.start(1, "poison", "a");
    fixture.crash("a");
    fixture.now = fixture.now + Millis(10);
    fixture.start(2, "late", "a");
    fixture.crash("a");
    assert_eq!(fixture.status("late"), QuarantineStatus::Clear);
}

#[test]
fn a_request_whose_crash_probably_had_another_cause_is_kept_off_suspects() {
    let mut fixture = Fixture::new();
    fixture.start(1, "one", "a");
    fixture.start(2, "two", "b");
    fixture.state.on_crash(fixture.now, &crash("a"));
    fixture.state.on_crash(fixture.now, &crash("b"));
    assert_eq!(fixture.status("one"), QuarantineStatus::Clear);
    let start = SuspectStart {
        request: RequestId(4),
        fingerprint: fingerprint("three"),
        servers: [crash("c")].into_iter().collect(),
    };
    fixture.state.on_remote_start(fixture.now, start);
    assert!(fixture.state.excluded_servers(fixture.now, fingerprint("one")).contains("c"));
}

#[test]
fn crashes_that_this_or_another_host_saw_are_known_for_the_given_span() {
    const SPAN: Millis = Millis(5_000);
    let mut fixture = Fixture::new();
    fixture.state.on_crash(fixture.now, &crash("a"));
    let crashes = [crash("b")].into_iter().collect();
    let notice = CrashNotice { fingerprint: fingerprint("poison"), crashes };
    let later = fixture.now + Millis(1_000);
    fixture.state.on_notice(later, &notice);
    let known = |now| fixture.state.recent_crashes(now, SPAN).cloned().collect::<Vec<_>>();
    assert_eq!(known(later), [crash("a"), crash("b")]);
    assert_eq!(known(fixture.now + SPAN), [crash("b")]);
    assert!(known(later + SPAN).is_empty());
}

#[test]
fn memory_is_bounded_and_expires() {
    let settings = QuarantineSettings { capacity: 8, ..QuarantineSettings::default() };
    let mut state = Quarantine::new(settings);
    for i in 0..50_u128 {
        state.on_start(Millis(0), RequestId(i), fingerprint(&i.to_string()), [crash("a")]);
    }
    state.on_crash(Millis(1), &crash("a"));
    assert_eq!(state.len(), 8);
    let later = Millis(1) + settings.quarantine_ttl;
    state.on_crash(later, &crash("z"));
    assert!(state.is_empty());
}
