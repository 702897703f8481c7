//! Tests of the stand-ins through their ports.

use std::io::BufRead;
use std::io::BufReader;

use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::Hop;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;

use crate::expected_answer;
use crate::EngineSettings;
use crate::ModelSettings;
use crate::ServiceSettings;
use crate::Standin;
use crate::StandinSettings;

mod bound;
mod engines;
mod platform;
mod services;

const LAYERS: u16 = 12;

/// Starts two engines for each of three stages and one server of a plain service.
fn start() -> Standin {
    let mut settings = StandinSettings { seed: 7, ..StandinSettings::default() };
    settings.models.insert("m".into(), ModelSettings { layers: LAYERS, weights_mb: 0 });
    for stage in 0..3 {
        for (i, domain) in ["sahab", "marka"].into_iter().enumerate() {
            let layers = LayerRange::new(stage * 4, stage * 4 + 4);
            let name = format!("e{stage}-{i}");
            settings.engines.push(EngineSettings::new(&name, domain, "m", "v1", layers));
        }
    }
    settings.services.push(ServiceSettings::new("ordering-0", "sahab", "ordering"));
    Standin::start(settings).unwrap()
}

/// Returns the chain of the engines with the number `i` of each stage.
fn chain(standin: &Standin, i: usize) -> Chain {
    let hop = |stage: u16| {
        let server = format!("e{stage}-{i}");
        Hop {
            address: standin.engine_address(&server).unwrap().to_string(),
            server: server.as_str().into(),
            layers: LayerRange::new(stage * 4, stage * 4 + 4),
        }
    };
    (0..3).map(hop).collect()
}

fn run_request(standin: &Standin, prompt: &str) -> RunRequest {
    RunRequest {
        request: RequestId(1),
        attempt: Attempt(1),
        model: "m".into(),
        version: "v1".into(),
        adapter: None,
        chain: chain(standin, 0),
        prompt: prompt.to_owned(),
        released: Vec::new(),
        max_tokens: 100,
        priority: 5,
        deadline_ms: yuccanotch_core::clock::Millis(10_000),
        kv_from: Default::default(),
    }
}

/// Sends a run request and returns all frames until the stream ends or is cut.
fn frames(req: &RunRequest) -> Vec<Frame> {
    let url = format!("http://{}/v1/run", req.chain[0].address);
    let answer = ureq::post(&url).send_json(req).unwrap();
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    lines.map_while(Result::ok).map(|line| serde_json::from_str(&line).unwrap()).collect()
}

fn tokens(frames: &[Frame]) -> Vec<String> {
    let token = |frame: &Frame| match frame {
        Frame::Token(frame) => Some(frame.token.clone()),
        Frame::End(_) | Frame::Error(_) => None,
    };
    frames.iter().filter_map(token).collect()
}

fn expected(prompt: &str) -> Vec<String> {
    expected_answer("m", "v1", LAYERS, prompt, 100)
}
