//! State of an engine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::ids::FencingNumber;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;

use crate::engine::cache::PrefixCache;
use crate::settings::EngineSettings;

/// The key of a run in the simulation.
pub(crate) type RunKey = u64;

/// The priority, age and key of a run that is ready for its next stage; the highest priority goes
/// first, then the run that has been ready longest.
pub(crate) type ReadyRun = (u8, Reverse<u64>, RunKey);

/// The KV cache of a request, which another engine can import.
#[derive(Clone, Debug)]
pub(crate) struct KvEntry {
    pub(crate) request: RequestId,
    pub(crate) model: ModelName,
    pub(crate) version: ModelVersion,
    pub(crate) layers: LayerRange,
}

/// The state of an engine; times are in microseconds.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) is_up: bool,
    pub(crate) boot: u64,
    pub(crate) leaving: bool,
    pub(crate) holding: Option<Holding>,
    pub(crate) role: Role,
    pub(crate) fencing: FencingNumber,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) ready: BinaryHeap<ReadyRun>,
    pub(crate) batch: Vec<RunKey>,
    pub(crate) cache: PrefixCache,
    pub(crate) kv: VecDeque<KvEntry>,
    /// The latest load report with its time.
    pub(crate) report: Option<(u64, LoadReport)>,
    pub(crate) stalled_until_us: u64,
    pub(crate) slow_until_us: u64,
    pub(crate) slow_factor: u32,
    pub(crate) skip_layer_until_us: u64,
    pub(crate) cross_frames_until_us: u64,
    pub(crate) full_until_us: u64,
    /// The number of the latest load; the end of an earlier load is ignored.
    pub(crate) load_number: u64,
}

impl Engine {
    /// Creates an engine that holds the weights and adapters of its settings.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let holding = Holding {
            model: settings.model.clone(),
            version: settings.version.clone(),
            layers: settings.layers,
            adapters: settings.adapters.iter().cloned().collect(),
        };
        let cache = PrefixCache::new(settings.behavior.cache_blocks);
        Self {
            settings,
            is_up: true,
            boot: 1,
            leaving: false,
            holding: Some(holding),
            role: Role::default(),
            fencing: FencingNumber::default(),
            running: 0,
            waiting: 0,
            ready: BinaryHeap::new(),
            batch: Vec::new(),
            cache,
            kv: VecDeque::new(),
            report: None,
            stalled_until_us: 0,
            slow_until_us: 0,
            slow_factor: 1,
            skip_layer_until_us: 0,
            cross_frames_until_us: 0,
            full_until_us: 0,
            load_number: 0,
        }
    }

    /// Returns whether it holds `layers` of a model version and the adapter, if one is given.
    pub(crate) fn holds(
        &self,
        model: &ModelName,
        version: &ModelVersion,
        layers: LayerRange,
        adapter: Option<&str>,
    ) -> bool {
        self.holding.as_ref().is_some_and(|holding| {
            holding.model == *model
                && holding.version == *version
                && holding.layers.first <= layers.first
                && layers.end <= holding.layers.end
                && adapter.is_none_or(|adapter| holding.adapters.iter().any(|a| a == adapter))
        })
    }

    /// Returns whether it can export the KV cache of a request for `layers`.
    pub(crate) fn can_export_kv(
        &self,
        request: RequestId,
        model: &ModelName,
        version: &ModelVersion,
        layers: LayerRange,
    ) -> bool {
        self.is_up
            && self.kv.iter().any(|kv| {
                kv.request == request
                    && kv.model == *model
                    && kv.version == *version
                    && kv.layers.first <= layers.first
                    && layers.end <= kv.layers.end
            })
    }

    /// Keeps the KV cache of a request and drops the oldest ones above the limit of the settings.
    pub(crate) fn keep_kv(&mut self, entry: KvEntry) {
        self.kv.push_back(entry);
        while self.kv.len() > self.settings.behavior.kv_requests {
            self.kv.pop_front();
        }
    }

    /// Returns the time of a step with `sequences` sequences and `prefill_words` words to prefill
    /// in total.
    pub(crate) fn step_us(&self, now_us: u64, sequences: u64, prefill_words: u64) -> u64 {
        let behavior = &self.settings.behavior;
        let factor = if now_us < self.slow_until_us { u64::from(self.slow_factor) } else { 1 };
        let decode = u64::from(behavior.step_sequence_us) * sequences;
        let prefill = u64::from(behavior.prefill_word_us) * prefill_words;
        (u64::from(behavior.step_base_us) + decode + prefill) * factor
    }

    /// Replaces the load report by a new one with the time `now_us`.
    pub(crate) fn update_report(&mut self, now_us: u64, links_us: Vec<(ServerName, u32)>) {
        let behavior = &self.settings.behavior;
        let sequences = u64::from(self.running.max(1));
        let kv_percent = u64::from(self.running) * 100 / u64::from(behavior.slots.max(1));
        let holdings: SmallVec<[Holding; 2]> = self.holding.iter().cloned().collect();
        let report = LoadReport {
            server: self.settings.name.clone(),
            boot: self.boot,
            age_ms: Millis::ZERO,
            running: self.running,
            waiting: self.waiting,
            slots: behavior.slots,
            step_us: u32::try_from(self.step_us(now_us, sequences, 0)).unwrap_or(u32::MAX),
            kv_percent: u8::try_from(kv_percent).unwrap_or(100),
            leaving: self.leaving,
            holdings,
            role: self.role,
            fencing: behavior.honours_fencing.then_some(self.fencing),
            links_us,
        };
        self.report = Some((now_us, report));
    }

    /// Discards the state that a crash loses and increments the boot number.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.boot += 1;
        self.ready.clear();
        self.batch.clear();
        self.cache = PrefixCache::new(self.settings.behavior.cache_blocks);
        self.kv.clear();
        self.report = None;
        self.stalled_until_us = 0;
    }
}
