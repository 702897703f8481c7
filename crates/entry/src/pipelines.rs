//! Runs of a request on a chain of backend servers.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::digest::TokenDigest;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::EndFrame;
use yuccanotch_core::engine::Finish;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::Hop;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::engine::TokenFrame;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::FrameFault;
use yuccanotch_core::reason::RefusalReason;

use crate::answer::CallerGone;
use crate::engine_client::CallError;
use crate::fleet::FleetView;
use crate::fleet::Health;
use crate::host::Host;
use crate::problem::Refusal;

const RETRY_AFTER: Millis = Millis(500);

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ChatJob {
    /// Request.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Model.
    pub model: ModelName,
    /// Version of the weights for the whole answer.
    pub version: ModelVersion,
    /// Number of layers of the model.
    pub layers: u16,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// When the answer has to be whole.
    pub deadline: Millis,
}

/// Takes the tokens of an answer in order.
pub trait TokenSink {
    /// Takes the next token.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller is gone.
    fn token(&mut self, token: &str) -> Result<(), CallerGone>;

    /// Returns whether the caller is gone.
    fn is_gone(&self) -> bool;
}

/// Closes a whole answer.
#[derive(Clone, Debug)]
pub struct Closing {
    /// Number of tokens.
    pub count: u32,
    /// Digest of the tokens.
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Attempts that the answer took.
    pub attempts: u32,
    /// Chain that completed the answer.
    pub chain: Chain,
}

/// Runs a request and hands its tokens to `sink`.
///
/// # Errors
///
/// Refuses when no whole answer could be had before the deadline.
pub fn run(host: &Host, job: &ChatJob, sink: &mut dyn TokenSink) -> Result<Closing, Refusal> {
    let chain = choose_chain(&host.fleet.view(), job).ok_or_else(|| {
        Refusal::not_run(RefusalReason::NoChain, "no chain of backend servers covers the model")
            .retry_after(RETRY_AFTER)
    })?;
    let attempt = Attempt(1);
    let run = RunRequest {
        request: job.request,
        attempt,
        model: job.model.clone(),
        version: job.version.clone(),
        adapter: None,
        chain: chain.clone(),
        prompt: job.prompt.clone(),
        released: Vec::new(),
        max_tokens: job.max_tokens,
        priority: job.priority,
        deadline_ms: job.deadline.since(host.clock.now()),
        kv_from: Default::default(),
    };
    let result = relay(host, job, &run, sink);
    if result.is_err() {
        host.engines.cancel(&chain[0].address, &CancelRequest { request: job.request, attempt });
    }
    let end = result?;
    Ok(Closing {
        count: end.count,
        digest: end.digest,
        finish: end.finish,
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
        attempts: attempt.0,
        chain,
    })
}

fn choose_chain(view: &FleetView, job: &ChatJob) -> Option<Chain> {
    let mut chain = Chain::new();
    let mut layer = 0;
    while layer < job.layers {
        let hop = view
            .servers
            .values()
            .filter(|server| !server.leaving && !server.suspected)
            .filter_map(|server| {
                let report = server.report.as_ref()?;
                let holding = report.holdings.iter().find(|holding| {
                    holding.model == job.model
                        && holding.version == job.version
                        && holding.layers.first == layer
                })?;
                Some((report.running + report.waiting, server, holding.layers))
            })
            .min_by_key(|(load, server, _)| (*load, server.name.clone()))
            .map(|(_, server, layers)| Hop {
                server: server.name.clone(),
                address: server.address.clone(),
                layers,
            })?;
        layer = hop.layers.end;
        chain.push(hop);
    }
    Some(chain)
}

fn relay(
    host: &Host,
    job: &ChatJob,
    run: &RunRequest,
    sink: &mut dyn TokenSink,
) -> Result<EndFrame, Refusal> {
    let mut stream = host.engines.run(run).map_err(|e| to_refusal(host, run, &e))?;
    let mut digest = TokenDigest::default();
    let mut count = 0;
    loop {
        let frame = stream.next_frame().map_err(|e| to_refusal(host, run, &e))?;
        let Some(frame) = frame else {
            return Err(Refusal::not_run(RefusalReason::ServerFailed, "the stream was truncated"));
        };
        let fault = match frame {
            Ok(Frame::Token(frame)) => match check_token(job, run, count, &frame) {
                Ok(()) => {
                    sink.token(&frame.token)
                        .map_err(|e| Refusal::not_run(RefusalReason::CallerGone, e.to_string()))?;
                    digest.push(&frame.token);
                    count += 1;
                    continue;
                }
                Err(fault) => fault,
            },
            Ok(Frame::End(frame)) => {
                if frame.count == count && frame.digest == digest.finish() {
                    return Ok(frame);
                }
                FrameFault::Digest
            }
            Ok(Frame::Error(frame)) => {
                let text = format!("{:?} at {}", frame.fault, frame.server);
                return Err(Refusal::not_run(RefusalReason::ServerFailed, text));
            }
            Err(_) => FrameFault::Malformed,
        };
        host.telemetry.frame_fault(fault);
        return Err(Refusal::not_run(RefusalReason::ServerFailed, fault.as_str()));
    }
}

fn check_token(
    job: &ChatJob,
    run: &RunRequest,
    count: u32,
    frame: &TokenFrame,
) -> Result<(), FrameFault> {
    if frame.request != job.request {
        return Err(FrameFault::WrongRequest);
    }
    if frame.attempt != run.attempt {
        return Err(FrameFault::OldAttempt);
    }
    if frame.index != count {
        return Err(FrameFault::Gap);
    }
    let hops = run.chain.iter().map(|hop| (&hop.server, hop.layers));
    if !frame.receipt.iter().map(|part| (&part.server, part.layers)).eq(hops) {
        return Err(FrameFault::Layers);
    }
    if frame.receipt.iter().any(|part| part.version != job.version) {
        return Err(FrameFault::WrongVersion);
    }
    Ok(())
}

fn to_refusal(host: &Host, run: &RunRequest, e: &CallError) -> Refusal {
    if let (CallError::NotSent, Some(hop)) = (e, run.chain.first()) {
        host.fleet.report(&hop.server, Health::Failed);
    }
    Refusal::not_run(RefusalReason::ServerFailed, e.to_string()).retry_after(RETRY_AFTER)
}
