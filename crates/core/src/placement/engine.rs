//! The published figures of a model engine, and what follows from them.

use serde::Deserialize;
use serde::Serialize;

/// A range of layers, from `from` up to and without `to`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// The first layer.
    pub from: u16,
    /// The layer after the last one.
    pub to: u16,
}

impl LayerRange {
    /// Creates a range.
    pub fn new(from: u16, to: u16) -> Self {
        Self { from, to }
    }

    /// Returns the number of layers.
    pub fn len(self) -> u16 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range has no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Returns whether every layer of `other` is in this range.
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// The name that servers report.
    pub name: String,
    /// The memory, in MB.
    pub memory_mb: f64,
    /// The factor on the time of a token step.
    pub step_time_factor: f64,
    /// The factor on the time of reading a prompt.
    pub prefill_time_factor: f64,
}

/// The published figures of a service of model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Layers of the model.
    pub layers: u16,
    /// The memory of one layer, in MB.
    pub layer_mb: f64,
    /// The memory of one token over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Tokens that a server with all layers is meant to hold.
    pub nominal_capacity_tokens: f64,
    /// The fixed time of a token step through all layers, in ms.
    pub step_ms: f64,
    /// The time that each writing request adds to a step, in ms.
    pub per_seq_ms: f64,
    /// The time that 1,000 tokens of context add to a step, in ms.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a second through all layers.
    pub prefill_tokens_per_s: f64,
    /// The most prompt tokens that a pass reads.
    pub prefill_chunk_tokens: f64,
    /// Requests that a server takes as the first one of a path.
    pub first_stage_slots: u32,
    /// Token steps that a pass runs.
    pub decode_steps_per_pass: u32,
    /// The mean prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// The mean answer, in tokens.
    pub mean_answer_tokens: f64,
    /// The age of what servers report, in ms.
    pub report_lag_ms: f64,
    /// Loads of weights that run at once at full speed.
    pub max_parallel_loads: u32,
    /// The time that all layers take to load, in ms.
    pub load_ms: f64,
    /// The kinds of accelerator.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineProfile {
    /// Returns the kind called `name`.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Returns the bytes of one token in one layer.
    fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_bytes_per_token / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns the most layers of `kind` that leave room for `tokens` tokens.
    pub fn max_layers_for_tokens(&self, kind: &AcceleratorKind, tokens: f64) -> u16 {
        let per_layer = self.layer_mb + tokens * self.kv_mb_per_token_layer();
        let layers = (kind.memory_mb / per_layer).floor();
        (layers as u16).min(self.layers)
    }

    /// Returns the tokens that a server of `kind` with `layers` layers has room for.
    pub fn token_capacity(&self, kind: &AcceleratorKind, layers: u16) -> f64 {
        if layers == 0 {
            return 0.0;
        }
        self.token_layer_capacity(kind, layers) / f64::from(layers)
    }

    /// Returns the room of a server of `kind` with `layers` layers, in tokens times layers.
    pub fn token_layer_capacity(&self, kind: &AcceleratorKind, layers: u16) -> f64 {
        let kv_memory_mb = kind.memory_mb - self.layer_mb * f64::from(layers);
        (kv_memory_mb / self.kv_mb_per_token_layer()).max(0.0)
    }

    /// Returns the time of one token step through `layers` layers of `kind`, in ms.
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

    /// Returns the tokens that a server of `kind` with `layers` layers reads in a ms while `active`
    /// requests with `context` tokens write: a pass reads one chunk and runs its steps.
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

    /// Returns the time of reading `tokens` tokens through `layers` layers of `kind`, in ms.
    pub fn prefill_ms(&self, kind: &AcceleratorKind, layers: u16, tokens: f64) -> f64 {
        let all_layers_ms = tokens / self.prefill_tokens_per_s.max(1.0) * 1e3;
        kind.prefill_time_factor * all_layers_ms * f64::from(layers) / f64::from(self.layers.max(1))
    }
}
