//! Unit tests of suspects and quarantine.

use smallvec::SmallVec;

use super::*;
use crate::clock::Millis;
use crate::ids::RequestId;
use crate::name::PromptPart;
use crate::name::ServerName;
use crate::name::ServiceName;
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
        self.state.on_start(self.now, RequestId(request), &[fingerprint(body)], [crash(server)]);
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
    let report = CrashReport { crash: crash("b"), age: Millis::ZERO, ran_for: Millis(10) };
    let notice = CrashNotice {
        fingerprint: fingerprint("poison"),
        crashes: [report].into_iter().collect(),
        success_age: None,
        stands_out: false,
    };
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
        state.on_start(Millis(0), RequestId(i), &[fingerprint(&i.to_string())], [crash("a")]);
    }
    state.on_crash(Millis(1), &crash("a"));
    assert_eq!(state.len(), 8);
    let later = Millis(1) + settings.quarantine_ttl;
    state.on_crash(later, &crash("z"));
    assert!(state.is_empty());
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&ServiceName::new("model"), &PromptPart::new(name))
}

/// A host and the time at which it acts.
struct Host {
    state: Quarantine,
    now: Millis,
    last_request: u128,
}

impl Host {
    fn new() -> Self {
        let state = Quarantine::new(QuarantineSettings::default());
        Self { state, now: Millis(10_000), last_request: 0 }
    }

    fn wait(&mut self, span: u64) {
        self.now = self.now + Millis(span);
    }

    /// Starts a request with a body of its own and `parts` on `server`.
    fn start(&mut self, parts: &[&str], server: &str) -> RequestId {
        self.last_request += 1;
        let body = self.last_request.to_string();
        let mut fingerprints = vec![fingerprint(&body)];
        fingerprints.extend(parts.iter().map(|name| part(name)));
        let request = RequestId(self.last_request);
        self.state.on_start(self.now, request, &fingerprints, [crash(server)]);
        request
    }

    fn succeed(&mut self, parts: &[&str]) {
        let request = self.start(parts, "sound");
        self.state.on_end(self.now, request, true);
    }

    /// Crashes `server` while a request with `parts` and a sound one are in flight there.
    fn crash_with(&mut self, parts: &[&str], server: &str) {
        self.wait(1_500);
        let poison = self.start(parts, server);
        let neighbour = self.start(&["first", "common"], server);
        self.wait(50);
        self.state.on_crash(self.now, &crash(server));
        self.state.on_end(self.now, poison, false);
        self.state.on_end(self.now, neighbour, false);
    }

    fn status(&self, name: &str) -> QuarantineStatus {
        self.state.status(self.now, part(name))
    }
}

/// Guards against a part of prompts that crashes one server after the other.
#[test]
fn a_part_in_flight_at_three_crashes_is_quarantined_and_what_came_with_it_is_not() {
    let mut host = Host::new();
    for server in ["a", "b", "c"] {
        assert_ne!(host.status("poison"), QuarantineStatus::Quarantined);
        host.crash_with(&["first", "poison"], server);
        host.succeed(&["first", "common"]);
    }
    assert_eq!(host.status("poison"), QuarantineStatus::Quarantined);
    assert_eq!(host.status("first"), QuarantineStatus::Clear);
    assert_eq!(host.status("common"), QuarantineStatus::Clear);
    let parts = [part("first"), part("poison")];
    let found = host.state.find_quarantined(host.now, &parts);
    assert_eq!(found.map(|(fingerprint, _)| fingerprint), Some(part("poison")));
}

#[test]
fn a_part_is_found_in_an_outage_of_all_servers_if_all_others_succeeded_before() {
    let mut host = Host::new();
    host.succeed(&["first", "common"]);
    for server in ["a", "b", "c"] {
        host.crash_with(&["first", "poison"], server);
    }
    assert_eq!(host.status("poison"), QuarantineStatus::Quarantined);
    assert_ne!(host.status("first"), QuarantineStatus::Quarantined);
}

