//! Calls that may not be repeated, over several entry hosts and a faulty platform.

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
const RESEND_WAIT: Duration = Duration::from_millis(100);

struct Bench {
    deployment: Deployment,
    caller: Caller,
}

impl Bench {
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

    /// Sends a call again, host after host, as long as the answer says so.
    fn confirm_until_settled(&self, key: &str) -> Result<ServiceAnswer, CallError> {
        for host in 0..RESENDS {
            match self.confirm(host, key, BODY) {
                Err(CallError::Refused(problem)) if problem.retry_after_ms.is_some() => {
                    thread::sleep(RESEND_WAIT);
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
        other => panic!("refused, not {other:?}"),
    }
}

#[test]
fn concurrent_resends_at_all_hosts_get_one_answer() {
    let bench = Bench::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        bench.inject(Fault::ServiceSlow { target: server.into(), delay_ms: 300 }, 5_000);
    }
    let answers: Vec<ServiceAnswer> = thread::scope(|scope| {
        let send = |host| {
            let bench = &bench;
            scope.spawn(move || bench.confirm(host, "order-1", BODY))
        };
        let calls: Vec<_> = (0..9).map(send).collect();
        let answers = calls.into_iter().map(|call| call.join().expect("no panic"));
        answers.map(|answer| answer.expect("an answer")).collect()
    });
    assert!(answers.iter().all(|answer| *answer == answers[0]));
    assert_eq!(bench.runs("order-1"), 1);
    bench.deployment.stop();
}

#[test]
fn a_key_with_another_body_is_refused_on_every_host() {
    let bench = Bench::start();
    bench.confirm(0, "order-2", BODY).expect("an answer");
    for host in 0..3 {
        let problem = refusal(bench.confirm(host, "order-2", "{}"));
        assert_eq!(problem.reason, RefusalReason::KeyReused);
        assert_eq!(problem.outcome, Outcome::NotRun);
    }
    assert_eq!(bench.runs("order-2"), 1);
    bench.deployment.stop();
}

#[test]
fn while_the_store_is_away_a_key_waits_and_a_bound_key_runs() {
    let bench = Bench::start();
    bench.confirm(0, "order-3", BODY).expect("an answer");
    let keys = bench.caller.call_service(bench.hosts()[0], "POST", "/v1/keys", None, "");
    let Err(CallError::Broken(text)) = keys else {
        panic!("keys come without the header of a service's answer");
    };
    let text = text.strip_prefix("no problem body: ").expect("the body is kept");
    let keys: serde_json::Value = serde_json::from_str(text).expect("the keys are JSON");
    let bound = keys["keys"][0].as_str().expect("there is a key").to_owned();
    bench.inject(Fault::StoreOutage, 1_500);
    let problem = refusal(bench.confirm(1, "order-4", BODY));
    assert_eq!(problem.reason, RefusalReason::StoreUnavailable);
    assert_eq!(problem.outcome, Outcome::Unknown);
    let first = bench.confirm(1, &bound, BODY).expect("a bound key runs");
    let second = bench.confirm(2, &bound, BODY).expect("its resend is answered");
    assert_eq!(first, second);
    assert_eq!(bench.runs(&bound), 1);
    bench.confirm_until_settled("order-4").expect("an answer once the store is back");
    assert_eq!(bench.runs("order-4"), 1);
    bench.deployment.stop();
}

#[test]
fn lost_store_answers_double_no_call_and_settle_every_key() {
    let bench = Bench::start();
    bench.inject(Fault::StoreLosesAnswers { percent: 30 }, 4_000);
    for order in 0..20 {
        let key = format!("order-5-{order}");
        bench.confirm_until_settled(&key).expect("an answer");
        assert_eq!(bench.runs(&key), 1, "{key}");
    }
    bench.deployment.stop();
}

#[test]
fn a_call_whose_host_is_gone_is_unknown_and_not_repeated() {
    let mut bench = Bench::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        bench.inject(Fault::ServiceSlow { target: server.into(), delay_ms: 2_000 }, 10_000);
    }
    let host = bench.hosts()[0];
    let caller = Caller::new("retail-key", Duration::from_secs(1));
    let sent =
        thread::spawn(move || caller.call_service(host, "POST", PATH, Some("order-6"), BODY));
    while bench.runs("order-6") == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    bench.deployment.kill_entry(0);
    assert!(sent.join().expect("no panic").is_err());
    bench.deployment.restart_entry(0).expect("the host starts again");
    bench.deployment.wait_until_ready().expect("the deployment is ready");
    for host in 0..3 {
        let problem = refusal(bench.confirm(host, "order-6", BODY));
        assert_eq!(problem.outcome, Outcome::Unknown);
    }
    assert_eq!(bench.runs("order-6"), 1);
    bench.deployment.stop();
}

#[test]
fn an_unreachable_service_is_a_final_refusal_under_its_key() {
    let bench = Bench::start();
    for server in ["ordering-sahab", "ordering-marka", "ordering-abdali"] {
        bench.inject(Fault::ServiceRefuses { target: server.into() }, 1_000);
    }
    let problem = refusal(bench.confirm(0, "order-7", BODY));
    assert_eq!(problem.outcome, Outcome::NotRun);
    thread::sleep(Duration::from_millis(1_200));
    let again = refusal(bench.confirm(1, "order-7", BODY));
    assert_eq!(again.outcome, Outcome::NotRun);
    assert_eq!(bench.runs("order-7"), 0);
    bench.deployment.stop();
}
