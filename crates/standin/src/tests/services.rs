//! Tests of plain services.

use crate::tests::start;
use crate::Fault;
use crate::FaultRequest;
use crate::Standin;

fn confirm(standin: &Standin, key: &str) -> Result<serde_json::Value, ureq::Error> {
    let address = standin.service_address("ordering-0").unwrap();
    let req = ureq::post(format!("http://{address}/confirm")).header("idempotency-key", key);
    let mut answer = req.send(r#"{"bags": 200}"#)?;
    answer.body_mut().read_json()
}

fn inject(standin: &Standin, fault: Fault) {
    standin.inject(FaultRequest { fault, for_ms: 60_000 }).unwrap();
}

#[test]
fn each_execution_is_recorded_under_its_key() {
    let standin = start();
    let first = confirm(&standin, "k1").unwrap();
    assert_eq!((first["run"].as_u64(), first["body"]["bags"].as_u64()), (Some(1), Some(200)));
    confirm(&standin, "k1").unwrap();
    let runs = standin.stop().runs_by_key();
    assert_eq!(runs[&("ordering".into(), "k1".to_owned())], 2);
}

#[test]
fn a_call_with_a_lost_answer_is_recorded_and_a_lost_call_is_not() {
    let standin = start();
    inject(&standin, Fault::ServiceLosesAnswers { target: "ordering-0".into() });
    assert!(confirm(&standin, "answered").is_err());
    inject(&standin, Fault::Heal);
    inject(&standin, Fault::ServiceLosesCalls { target: "ordering-0".into() });
    assert!(confirm(&standin, "lost").is_err());
    let calls = standin.stop().calls;
    let keys: Vec<&str> = calls.iter().filter_map(|call| call.key.as_deref()).collect();
    assert_eq!(keys, ["answered"]);
}

#[test]
fn a_refused_connection_executes_nothing() {
    let standin = start();
    inject(&standin, Fault::ServiceRefuses { target: "ordering-0".into() });
    // The port closes on another thread, so calls may still succeed for a moment.
    while confirm(&standin, "before").is_ok() {
        std::thread::yield_now();
    }
    let before = standin.record().calls.len();
    assert!(confirm(&standin, "refused").is_err());
    assert_eq!(standin.stop().calls.len(), before);
}
