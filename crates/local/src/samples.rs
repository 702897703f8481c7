//! Sample requests to both deployments, and checks of the promises to their callers.

use std::net::SocketAddr;
use std::time::Duration;

use yuccanotch_core::digest::TokenDigest;
use yuccanotch_standin::expected_answer;

use crate::client::Caller;
use crate::client::StreamedAnswer;
use crate::deployment::Deployment;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_TOKENS: u32 = 64;

/// One sample request.
#[derive(Clone, Copy, Debug)]
pub enum Sample {
    /// A request to a model.
    Chat {
        /// What it stands for.
        title: &'static str,
        /// Team.
        team: &'static str,
        /// Model.
        model: &'static str,
        /// Text of the user message.
        content: &'static str,
    },
    /// A call to a plain service, sent `sends` times with the same key to successive hosts.
    Call {
        /// What it stands for.
        title: &'static str,
        /// Team.
        team: &'static str,
        /// Method.
        method: &'static str,
        /// Path, which begins with the service's name.
        path: &'static str,
        /// Idempotency key.
        key: Option<&'static str>,
        /// Body.
        body: &'static str,
        /// Number of times that the call is sent.
        sends: usize,
    },
}

/// Sample requests to the order assistant's deployment, [`Plan::haddad`](crate::Plan::haddad).
pub const HADDAD_SAMPLES: [Sample; 3] = [
    Sample::Chat {
        title: "bag quote",
        team: "retail",
        model: "assistant",
        content: "Quote 5000 brown kraft bags, 26 by 12 by 34 cm, twisted handles, one colour.",
    },
    Sample::Call {
        title: "stock check",
        team: "bakeries",
        method: "GET",
        path: "/ordering/stock?item=kraft-90",
        key: None,
        body: "",
        sends: 1,
    },
    Sample::Call {
        title: "order confirmation and its resend",
        team: "retail",
        method: "POST",
        path: "/ordering/confirmations",
        key: Some("order-4711"),
        body: r#"{"order": 4711, "bags": 5000}"#,
        sends: 2,
    },
];

/// Sample requests to the drafting model's deployment,
/// [`Plan::association`](crate::Plan::association).
pub const ASSOCIATION_SAMPLES: [Sample; 2] = [
    Sample::Chat {
        title: "tender summary",
        team: "estimators",
        model: "redacao",
        content: "Resuma o edital de sinalização horizontal da BR-116, lote 3, em cinco pontos.",
    },
    Sample::Call {
        title: "batch registration and its resend",
        team: "inspectors",
        method: "POST",
        path: "/registro/batches",
        key: Some("batch-2031"),
        body: r#"{"batch": 2031, "paint": "acrylic-white"}"#,
        sends: 2,
    },
];

/// Result of one sample.
#[derive(Clone, Debug)]
pub struct SampleReport {
    /// Title of the sample.
    pub title: &'static str,
    /// Lines that describe the answers, for printing.
    pub lines: Vec<String>,
    /// Descriptions of broken promises; empty when all held.
    pub violations: Vec<String>,
}

/// Sends one sample to the entry hosts of a deployment and checks the answers.
pub fn run_sample(deployment: &Deployment, sample: &Sample) -> SampleReport {
    let hosts: Vec<SocketAddr> = deployment.running().map(|running| running.callers).collect();
    let mut report =
        SampleReport { title: sample_title(sample), lines: Vec::new(), violations: Vec::new() };
    match *sample {
        Sample::Chat { team, model, content, .. } => {
            run_chat(deployment, &hosts, team, model, content, &mut report);
        }
        Sample::Call { team, method, path, key, body, sends, .. } => {
            let caller = Caller::new(&deployment.plan.team_keys[team], ANSWER_TIMEOUT);
            let mut bodies = Vec::new();
            for host in hosts.iter().cycle().take(sends) {
                match caller.call_service(*host, method, path, key, body) {
                    Ok(answer) => {
                        report.lines.push(format!("{host}: {} {}", answer.status, answer.body));
                        bodies.push(answer.body);
                    }
                    Err(e) => report.violations.push(format!("{host}: {e}")),
                }
            }
            if bodies.windows(2).any(|pair| pair[0] != pair[1]) {
                report.violations.push("a resend got another answer".to_owned());
            }
            check_ran_once(deployment, key, &mut report);
        }
    }
    report
}

fn sample_title(sample: &Sample) -> &'static str {
    match sample {
        Sample::Chat { title, .. } | Sample::Call { title, .. } => title,
    }
}

fn run_chat(
    deployment: &Deployment,
    hosts: &[SocketAddr],
    team: &str,
    model: &str,
    content: &str,
    report: &mut SampleReport,
) {
    let caller = Caller::new(&deployment.plan.team_keys[team], ANSWER_TIMEOUT);
    match caller.chat(hosts[0], model, content, MAX_TOKENS, None) {
        Ok(answer) => {
            report.lines.push(format!("chain: {}", answer.closing.chain.join(" -> ")));
            report.lines.push(format!("answer:{}", answer.tokens.concat()));
            report.lines.push(format!(
                "{} tokens, digest {}, first after {}",
                answer.closing.tokens,
                &answer.closing.digest[..16],
                answer.token_arrivals.first().copied().unwrap_or_default(),
            ));
            check_model_answer(deployment, model, content, &answer, report);
        }
        Err(e) => report.violations.push(e.to_string()),
    }
}

fn check_model_answer(
    deployment: &Deployment,
    model: &str,
    content: &str,
    answer: &StreamedAnswer,
    report: &mut SampleReport,
) {
    let declared = &deployment.plan.models[model];
    let prompt = format!("user: {content}");
    let version = declared.version.as_str();
    let expected = expected_answer(model, version, declared.layers, &prompt, MAX_TOKENS);
    if answer.tokens != expected {
        report.violations.push("the answer is not the model's".to_owned());
    }
    let mut digest = TokenDigest::default();
    answer.tokens.iter().for_each(|token| digest.push(token));
    if answer.closing.digest != digest.finish().to_string() {
        report.violations.push("the closing digest does not match the tokens".to_owned());
    }
}

/// Checks in the stand-ins' own record that the call with an idempotency key ran exactly once.
fn check_ran_once(deployment: &Deployment, key: Option<&str>, report: &mut SampleReport) {
    let Some(key) = key else {
        return;
    };
    let record = deployment.standin.record();
    let runs = record.calls.iter().filter(|call| call.key.as_deref() == Some(key)).count();
    report.lines.push(format!("runs in the service's own record: {runs}"));
    if runs != 1 {
        report.violations.push(format!("the call under key {key} ran {runs} times"));
    }
}