/// Guards against the refusal of all requests after an outage of all servers.
#[test]
fn a_part_of_all_requests_is_not_quarantined_for_an_outage_without_any_success() {
    let mut host = Host::new();
    for server in ["a", "b", "c", "d", "e"] {
        host.crash_with(&["first"], server);
    }
    assert_ne!(host.status("first"), QuarantineStatus::Quarantined);
    assert_ne!(host.status("common"), QuarantineStatus::Quarantined);
}

#[test]
fn servers_that_are_lost_together_count_as_one_crash() {
    let mut host = Host::new();
    host.succeed(&["first"]);
    let requests: Vec<RequestId> =
        ["a", "b", "c", "d"].into_iter().map(|server| host.start(&["rare"], server)).collect();
    host.wait(100);
    for server in ["a", "b", "c", "d"] {
        host.state.on_crash(host.now, &crash(server));
        host.wait(10);
    }
    requests.into_iter().for_each(|request| host.state.on_end(host.now, request, false));
    assert_ne!(host.status("rare"), QuarantineStatus::Quarantined);
}

#[test]
fn an_answer_that_goes_on_refutes_that_its_parts_crash_servers() {
    let mut host = Host::new();
    host.succeed(&["first"]);
    for server in ["a", "b", "c"] {
        host.crash_with(&["rare"], server);
        let request = host.start(&["rare"], "d");
        host.state.on_progress(host.now, request);
        host.wait(1_000);
        host.state.on_progress(host.now, request);
    }
    assert_eq!(host.status("rare"), QuarantineStatus::Clear);
}

#[test]
fn hosts_that_hear_of_the_crashes_quarantine_the_part_also_when_their_clock_is_younger() {
    let mut host = Host::new();
    host.succeed(&["first", "common"]);
    for server in ["a", "b", "c"] {
        host.crash_with(&["first", "poison"], server);
    }
    let mut young = Quarantine::new(QuarantineSettings::default());
    let now = Millis(5);
    for notice in host.state.recent_notices(host.now, NoticeScope::SHARED, 0) {
        young.on_notice(now, &notice);
    }
    assert_eq!(young.status(now, part("poison")), QuarantineStatus::Quarantined);
    assert_ne!(young.status(now, part("first")), QuarantineStatus::Quarantined);
    let later = now + QuarantineSettings::default().quarantine_ttl;
    assert_eq!(young.status(later, part("poison")), QuarantineStatus::Clear);
}

#[test]
fn a_success_elsewhere_ends_the_quarantine_of_a_part() {
    let mut host = Host::new();
    host.succeed(&["first", "common"]);
    for server in ["a", "b", "c"] {
        host.crash_with(&["first", "poison"], server);
    }
    let notice = CrashNotice {
        fingerprint: part("poison"),
        crashes: SmallVec::new(),
        success_age: Some(Millis::ZERO),
        stands_out: false,
    };
    host.state.on_notice(host.now, &notice);
    assert_eq!(host.status("poison"), QuarantineStatus::Clear);
}

/// Guards against a crash that is found only after the caller of the request has its answer.
#[test]
fn a_request_whose_connection_broke_counts_at_the_crash_that_is_found_soon_after() {
    let mut host = Host::new();
    let request = host.start(&["rare"], "a");
    host.state.on_break(host.now, request);
    host.wait(20);
    host.state.on_crash(host.now, &crash("a"));
    assert_eq!(host.status("rare"), QuarantineStatus::Suspect);
}

/// Guards against evidence without crashes that never expires.
#[test]
fn a_crash_that_a_success_has_refuted_leaves_no_entry() {
    let mut host = Host::new();
    host.succeed(&["first"]);
    let report = CrashReport { crash: crash("a"), age: Millis(5_000), ran_for: Millis(10) };
    let notice = CrashNotice {
        fingerprint: part("first"),
        crashes: [report].into_iter().collect(),
        success_age: None,
        stands_out: false,
    };
    host.state.on_notice(host.now, &notice);
    assert!(host.state.is_empty());
    assert_eq!(host.status("first"), QuarantineStatus::Clear);
}

