//! Settings of the stand-ins, read from JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::finding::pointer_token;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::finding::Findings;
use yuccanotch_core::name::is_valid_name;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;

/// The settings of all stand-ins in a process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinSettings {
    /// The seed of the random number generators.
    pub seed: u64,
    /// The loopback port of the store and the host list; 0 for any free port.
    pub store_port: u16,
    /// The loopback port of the admin calls; 0 for any free port.
    pub admin_port: u16,
    /// The platform's store, host list and weight store.
    pub platform: PlatformSettings,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelSettings>,
    /// The model engines.
    pub engines: Vec<EngineSettings>,
    /// The servers of plain services.
    pub services: Vec<ServiceSettings>,
    /// The delays of links between engines.
    pub links: LinkSettings,
    /// The entry hosts that are in the host list from the start.
    pub entry_hosts: Vec<ListedHost>,
}

/// Settings of the platform's store, host list and weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The maximum number of reads and watches per second.
    pub reads_per_s: u32,
    /// The maximum number of writes and lease calls per second.
    pub writes_per_s: u32,
    /// The time to answer a call, in milliseconds.
    pub answer_ms: u64,
    /// The time from a change of the host list until it is served, in milliseconds.
    pub host_list_lag_ms: u64,
    /// The throughput of the weight store, shared by all engines, in megabytes per second.
    pub weights_mb_per_s: u32,
    /// The failure domains that have a store port of their own, so that each can be cut off alone.
    pub domains: Vec<DomainName>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            reads_per_s: 2000,
            writes_per_s: 400,
            answer_ms: 1,
            host_list_lag_ms: 1000,
            weights_mb_per_s: 10_000,
            domains: Vec::new(),
        }
    }
}

/// Settings of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// The number of layers.
    pub layers: u16,
    /// The size of the weights of all layers, in megabytes.
    #[serde(default)]
    pub weights_mb: u32,
}

/// Settings of a model engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The name of the server.
    pub name: ServerName,
    /// The failure domain.
    pub domain: DomainName,
    /// The loopback port; 0 for any free port.
    #[serde(default)]
    pub port: u16,
    /// The model held at the start.
    pub model: ModelName,
    /// The model version held at the start.
    pub version: ModelVersion,
    /// The layers held at the start.
    pub layers: LayerRange,
    /// The adapters held at the start.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The speed and the limits.
    #[serde(default)]
    pub behavior: EngineBehavior,
}

impl EngineSettings {
    /// Creates settings with the default behavior, any free port and no adapters.
    pub fn new(name: &str, domain: &str, model: &str, version: &str, layers: LayerRange) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            port: 0,
            model: model.into(),
            version: version.into(),
            layers,
            adapters: Vec::new(),
            behavior: EngineBehavior::default(),
        }
    }
}

/// The speed and the limits of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehavior {
    /// The time of a step without the time for its sequences, in microseconds.
    pub step_base_us: u32,
    /// The additional time of a step for each sequence in its batch, in microseconds.
    pub step_sequence_us: u32,
    /// The prefill time for each word that is not cached, in microseconds.
    pub prefill_word_us: u32,
    /// The maximum number of runs in progress, which is also the maximum batch size.
    pub slots: u32,
    /// The maximum number of waiting runs.
    pub queue: u32,
    /// The maximum number of prefixes in the prefix cache.
    pub cache_blocks: usize,
    /// The number of requests whose KV cache can still be exported after their run.
    pub kv_requests: usize,
    /// The time between two load reports, which is their maximum age, in milliseconds.
    pub report_every_ms: u64,
    /// The delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// The share of cache events that are lost, in percent.
    pub cache_event_loss_percent: u8,
    /// Whether orders with an old fencing number are refused.
    pub honours_fencing: bool,
    /// The time from a crash by a marked prompt to the next boot, in milliseconds.
    pub restart_ms: u64,
    /// The time from the crash of a stage until the first server of the chain reports it, in
    /// milliseconds.
    pub stage_lost_ms: u64,
}

impl Default for EngineBehavior {
    fn default() -> Self {
        Self {
            step_base_us: 2000,
            step_sequence_us: 100,
            prefill_word_us: 20,
            slots: 32,
            queue: 32,
            cache_blocks: 4096,
            kv_requests: 256,
            report_every_ms: 100,
            cache_event_lag_ms: 100,
            cache_event_loss_percent: 2,
            honours_fencing: true,
            restart_ms: 2000,
            stage_lost_ms: 5,
        }
    }
}

