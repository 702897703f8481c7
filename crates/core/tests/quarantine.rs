//! Regression tests of requests that crash servers while hardly any request succeeds.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::PromptPart;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineSettings;
use yuccanotch_core::quarantine::QuarantineStatus;

/// The time between two crashes, in ms.
const CRASH_INTERVAL: Millis = Millis(2_000);

fn request(body: &str) -> Fingerprint {
    Fingerprint::of_call("team", "/", body.as_bytes())
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&ServiceName::new("model"), &PromptPart::new(name))
}

/// What one host knows, at one time.
struct Host {
    state: Quarantine,
    now: Millis,
    requests: u128,
}

impl Host {
    fn new() -> Self {
        let state = Quarantine::new(QuarantineSettings::default());
        Self { state, now: Millis(1_000), requests: 0 }
    }

    /// Starts a request on the server with the name `server`.
    fn start(&mut self, fingerprints: &[Fingerprint], server: &str) -> RequestId {
        self.requests += 1;
        let id = RequestId(self.requests);
        self.state.on_start(self.now, id, fingerprints, [crash_of(server)]);
        id
    }

    fn crash(&mut self, server: &str) {
        self.now = self.now + Millis(100);
        self.state.on_crash(self.now, &crash_of(server));
        self.now = self.now + CRASH_INTERVAL;
    }
}

fn crash_of(server: &str) -> CrashId {
    CrashId { server: ServerName::new(server), boot: 1 }
}

/// Guards against a request that crashes one server after the other and is sent on, because a part
/// of prompts, taken for the cause in an outage, explains its first crashes.
#[test]
fn a_repeated_request_is_refused_while_a_wrong_cause_explains_its_first_crashes() {
    let mut host = Host::new();
    let sound = host.start(&[request("sound"), part("other")], "a");
    host.state.on_end(host.now, sound, true);
    let crashing = [request("crashing")];
    for (i, server) in ["b", "c", "d", "e"].into_iter().enumerate() {
        host.start(&crashing, server);
        host.start(&[request(&format!("neighbor {i}")), part("common")], server);
        host.crash(server);
    }
    for server in ["f", "g"] {
        host.start(&[request(server), part("common")], server);
        host.crash(server);
    }
    assert_eq!(host.state.status(host.now, part("common")), QuarantineStatus::Quarantined);
    host.start(&crashing, "h");
    host.crash("h");
    assert_eq!(host.state.status(host.now, crashing[0]), QuarantineStatus::Quarantined);
}
