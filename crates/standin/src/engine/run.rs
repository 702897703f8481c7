//! A run of a request on a chain of engines.

use smallvec::SmallVec;
use tokio::sync::mpsc;
use yuccanotch_core::digest::TokenDigest;
use yuccanotch_core::engine::EndFrame;
use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::ErrorFrame;
use yuccanotch_core::engine::Finish;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::LayerReceipt;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::engine::TokenFrame;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;

use crate::http::StreamPart;
use crate::token;

/// A stage of a run.
#[derive(Clone, Debug)]
pub(crate) struct Stage {
    /// The index of the engine.
    pub(crate) engine: usize,
    /// The layers to execute.
    pub(crate) layers: LayerRange,
    /// The model version that the engine held when the run began.
    pub(crate) version: ModelVersion,
    /// The number of words to prefill in the first pass.
    pub(crate) prefill_words: u32,
}

/// A run in progress or waiting.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) req: RunRequest,
    pub(crate) stages: SmallVec<[Stage; 4]>,
    pub(crate) tx: mpsc::UnboundedSender<StreamPart>,
    /// The index of the run's record in the simulation.
    pub(crate) record_index: usize,
    /// Whether the run holds a slot on each engine of its chain.
    pub(crate) started: bool,
    /// Whether the first pass, which includes the prefill, has not ended yet.
    pub(crate) prefill: bool,
    pub(crate) cached_tokens: u32,
    pub(crate) prompt_tokens: u32,
    /// The stage whose engine this run crashes, if its prompt is marked.
    pub(crate) crash_at_stage: Option<usize>,
    pub(crate) current_stage: usize,
    /// The hash of the model, the prompt and all tokens so far.
    context: u64,
    /// The hash after the layers executed so far for the current token.
    activation: u64,
    /// The number of tokens so far, including the released ones.
    count: u32,
    /// The number of tokens in the complete answer.
    len: u32,
    finish: Finish,
    digest: TokenDigest,
    receipt: SmallVec<[LayerReceipt; 4]>,
}

impl Run {
    /// Creates a run that continues after its released tokens.
    pub(crate) fn new(
        req: RunRequest,
        stages: SmallVec<[Stage; 4]>,
        tx: mpsc::UnboundedSender<StreamPart>,
        record_index: usize,
    ) -> Self {
        let mut context = token::initial_context(req.model.as_str(), &req.prompt);
        let mut digest = TokenDigest::default();
        for released in &req.released {
            context = token::extend_context(context, released);
            digest.push(released);
        }
        let unlimited_len = token::answer_len(&req.prompt);
        let len = unlimited_len.min(req.max_tokens);
        let finish = if unlimited_len <= req.max_tokens { Finish::Stop } else { Finish::Length };
        let words = req.prompt.split_whitespace().count();
        Self {
            count: u32::try_from(req.released.len()).unwrap_or(u32::MAX),
            prompt_tokens: u32::try_from(words).unwrap_or(u32::MAX),
            req,
            stages,
            tx,
            record_index,
            started: false,
            prefill: true,
            cached_tokens: 0,
            crash_at_stage: None,
            current_stage: 0,
            context,
            activation: context,
            len,
            finish,
            digest,
            receipt: SmallVec::new(),
        }
    }

    /// Executes the layers of a stage for the current token, without the last one if `skip_layer`.
    pub(crate) fn run_stage(&mut self, stage: usize, server: &ServerName, skip_layer: bool) {
        let Stage { layers, version, .. } = &self.stages[stage];
        let mut layers = *layers;
        if skip_layer && layers.len() > 1 {
            layers.end -= 1;
        }
        let version_hash = token::version_hash(version.as_str());
        for layer in layers.first..layers.end {
            self.activation = token::apply_layer(self.activation, version_hash, layer);
        }
        let version = version.clone();
        self.receipt.push(LayerReceipt { server: server.clone(), layers, version });
    }

    /// Returns whether the answer has all its tokens.
    pub(crate) fn is_complete(&self) -> bool {
        self.count >= self.len
    }

    /// Returns the number of tokens so far, including the released ones.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether the engine is the first of the chain.
    pub(crate) fn starts_at(&self, engine: usize) -> bool {
        self.stages.first().is_some_and(|stage| stage.engine == engine)
    }

    /// Completes the current token, sends its frame and returns the frame.
    pub(crate) fn emit_token(&mut self) -> Frame {
        let token = token::token_text(self.activation);
        self.context = token::extend_context(self.context, &token);
        self.activation = self.context;
        self.digest.push(&token);
        let frame = TokenFrame {
            request: self.req.request,
            attempt: self.req.attempt,
            index: self.count,
            token,
            receipt: std::mem::take(&mut self.receipt),
        };
        self.count += 1;
        self.prefill = false;
        let frame = Frame::Token(frame);
        self.send(&frame);
        frame
    }

    /// Sends the end frame and ends the stream.
    pub(crate) fn emit_end(&self) {
        let frame = EndFrame {
            request: self.req.request,
            attempt: self.req.attempt,
            count: self.count,
            digest: self.digest.finish(),
            finish: self.finish,
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
        };
        self.send(&Frame::End(frame));
        let _ = self.tx.send(StreamPart::End);
    }

    /// Sends an error frame and ends the stream.
    pub(crate) fn emit_error(&self, fault: EngineFault, server: &ServerName) {
        self.send(&Frame::Error(error_frame(&self.req, fault, server)));
        let _ = self.tx.send(StreamPart::End);
    }

    /// Sends a frame as a line of JSON.
    pub(crate) fn send(&self, frame: &Frame) {
        let mut line = serde_json::to_vec(frame).unwrap_or_default();
        line.push(b'\n');
        // A closed receiver is detected with `tx.is_closed` before the next token.
        let _ = self.tx.send(StreamPart::Chunk(line));
    }
}

/// Creates the error frame of a run.
pub(crate) fn error_frame(req: &RunRequest, fault: EngineFault, server: &ServerName) -> ErrorFrame {
    ErrorFrame { request: req.request, attempt: req.attempt, fault, server: server.clone() }
}
