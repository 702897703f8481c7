//! A deployment for tests: one entry host and stand-in engines in the process of the test.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::write_first_config;
use yuccanotch_core::config::Accelerator;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::config::Domain;
use yuccanotch_core::config::Model;
use yuccanotch_core::config::Placement;
use yuccanotch_core::config::Server;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::Role;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ServerName;
use yuccanotch_entry::answer::CallerGone;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::pipelines;
use yuccanotch_entry::pipelines::AnswerSummary;
use yuccanotch_entry::pipelines::ChatJob;
use yuccanotch_entry::pipelines::TokenSink;
use yuccanotch_entry::problem::Refusal;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_entry::Settings;
use yuccanotch_standin::expected_answer;
use yuccanotch_standin::EngineSettings;
use yuccanotch_standin::ModelSettings;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

pub const LAYERS: u16 = 12;
const STAGES: u16 = 3;
const REPLICAS: usize = 2;
const READY_POLLS: u32 = 500;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A platform stand-in, one entry host, and two engines for each of three stages.
pub struct TestDeployment {
    pub standin: Standin,
    pub running: Option<RunningHost>,
}

/// Collects the tokens of an answer. The caller counts as gone after `gone_after` tokens, and
/// `on_token` is called with the number of tokens so far.
#[derive(Default)]
pub struct Collector {
    pub tokens: Vec<String>,
    pub gone_after: Option<usize>,
    pub on_token: Option<Box<dyn FnMut(usize)>>,
}

impl TokenSink for Collector {
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone> {
        self.tokens.push(token.to_owned());
        if let Some(on_token) = &mut self.on_token {
            on_token(self.tokens.len());
        }
        if self.is_gone() {
            return Err(CallerGone::Closed);
        }
        Ok(())
    }

    fn is_gone(&self) -> bool {
        self.gone_after.is_some_and(|count| self.tokens.len() >= count)
    }
}

impl TestDeployment {
    /// Starts the deployment and waits until the entry host has a load report of each engine.
    pub fn start() -> Self {
        let standin = Standin::start(standin_settings()).expect("the stand-ins start");
        let store = StoreClient::new(standin.store_address());
        write_first_config(&store, &declaration(&standin)).expect("the configuration is written");
        let running = RunningHost::start(settings(&standin)).expect("the entry host starts");
        let deployment = Self { standin, running: Some(running) };
        deployment.wait_until_ready();
        deployment
    }

    fn wait_until_ready(&self) {
        let host = &self.running().host;
        for _ in 0..READY_POLLS {
            let view = host.fleet.view();
            let reported = view.servers.values().filter(|server| server.report.is_some()).count();
            if reported == REPLICAS * usize::from(STAGES) {
                return;
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        panic!("the entry host did not receive load reports of all engines");
    }

    pub fn running(&self) -> &RunningHost {
        self.running.as_ref().expect("the entry host runs")
    }

    pub fn job(&self, prompt: &str) -> ChatJob {
        let host = &self.running().host;
        ChatJob {
            request: host.next_request_id(),
            team: "retail".into(),
            model: "m".into(),
            version: "v1".into(),
            layers: LAYERS,
            prompt: prompt.to_owned(),
            max_tokens: 64,
            priority: 5,
            deadline: host.clock.now() + Millis(20_000),
        }
    }

    pub fn run(&self, job: &ChatJob, sink: &mut Collector) -> Result<AnswerSummary, Refusal> {
        pipelines::run(&self.running().host, job, sink)
    }

    pub fn expected(&self, prompt: &str) -> Vec<String> {
        expected_answer("m", "v1", LAYERS, prompt, 64)
    }

    pub fn metrics(&self) -> String {
        self.running().host.telemetry.render()
    }

    pub fn stop(mut self) {
        if let Some(running) = self.running.take() {
            running.kill();
        }
    }
}

/// Returns a prompt whose answer has at least `tokens` tokens.
pub fn prompt_with(tokens: usize) -> String {
    let prompts = (0..1_000).map(|i| format!("quote for {i} kraft bags"));
    let is_long = |prompt: &String| expected_answer("m", "v1", 1, prompt, 64).len() >= tokens;
    prompts.into_iter().find(is_long).expect("some prompt has a long answer")
}

fn standin_settings() -> StandinSettings {
    let mut settings = StandinSettings { seed: 7, ..StandinSettings::default() };
    settings.models.insert("m".into(), ModelSettings { layers: LAYERS, weights_mb: 0 });
    for (stage, replica) in replicas() {
        let name = format!("e{stage}-{replica}");
        settings.engines.push(EngineSettings::new(&name, "sahab", "m", "v1", range(stage)));
    }
    settings
}

fn replicas() -> impl Iterator<Item = (u16, usize)> {
    (0..STAGES).flat_map(|stage| (0..REPLICAS).map(move |replica| (stage, replica)))
}

fn range(stage: u16) -> LayerRange {
    let span = LAYERS / STAGES;
    LayerRange::new(stage * span, (stage + 1) * span)
}

fn declaration(standin: &Standin) -> Declaration {
    let model = Model {
        layers: LAYERS,
        version: "v1".into(),
        max_tokens: 64,
        deadline_ms: 20_000,
        weights_mb: 0,
    };
    let server = |(stage, replica): (u16, usize)| {
        let name = format!("e{stage}-{replica}");
        let address = standin.engine_address(&name).expect("the engine runs").to_string();
        let placement = Placement {
            accelerator: Accelerator::Medium,
            model: "m".into(),
            version: "v1".into(),
            layers: range(stage),
            role: Role::Both,
            adapters: Default::default(),
        };
        let used_for = ServerUse::Engine(placement);
        let server = Server { domain: "sahab".into(), address, used_for, drain: false };
        (ServerName::new(&name), server)
    };
    Declaration {
        domains: BTreeMap::from([(DomainName::new("sahab"), Domain { region: "amman".into() })]),
        models: BTreeMap::from([(ModelName::new("m"), model)]),
        servers: replicas().map(server).collect(),
        ..Declaration::default()
    }
}

fn settings(standin: &Standin) -> Settings {
    let text = format!(
        r#"{{"host": "entry-1", "domain": "sahab", "callers": "127.0.0.1:0",
            "admin": "127.0.0.1:0", "peer": "127.0.0.1:0", "store": "{}", "seed": 7,
            "peer_keys": ["000102030405060708090a0b0c0d0e0f"]}}"#,
        standin.store_address()
    );
    Settings::parse(text.as_bytes()).expect("the settings are valid")
}
