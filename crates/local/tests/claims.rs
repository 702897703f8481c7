//! Tests that non-repeatable calls run at most once, over several entry hosts and with faults of
//! the store and the servers.

mod util;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use util::wait_until_hosts_know_each_other;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_local::client::CallError;
use yuccanotch_local::client::Caller;
use yuccanotch_local::client::Problem;
use yuccanotch_local::client::ServiceAnswer;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;

const PATH: &str = "/ordering/confirmations";
const BODY: &str = r#"{"order": 4711, "bags": 5000}"#;
const RESENDS: usize = 40;
const RESEND_DELAY: Duration = Duration::from_millis(100);

struct TestEnvironment {
    deployment: Deployment,
    caller: Caller,
}

impl TestEnvironment {
    fn start() -> Self {
        let deployment = Deployment::start(Plan::haddad(5)).expect("the deployment starts");
        deployment.wait_until_ready().expect("the deployment is ready");
        wait_until_hosts_know_each_other(&deployment);
        let caller = Caller::new("retail-key", Duration::from_secs(20));
        Self { deployment, caller }
    }

    fn hosts(&self) -> Vec<SocketAddr> {
        self.deployment.running().map(|running| running.callers).collect()
    }

    fn confirm(&self, host: usize, key: &str, body: &str) -> Result<ServiceAnswer, CallError> {
        let hosts = self.hosts();
        self.caller.call_service(hosts[host % hosts.len()], "POST", PATH, Some(key), body)
    }

    /// Sends a call to one host after another until the answer no longer asks for a retry.
    fn confirm_until_settled(&self, key: &str) -> Result<ServiceAnswer, CallError> {
        for host in 0..RESENDS {
            match self.confirm(host, key, BODY) {
                Err(CallError::Refused(problem)) if problem.retry_after_ms.is_some() => {
                    thread::sleep(RESEND_DELAY);
                }
                settled => return settled,
            }
        }
        panic!("the call did not settle");
    }

    fn inject(&self, fault: Fault, for_ms: u64) {
        let req = FaultRequest { fault, for_ms };
        self.deployment.standin.inject(req).expect("the fault is known");
    }

    fn runs(&self, key: &str) -> usize {
        let calls = self.deployment.standin.record().calls;
        calls.iter().filter(|call| call.key.as_deref() == Some(key)).count()
    }
}

fn refusal(result: Result<ServiceAnswer, CallError>) -> Problem {
    match result {
        Err(CallError::Refused(problem)) => problem,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn concurrent_resends_at_all_hosts_get_one_answer() {
    let env = TestEnvironment::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        env.inject(Fault::ServiceSlow { target: server.into(), delay_ms: 300 }, 5_000);
    }
    let answers: Vec<ServiceAnswer> = thread::scope(|scope| {
        let send = |host| {
            let env = &env;
            scope.spawn(move || env.confirm(host, "order-1", BODY))
        };
        let calls: Vec<_> = (0..9).map(send).collect();
        let answers = calls.into_iter().map(|call| call.join().expect("no panic"));
        answers.map(|answer| answer.expect("an answer")).collect()
    });
    assert!(answers.iter().all(|answer| *answer == answers[0]));
    assert_eq!(env.runs("order-1"), 1);
    env.deployment.stop();
}

#[test]
fn a_key_with_another_body_is_refused_on_every_host() {
    let env = TestEnvironment::start();
    env.confirm(0, "order-2", BODY).expect("an answer");
    for host in 0..3 {
        let problem = refusal(env.confirm(host, "order-2", "{}"));
        assert_eq!(problem.reason, RefusalReason::KeyReused);
        assert_eq!(problem.outcome, Outcome::NotRun);
    }
    assert_eq!(env.runs("order-2"), 1);
    env.deployment.stop();
}

#[test]
fn during_a_store_outage_an_ordinary_key_is_refused_and_a_bound_key_runs() {
    let env = TestEnvironment::start();
    env.confirm(0, "order-3", BODY).expect("an answer");
    let keys = env.caller.call_service(env.hosts()[0], "POST", "/v1/keys", None, "");
    let Err(CallError::Broken(text)) = keys else {
        panic!("keys come without the header of a service's answer");
    };
    let text = text.strip_prefix("no problem body: ").expect("the body is kept");
    let keys: serde_json::Value = serde_json::from_str(text).expect("the keys are JSON");
    let bound = keys["keys"][0].as_str().expect("there is a key").to_owned();
    env.inject(Fault::StoreOutage, 1_500);
    let problem = refusal(env.confirm(1, "order-4", BODY));
    assert_eq!(problem.reason, RefusalReason::StoreUnavailable);
    assert_eq!(problem.outcome, Outcome::Unknown);
    let first = env.confirm(1, &bound, BODY).expect("a bound key runs");
    let second = env.confirm(2, &bound, BODY).expect("its resend is answered");
    assert_eq!(first, second);
    assert_eq!(env.runs(&bound), 1);
    env.confirm_until_settled("order-4").expect("an answer once the store is back");
    assert_eq!(env.runs("order-4"), 1);
    env.deployment.stop();
}

#[test]
fn lost_store_answers_duplicate_no_call_and_every_key_settles() {
    let env = TestEnvironment::start();
    env.inject(Fault::StoreLosesAnswers { percent: 30 }, 4_000);
    for order in 0..20 {
        let key = format!("order-5-{order}");
        env.confirm_until_settled(&key).expect("an answer");
        assert_eq!(env.runs(&key), 1, "{key}");
    }
    env.deployment.stop();
}

#[test]
fn a_call_of_a_killed_host_is_unknown_and_not_repeated() {
    let mut env = TestEnvironment::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        env.inject(Fault::ServiceSlow { target: server.into(), delay_ms: 2_000 }, 10_000);
    }
    let host = env.hosts()[0];
    let caller = Caller::new("retail-key", Duration::from_secs(1));
    let sent =
        thread::spawn(move || caller.call_service(host, "POST", PATH, Some("order-6"), BODY));
    while env.runs("order-6") == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    env.deployment.kill_entry(0);
    assert!(sent.join().expect("no panic").is_err());
    env.deployment.restart_entry(0).expect("the host starts again");
    env.deployment.wait_until_ready().expect("the deployment is ready");
    for host in 0..3 {
        let problem = refusal(env.confirm(host, "order-6", BODY));
        assert_eq!(problem.outcome, Outcome::Unknown);
    }
    assert_eq!(env.runs("order-6"), 1);
    env.deployment.stop();
}

#[test]
fn an_unreachable_service_is_a_final_refusal_under_its_key() {
    let env = TestEnvironment::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        env.inject(Fault::ServiceRefuses { target: server.into() }, 1_000);
    }
    let problem = refusal(env.confirm(0, "order-7", BODY));
    assert_eq!(problem.outcome, Outcome::NotRun);
    thread::sleep(Duration::from_millis(1_200));
    let again = refusal(env.confirm(1, "order-7", BODY));
    assert_eq!(again.outcome, Outcome::NotRun);
    assert_eq!(env.runs("order-7"), 0);
    env.deployment.stop();
}
