//! The published performance figures of a model engine, and the capacities and times derived from
//! them.

use serde::Deserialize;
use serde::Serialize;

/// A half-open range of layers, from `from` up to but excluding `to`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// The first layer.
    pub from: u16,
    /// The layer after the last one.
    pub to: u16,
}

impl LayerRange {
    /// Creates the range of the layers from `from` up to but excluding `to`.
    pub fn new(from: u16, to: u16) -> Self {
        Self { from, to }
    }

    /// Returns the number of layers.
    pub fn len(self) -> u16 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range contains no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Returns whether the range contains every layer of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

/// A kind of accelerator, with its memory and its speed relative to the figures of the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// The name under which servers report it.
    pub name: String,
    /// The memory, in MB.
    pub memory_mb: f64,
    /// The factor by which a decode step takes longer than [`EngineProfile::step_ms`] states.
    pub step_time_factor: f64,
    /// The factor by which prefill takes longer than [`EngineProfile::prefill_tokens_per_s`]
    /// states.
    pub prefill_time_factor: f64,
}

/// The published performance figures of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The number of layers of the model.
    pub layers: u16,
    /// The memory that the weights of one layer take, in MB.
    pub layer_mb: f64,
    /// The memory that the KV cache of one token takes over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// The number of tokens whose KV cache a server is meant to hold for each of its layers.
    pub nominal_capacity_tokens: f64,
    /// The time of a decode step through all layers without requests, in ms.
    pub step_ms: f64,
    /// The time that each request in the batch adds to a decode step, in ms.
    pub per_seq_ms: f64,
    /// The time that 1,000 tokens of context in the batch add to a decode step, in ms.
    pub context_ms_per_k: f64,
    /// The number of prompt tokens that go through all layers in a second of prefill.
    pub prefill_tokens_per_s: f64,
    /// The most prompt tokens that one pass of an engine prefills.
    pub prefill_chunk_tokens: f64,
    /// The number of requests that a server accepts as the first of their chain.
    pub first_stage_slots: u32,
    /// The number of decode steps that one pass of an engine runs.
    pub decode_steps_per_pass: u32,
    /// The mean length of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// The mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// The age of the reports of servers when they arrive, in ms.
    pub report_lag_ms: f64,
    /// The number of servers that can load weights at the same time at full speed.
    pub max_parallel_loads: u32,
    /// The time that loading the weights of all layers takes, in ms.
    pub load_ms: f64,
    /// The capacity of the link that the failure domains share, in Mbit/s; `None` if it is not
    /// known.
    pub inter_domain_mbps: Option<f64>,
    /// The activations that one token sends over each hop between stages, in bytes.
    pub activation_bytes: f64,
    /// The kinds of accelerator on which the engines run.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineProfile {
    /// Returns the kind of accelerator that has the name `name`.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Returns the number of tokens per second whose activations the link between failure domains
    /// carries; `None` if its capacity or the size of activations is not known.
    pub fn inter_domain_tokens_per_s(&self) -> Option<f64> {
        let bytes_per_s = self.inter_domain_mbps? * 1e6 / 8.0;
        let is_known = bytes_per_s > 0.0 && self.activation_bytes > 0.0;
        is_known.then(|| bytes_per_s / self.activation_bytes)
    }

    /// Returns whether a server can hold the layers of `range`: there are some, and the model has them.
    pub fn has_layers(&self, range: LayerRange) -> bool {
        !range.is_empty() && range.to <= self.layers
    }

    /// Returns the memory that the KV cache of one token takes in one layer, in MB.
    fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_bytes_per_token / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns the most layers that an accelerator of `kind` can hold together with the KV cache of
    /// `tokens` tokens.
    pub fn max_layers_for_tokens(&self, kind: &AcceleratorKind, tokens: f64) -> u16 {
        let per_layer = self.layer_mb + tokens * self.kv_mb_per_token_layer();
        let layers = (kind.memory_mb / per_layer).floor();
        (layers as u16).min(self.layers)
    }

    /// Returns the number of tokens whose KV cache fits on an accelerator of `kind` that holds
    /// `layers` layers.
    pub fn token_capacity(&self, kind: &AcceleratorKind, layers: u16) -> f64 {
        if layers == 0 {
            return 0.0;
        }
        self.token_layer_capacity(kind, layers) / f64::from(layers)
    }

    /// Returns the capacity of the KV cache of an accelerator of `kind` that holds `layers` layers,
    /// in tokens times layers.
    pub fn token_layer_capacity(&self, kind: &AcceleratorKind, layers: u16) -> f64 {
        let kv_memory_mb = kind.memory_mb - self.layer_mb * f64::from(layers);
        (kv_memory_mb / self.kv_mb_per_token_layer()).max(0.0)
    }

    /// Returns the time of one decode step through `layers` layers on `kind`, in ms, for `active`
    /// requests that have `context` tokens in total.
    pub fn decode_step_ms(
        &self,
        kind: &AcceleratorKind,
        layers: u16,
        active: f64,
        context: f64,
    ) -> f64 {
        let all_layers_ms =
            self.step_ms + self.per_seq_ms * active + self.context_ms_per_k * context / 1e3;
        kind.step_time_factor * all_layers_ms * f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Returns the number of tokens that a server of `kind` with `layers` layers prefills in a ms
    /// while it decodes for `active` requests that have `context` tokens in total.
    ///
    /// Each pass of an engine prefills one chunk and runs its decode steps.
    pub fn prefill_tokens_per_ms(
        &self,
        kind: &AcceleratorKind,
        layers: u16,
        active: f64,
        context: f64,
    ) -> f64 {
        let steps = f64::from(self.decode_steps_per_pass)
            * self.decode_step_ms(kind, layers, active, context);
        let chunk = self.prefill_chunk_tokens.max(1.0);
        chunk / (self.prefill_ms(kind, layers, chunk) + steps).max(0.01)
    }

    /// Returns the time that the prefill of `tokens` tokens through `layers` layers takes on
    /// `kind`, in ms.
    pub fn prefill_ms(&self, kind: &AcceleratorKind, layers: u16, tokens: f64) -> f64 {
        let all_layers_ms = tokens / self.prefill_tokens_per_s.max(1.0) * 1e3;
        kind.prefill_time_factor * all_layers_ms * f64::from(layers) / f64::from(self.layers.max(1))
    }
}