/// Guards against requests that are quarantined because a host's links are reset: the servers that it
/// takes for crashed go on answering others.
#[test]
fn crashes_of_servers_that_are_heard_later_are_taken_back() {
    let mut fixture = Fixture::new();
    for server in ["a", "b"] {
        fixture.start(1, "quote", server);
        fixture.crash(server);
    }
    assert_eq!(fixture.status("quote"), QuarantineStatus::Quarantined);
    let notices = fixture.state.recent_notices(fixture.now, NoticeScope::SHARED, 0);
    let span = Millis(10_000);
    for step in 0..4 {
        let now = fixture.now + Millis(400 + 200 * step);
        let refuted = fixture.state.refute_crashes(now, span, |id, _| *id == crash("b"));
        assert_eq!(refuted.is_empty(), step != 3, "step {step}");
    }
    assert_eq!(fixture.status("quote"), QuarantineStatus::Suspect);
    notices.iter().for_each(|notice| fixture.state.on_notice(fixture.now, notice));
    assert_eq!(fixture.status("quote"), QuarantineStatus::Suspect);
}

/// Guards against a request whose crash other hosts never hear of, since the notices of the many
/// others in flight at that crash fill every message.
#[test]
fn each_of_many_requests_in_flight_at_a_crash_is_told_to_others_within_some_messages() {
    let mut fixture = Fixture::new();
    let bodies: Vec<String> = (0..400).map(|i| format!("request {i}")).collect();
    for (request, body) in bodies.iter().enumerate() {
        fixture.start(request as u128, body, "a");
    }
    fixture.crash("a");
    let mut other = Quarantine::new(QuarantineSettings::default());
    for turn in 0..80 {
        for notice in fixture.state.recent_notices(fixture.now, NoticeScope::URGENT, turn) {
            other.on_notice(fixture.now, &notice);
        }
    }
    let status = |body: &String| other.status(fixture.now, fingerprint(body));
    let unknown = bodies.iter().filter(|b| status(b) != QuarantineStatus::Suspect).count();
    assert_eq!(unknown, 0);
}

/// Starts "poison" at `count` servers at once, which are lost within a second.
fn lose_servers_of_one_request(fixture: &mut Fixture, count: u8) {
    let servers: Vec<String> = (0..count).map(|i| format!("s-{i}")).collect();
    for (request, server) in (10..).zip(&servers) {
        fixture.start(request, "poison", server);
    }
    for server in &servers {
        fixture.now = fixture.now + Millis(40);
        fixture.state.on_crash(fixture.now, &crash(server));
    }
}

/// Guards against a request that comes at all hosts at once, crashes a server at each, and is served
/// again when it comes the next time, since crashes that fall together count as one.
#[test]
fn a_request_at_all_servers_that_are_lost_at_once_is_quarantined() {
    let mut fixture = Fixture::new();
    lose_servers_of_one_request(&mut fixture, 4);
    assert_eq!(fixture.status("poison"), QuarantineStatus::Quarantined);
}

#[test]
fn a_request_at_few_servers_that_are_lost_at_once_is_not_quarantined() {
    let mut fixture = Fixture::new();
    lose_servers_of_one_request(&mut fixture, 3);
    assert_ne!(fixture.status("poison"), QuarantineStatus::Quarantined);
}

/// Guards against an outage that is taken for the work of a request which comes often.
#[test]
fn a_request_that_succeeded_shortly_before_its_servers_are_lost_is_not_quarantined() {
    for (pause, is_quarantined) in [(Millis(500), false), (Millis(20_000), true)] {
        let mut fixture = Fixture::new();
        fixture.start(1, "poison", "a");
        fixture.state.on_end(fixture.now, RequestId(1), true);
        fixture.now = fixture.now + pause;
        lose_servers_of_one_request(&mut fixture, 6);
        let status = fixture.status("poison");
        assert_eq!(status == QuarantineStatus::Quarantined, is_quarantined, "{pause:?}");
    }
}

#[test]
fn a_request_at_most_servers_that_are_lost_at_once_is_not_quarantined() {
    let mut fixture = Fixture::new();
    fixture.start(1, "another", "a");
    fixture.state.on_crash(fixture.now, &crash("a"));
    lose_servers_of_one_request(&mut fixture, 6);
    assert_ne!(fixture.status("poison"), QuarantineStatus::Quarantined);
}
