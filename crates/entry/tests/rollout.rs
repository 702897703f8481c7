//! Tests of the rollout of a model version by a running entry host.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use yare::parameterized;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::parse;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::store_call::drive;
use yuccanotch_core::config::write_first_config;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_entry::engine_client::EngineClient;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_entry::Settings;
use yuccanotch_standin::EngineSettings;
use yuccanotch_standin::ModelSettings;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

const LAYERS: u16 = 8;
/// Names of the engines and the first layer of each; two engines for each layer range.
const STAGES: [(&str, u16); 4] = [("a1", 0), ("a2", 0), ("b1", 4), ("b2", 4)];
const TEAM_KEY: &str = "team-key";
/// Number of tokens of a complete answer, as limited by the model's `max_tokens`.
const ANSWER_TOKENS: u64 = 9;
const MAX_POLLS: usize = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn start_standin(honours_fencing: bool) -> Standin {
    let mut settings = StandinSettings::default();
    settings.models.insert("m".into(), ModelSettings { layers: LAYERS, weights_mb: 1_000 });
    for (name, first) in STAGES {
        let layers = LayerRange::new(first, first + 4);
        let mut engine = EngineSettings::new(name, "sahab", "m", "v1", layers);
        engine.behavior.honours_fencing = honours_fencing;
        settings.engines.push(engine);
    }
    Standin::start(settings).unwrap()
}

fn server(address: SocketAddr, version: &str, first: u16) -> Value {
    json!({"domain": "sahab", "address": address, "use": {"engine": {
        "accelerator": "large", "model": "m", "version": version,
        "layers": {"first": first, "end": first + 4},
    }}})
}

fn declaration(standin: &Standin, version: &str) -> Value {
    let servers = STAGES.iter().map(|(name, first)| {
        let address = standin.engine_address(name).unwrap();
        ((*name).to_owned(), server(address, version, *first))
    });
    json!({
        "domains": {"sahab": {"region": "amman"}},
        "models": {"m": {
            "layers": LAYERS, "version": version, "max_tokens": 9, "deadline_ms": 5_000,
            "weights_mb": 1_000,
        }},
        "teams": {"t": {"keys": [Digest::of(TEAM_KEY.as_bytes())]}},
        "rollout": {"weights_mb_per_s": 10_000},
        "servers": servers.collect::<serde_json::Map<_, _>>(),
    })
}

fn start_host(standin: &Standin) -> RunningHost {
    let settings = json!({
        "host": "entry-1", "domain": "sahab", "callers": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "store": standin.store_address(),
        "peer_keys": ["00112233445566778899aabbccddeeff"],
    });
    RunningHost::start(Settings::parse(settings.to_string().as_bytes()).unwrap()).unwrap()
}

/// Returns the version that each engine reports; `None` while an engine loads.
fn versions(standin: &Standin, client: &EngineClient) -> Vec<Option<String>> {
    let report = |(name, _): &(&str, u16)| {
        let address = standin.engine_address(name).unwrap().to_string();
        let report = client.read_load(&address).unwrap();
        report.holdings.first().map(|holding| holding.version.as_str().to_owned())
    };
    STAGES.iter().map(report).collect()
}

/// Sends a chat request; returns the version that the answer names, or the error when the answer is
/// not complete.
fn ask(running: &RunningHost) -> Result<String, String> {
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "a question"}]});
    let response = ureq::post(format!("http://{}/v1/chat/completions", running.callers))
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", format!("Bearer {TEAM_KEY}"))
        .send(body.to_string())
        .map_err(|e| e.to_string())?;
    let status = response.status();
    let text = response.into_body().read_to_string().map_err(|e| e.to_string())?;
    let answer: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let tokens = &answer["yuccanotch"]["tokens"];
    match answer["yuccanotch"]["version"].as_str() {
        Some(version) if status == 200 && *tokens == ANSWER_TOKENS => Ok(version.to_owned()),
        _ => Err(format!("{status}: {text}")),
    }
}

#[test]
fn requests_are_answered_completely_by_one_version_each_during_a_rollout() {
    let standin = start_standin(true);
    let store = StoreClient::new(standin.store_address());
    let first = declaration(&standin, "v1").to_string();
    write_first_config(&store, &parse(first.as_bytes()).unwrap()).unwrap();
    let running = start_host(&standin);
    let is_serving = (0..MAX_POLLS).any(|_| {
        thread::sleep(POLL_INTERVAL);
        ask(&running).as_deref() == Ok("v1")
    });
    assert!(is_serving, "{:?}", ask(&running));
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch: declaration(&standin, "v2") };
    let published = drive(Publisher::new(PatchId(2), change), &store, &mut |_| ());
    assert_eq!(published, PublishOutcome::Accepted(ConfigNumber(2)));
    let client = EngineClient::new();
    let mut served = vec!["v1".to_owned()];
    let done = (0..MAX_POLLS).any(|_| {
        thread::sleep(POLL_INTERVAL);
        let version = ask(&running).expect("requests are answered during a rollout");
        if served.last() != Some(&version) {
            served.push(version);
        }
        versions(&standin, &client).iter().all(|version| version.as_deref() == Some("v2"))
    });
    assert!(done, "{:?}", versions(&standin, &client));
    assert_eq!(ask(&running).as_deref(), Ok("v2"));
    assert!(served == ["v1"] || served == ["v1", "v2"], "{served:?}");
    running.kill();
}

#[parameterized(
    engines_that_honour_fencing_numbers = { true },
    engines_that_ignore_fencing_numbers = { false },
)]
fn each_layer_range_is_served_throughout_a_rollout(honours_fencing: bool) {
    let standin = start_standin(honours_fencing);
    let store = StoreClient::new(standin.store_address());
    let first = declaration(&standin, "v1").to_string();
    write_first_config(&store, &parse(first.as_bytes()).unwrap()).unwrap();
    let running = start_host(&standin);
    let patch = declaration(&standin, "v2");
    let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
    let published = drive(Publisher::new(PatchId(2), change), &store, &mut |_| ());
    assert_eq!(published, PublishOutcome::Accepted(ConfigNumber(2)));
    let client = EngineClient::new();
    let done = (0..MAX_POLLS).any(|_| {
        thread::sleep(POLL_INTERVAL);
        let versions = versions(&standin, &client);
        let loading = |stage: &[Option<String>]| stage.iter().all(Option::is_none);
        assert!(!versions.chunks(2).any(loading), "a layer range is not served: {versions:?}");
        versions.iter().all(|version| version.as_deref() == Some("v2"))
    });
    assert!(done, "{:?}", versions(&standin, &client));
    running.kill();
}