/// Settings of a server of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The name of the server.
    pub name: ServerName,
    /// The failure domain.
    pub domain: DomainName,
    /// The name of the service.
    pub service: ServiceName,
    /// The loopback port; 0 for any free port.
    #[serde(default)]
    pub port: u16,
    /// The time to execute a call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

impl ServiceSettings {
    /// Creates settings with any free port and no execution time.
    pub fn new(name: &str, domain: &str, service: &str) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            service: service.into(),
            port: 0,
            delay_ms: 0,
        }
    }
}

/// The one-way delays between engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// The delay within a failure domain, in microseconds.
    pub same_domain_us: u32,
    /// The delay between failure domains, in microseconds.
    pub cross_domain_us: u32,
    /// The delays of particular pairs of servers, for both directions.
    pub pairs: Vec<LinkPair>,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { same_domain_us: 50, cross_domain_us: 400, pairs: Vec::new() }
    }
}

/// The delay between two particular engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPair {
    /// The first server.
    pub a: ServerName,
    /// The second server.
    pub b: ServerName,
    /// The one-way delay, in microseconds.
    pub us: u32,
}

impl StandinSettings {
    /// Parses settings from JSON and checks them.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let settings: Self = serde_json::from_slice(text)
            .map_err(|e| vec![Finding { pointer: String::new(), text: e.to_string() }])?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn check(&self) -> Result<(), Vec<Finding>> {
        let mut findings = Findings::new();
        for (name, model) in &self.models {
            let at = format!("/models/{}", pointer_token(name.as_str()));
            check_name(&mut findings, &at, name.as_str());
            findings.check(model.layers > 0, &format!("{at}/layers"), at_least_one);
        }
        let mut names = BTreeSet::new();
        for (i, engine) in self.engines.iter().enumerate() {
            let at = format!("/engines/{i}");
            check_server(&mut findings, &mut names, &at, &engine.name, &engine.domain);
            self.check_engine(&mut findings, &at, engine);
        }
        for (i, service) in self.services.iter().enumerate() {
            let at = format!("/services/{i}");
            check_server(&mut findings, &mut names, &at, &service.name, &service.domain);
            check_name(&mut findings, &format!("{at}/service"), service.service.as_str());
        }
        findings.into_result(())
    }

    fn check_engine(&self, findings: &mut Findings, at: &str, engine: &EngineSettings) {
        let Some(model) = self.models.get(&engine.model) else {
            findings.add(
                format!("{at}/model"),
                format!("model {:?} does not exist", engine.model.as_str()),
            );
            return;
        };
        findings.check(
            !engine.layers.is_empty() && engine.layers.end <= model.layers,
            &format!("{at}/layers"),
            || format!("must be a non-empty range within 0..{}", model.layers),
        );
        let behavior = &engine.behavior;
        findings.check(behavior.slots > 0, &format!("{at}/behavior/slots"), at_least_one);
        findings.check(
            behavior.report_every_ms > 0,
            &format!("{at}/behavior/report_every_ms"),
            at_least_one,
        );
        findings.check(
            behavior.cache_event_loss_percent <= 100,
            &format!("{at}/behavior/cache_event_loss_percent"),
            || "must be at most 100".to_owned(),
        );
    }
}

fn at_least_one() -> String {
    "must be at least 1".to_owned()
}

fn check_name(findings: &mut Findings, at: &str, name: &str) {
    findings.check(is_valid_name(name), at, || {
        "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'".to_owned()
    });
}

fn check_server(
    findings: &mut Findings,
    names: &mut BTreeSet<ServerName>,
    at: &str,
    name: &ServerName,
    domain: &DomainName,
) {
    check_name(findings, &format!("{at}/name"), name.as_str());
    check_name(findings, &format!("{at}/domain"), domain.as_str());
    findings.check(names.insert(name.clone()), &format!("{at}/name"), || {
        format!("another server is also named {:?}", name.as_str())
    });
}

/// Returns the host list entry of a server at `address`.
pub(crate) fn host_list_entry(
    name: &ServerName,
    domain: &DomainName,
    address: String,
    kind: HostKind,
) -> ListedHost {
    ListedHost {
        name: name.as_str().to_owned(),
        domain: domain.clone(),
        address,
        kind,
        leaving: false,
    }
}
