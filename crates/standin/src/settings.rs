//! Settings of the stand-ins.

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

/// Settings of all stand-ins of one process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Port of the store, the host list and the weight store on loopback; 0 for any.
    pub store_port: u16,
    /// Port of the admin calls on loopback; 0 for any.
    pub admin_port: u16,
    /// The platform.
    pub platform: PlatformSettings,
    /// Models.
    pub models: BTreeMap<ModelName, ModelSettings>,
    /// Engines.
    pub engines: Vec<EngineSettings>,
    /// Plain services.
    pub services: Vec<ServiceSettings>,
    /// Links between engines.
    pub links: LinkSettings,
    /// Entry hosts in the host list from the start.
    pub entry_hosts: Vec<ListedHost>,
}

/// The platform's store, host list and weight store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Reads and watches per second.
    pub reads_per_s: u32,
    /// Writes and lease calls per second.
    pub writes_per_s: u32,
    /// Time to answer, in milliseconds.
    pub answer_ms: u64,
    /// Age of the host list, in milliseconds.
    pub host_list_lag_ms: u64,
    /// Rate of the weight store over all engines, in megabytes per second.
    pub weights_mb_per_s: u32,
    /// Failure domains that get a port of their own to the store, so that each can be cut off.
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

/// A model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSettings {
    /// Number of layers.
    pub layers: u16,
    /// Size of all layers, in megabytes.
    #[serde(default)]
    pub weights_mb: u32,
}

/// A model engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name.
    pub name: ServerName,
    /// Failure domain.
    pub domain: DomainName,
    /// Port on loopback; 0 for any.
    #[serde(default)]
    pub port: u16,
    /// Model held at the start.
    pub model: ModelName,
    /// Version held at the start.
    pub version: ModelVersion,
    /// Layers held at the start.
    pub layers: LayerRange,
    /// Adapters held at the start.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// How the engine behaves.
    #[serde(default)]
    pub behavior: EngineBehavior,
}

impl EngineSettings {
    /// Creates settings with ordinary behaviour and any port.
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

/// Speed and limits of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehavior {
    /// Time of one step for an empty batch, in microseconds.
    pub step_base_us: u32,
    /// Additional time of a step per sequence of its batch, in microseconds.
    pub step_sequence_us: u32,
    /// Time of prefill per word that is not cached, in microseconds.
    pub prefill_word_us: u32,
    /// Most runs in progress, which is also the largest batch.
    pub slots: u32,
    /// Most runs waiting.
    pub queue: u32,
    /// Prefixes that the cache holds.
    pub cache_blocks: usize,
    /// Requests whose KV cache stays exportable after their run.
    pub kv_requests: usize,
    /// Span between load reports, which is their largest age, in milliseconds.
    pub report_every_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Cache events that are lost, in percent.
    pub cache_event_loss_percent: u8,
    /// Whether orders with an old fencing number are refused.
    pub honours_fencing: bool,
    /// Time from a crash to the next boot, in milliseconds.
    pub restart_ms: u64,
    /// Time until a chain's first server reports a dead stage, in milliseconds.
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

/// An instance of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the server.
    pub name: ServerName,
    /// Failure domain.
    pub domain: DomainName,
    /// Service.
    pub service: ServiceName,
    /// Port on loopback; 0 for any.
    #[serde(default)]
    pub port: u16,
    /// Time to execute a call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

impl ServiceSettings {
    /// Creates settings with any port and no delay.
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

/// One-way delays between engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Delay within a failure domain, in microseconds.
    pub same_domain_us: u32,
    /// Delay between failure domains, in microseconds.
    pub cross_domain_us: u32,
    /// Delays of single pairs of servers, in both directions.
    pub pairs: Vec<LinkPair>,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { same_domain_us: 50, cross_domain_us: 400, pairs: Vec::new() }
    }
}

/// Delay between two engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPair {
    /// One server.
    pub a: ServerName,
    /// The other server.
    pub b: ServerName,
    /// One-way delay, in microseconds.
    pub us: u32,
}

impl StandinSettings {
    /// Parses and checks settings.
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

    /// Checks settings.
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
            findings.add(format!("{at}/model"), format!("no model {:?}", engine.model.as_str()));
            return;
        };
        findings.check(
            !engine.layers.is_empty() && engine.layers.end <= model.layers,
            &format!("{at}/layers"),
            || format!("must be a non-empty part of 0..{}", model.layers),
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
        format!("a second server {:?}", name.as_str())
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
