//! Scenario files, which describe a deployment, the load of its callers and the faults.

use std::fs;
use std::ops::Range;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::config::Method;
use yuccanotch_core::config::Priority;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::finding::Findings;
use yuccanotch_core::name::is_valid_name;
use yuccanotch_standin::FaultRequest;

use crate::error::LoadError;
use crate::report::WARM_UP_MS;

/// Shortest run, in seconds: throughput figures exclude the first second.
pub const MIN_SECONDS: u32 = 2;
/// Longest run, in seconds.
pub const MAX_SECONDS: u32 = 50;

/// A scenario as its JSON file describes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title of the report.
    pub title: String,
    /// Time during which requests arrive, in seconds.
    pub seconds: u32,
    /// Deployment that is started when no addresses of entry hosts are given.
    pub deployment: DeploymentSpec,
    /// Loads of model requests.
    #[serde(default)]
    pub chat: Vec<ChatLoad>,
    /// Loads of calls to plain services.
    #[serde(default)]
    pub calls: Vec<CallLoad>,
    /// Faults that are injected.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Highest accepted number of engine crashes, which requests with a mark may cause; `None` for
    /// no limit.
    #[serde(default)]
    pub max_crashes: Option<u64>,
    /// Team whose requests are a flood; the latency of the other teams during the flood is compared
    /// with that before it.
    #[serde(default)]
    pub flood: Option<FloodSpec>,
}

/// A flood of model requests from one team, and the accepted effect on the other teams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FloodSpec {
    /// Name of the team that sends the flood.
    pub team: String,
    /// Highest accepted ratio of the other teams' p95 time to the first token during the flood to
    /// that before it; `None` for no limit.
    #[serde(default)]
    pub max_ratio: Option<f64>,
}

/// Description of an embedded deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Region of all failure domains.
    pub region: String,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of entry hosts in each failure domain.
    pub entries_per_domain: usize,
    /// Limit of requests in flight on one entry host; `None` for its default.
    #[serde(default)]
    pub in_flight: Option<usize>,
    /// Teams; the bearer key of a team is its name followed by `-key`.
    pub teams: Vec<TeamSpec>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Plain services, each with one instance in each failure domain.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// One-way delay between failure domains, in microseconds; `None` for the default.
    #[serde(default)]
    pub cross_domain_us: Option<u32>,
    /// Writes per second that the store accepts; `None` for the default.
    #[serde(default)]
    pub store_writes_per_s: Option<u32>,
}

/// A team with its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name.
    pub name: String,
    /// Weight of the team's share of capacity, relative to other teams.
    #[serde(default = "one")]
    pub weight: u32,
    /// Priority of the team's requests.
    #[serde(default)]
    pub priority: Priority,
    /// Limit of requests per second over all entry hosts; `None` for no limit.
    #[serde(default)]
    pub requests_per_s: Option<u32>,
    /// Limit of requests in flight on one entry host; `None` for no limit.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

fn one() -> u32 {
    1
}

/// A model with its engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name.
    pub name: String,
    /// Number of layers.
    pub layers: u16,
    /// Number of pipeline stages, over which the layers are split evenly.
    pub stages: u16,
    /// Time of one step with an empty batch, in microseconds, for each replica of a stage; the
    /// length of the list is the number of replicas.
    pub step_base_us: Vec<u32>,
    /// Additional time of a step per sequence in the batch, in microseconds, for each replica; a
    /// shorter list is repeated.
    #[serde(default = "default_step_sequence_us")]
    pub step_sequence_us: Vec<u32>,
    /// Prefill time per word of the prompt, in microseconds.
    #[serde(default = "default_prefill_word_us")]
    pub prefill_word_us: u32,
    /// Highest number of concurrent runs on one engine, and length of its queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time from a crash of an engine to its restart, in milliseconds.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
}

fn default_step_sequence_us() -> Vec<u32> {
    vec![100]
}

fn default_prefill_word_us() -> u32 {
    20
}

fn default_slots() -> u32 {
    32
}

fn default_restart_ms() -> u64 {
    2000
}

/// A plain service with its routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Routes of the service.
    pub routes: Vec<RouteSpec>,
    /// Time to execute a call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// A route of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Method.
    pub method: Method,
    /// Path below the service's name.
    pub path: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

/// Load of requests from one team to one model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChatLoad {
    /// Model.
    pub model: String,
    /// Team.
    pub team: String,
    /// Arrivals per second on average.
    pub per_s: f64,
    /// Number of words in each prompt.
    #[serde(default = "default_prompt_words")]
    pub prompt_words: usize,
    /// Number of different prefixes, one of which each prompt begins with; 0 for no shared prefixes.
    #[serde(default)]
    pub shared_prefixes: usize,
    /// Token limit of an answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Deadline of each request, in milliseconds from its send.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Text that each prompt contains, such as the mark that crashes stand-in engines; empty for
    /// none.
    #[serde(default)]
    pub mark: String,
    /// Start of the arrivals, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the arrivals, in milliseconds; `None` for the end of the run.
    #[serde(default)]
    pub to_ms: Option<u64>,
    /// Highest number of times that a request is resent after a refusal or a broken connection.
    #[serde(default)]
    pub resends: u32,
}

fn default_prompt_words() -> usize {
    32
}

fn default_max_tokens() -> u32 {
    64
}

fn default_deadline_ms() -> u64 {
    15_000
}

/// Load of calls from one team to one route of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallLoad {
    /// Service.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path below the service's name.
    pub path: String,
    /// Team.
    pub team: String,
    /// Arrivals per second on average.
    pub per_s: f64,
    /// Whether each call carries an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
    /// Percentage of calls that are sent twice at nearly the same time with the same key.
    #[serde(default)]
    pub double_percent: u8,
    /// Highest number of times that a call without a final answer is resent with its key.
    #[serde(default)]
    pub resends: u32,
    /// Start of the arrivals, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the arrivals, in milliseconds; `None` for the end of the run.
    #[serde(default)]
    pub to_ms: Option<u64>,
}

/// A fault that begins at a fixed time, or at a random time within a range.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedFault {
    /// Earliest start, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Latest start, in milliseconds; the start is drawn from the seed. `None` for exactly `at_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<u64>,
    /// Effect of the fault.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// Effect of a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum FaultAction {
    /// An entry host is stopped.
    Entry(EntryAction),
    /// The peer links of a failure domain's entry hosts are cut.
    Peers(PeersAction),
    /// The stand-ins inject a fault.
    Standin(FaultRequest),
}

/// How an entry host is stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryStop {
    /// Immediately, as by a crash.
    Kill,
    /// Gracefully, after its requests in flight.
    Drain,
}

/// Stops an entry host and restarts it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryAction {
    /// How the host is stopped.
    pub entry: EntryStop,
    /// Index of the entry host in the deployment.
    pub index: usize,
    /// Time until the restart, in milliseconds; 0 for no restart.
    #[serde(default)]
    pub for_ms: u64,
}

/// Cuts the peer links between the entry hosts of a failure domain and all other entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeersAction {
    /// Name of the failure domain.
    pub peers_cut: String,
    /// Duration, in milliseconds.
    pub for_ms: u64,
}

impl TimedFault {
    /// Returns a short description for reports.
    pub fn label(&self) -> String {
        match &self.action {
            FaultAction::Entry(entry) => match entry.entry {
                EntryStop::Kill => format!("entry {} killed", entry.index),
                EntryStop::Drain => format!("entry {} drained", entry.index),
            },
            FaultAction::Peers(peers) => format!("peer links of {} cut", peers.peers_cut),
            FaultAction::Standin(req) => {
                let value = serde_json::to_value(&req.fault).unwrap_or_default();
                let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
                format!("{} {}", text("fault"), text("target")).trim().to_owned()
            }
        }
    }

    /// Returns the duration of the fault, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        match &self.action {
            FaultAction::Entry(entry) => entry.for_ms,
            FaultAction::Peers(peers) => peers.for_ms,
            FaultAction::Standin(req) => req.for_ms,
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or with all findings.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read(path).map_err(|e| LoadError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(LoadError::Findings)
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let scenario: Self = serde_json::from_slice(text)
            .map_err(|e| vec![Finding { pointer: String::new(), text: e.to_string() }])?;
        let mut findings = Findings::new();
        scenario.check(&mut findings);
        findings.into_result(scenario)
    }

    fn check(&self, findings: &mut Findings) {
        findings.check((MIN_SECONDS..=MAX_SECONDS).contains(&self.seconds), "/seconds", || {
            format!("must be {MIN_SECONDS} to {MAX_SECONDS}")
        });
        self.deployment.check(findings);
        for (i, load) in self.chat.iter().enumerate() {
            let pointer = format!("/chat/{i}");
            let models = self.deployment.models.iter().map(|model| &model.name);
            check_declared(findings, &format!("{pointer}/model"), models, &load.model);
            self.check_team(findings, &pointer, &load.team);
            check_rate(findings, &pointer, load.per_s);
        }
        for (i, load) in self.calls.iter().enumerate() {
            let pointer = format!("/calls/{i}");
            let services = self.deployment.services.iter().map(|service| &service.name);
            check_declared(findings, &format!("{pointer}/service"), services, &load.service);
            self.check_team(findings, &pointer, &load.team);
            check_rate(findings, &pointer, load.per_s);
            let is_resent = load.resends > 0 || load.double_percent > 0;
            findings.check(load.keyed || !is_resent, &format!("{pointer}/keyed"), || {
                "calls that are resent or sent twice need `keyed`".to_owned()
            });
        }
        self.check_faults(findings);
        if let Some(flood) = &self.flood {
            let end_ms = u64::from(self.seconds) * 1000;
            let window_ms = self.flood_window_ms(&flood.team);
            let is_in_run = window_ms.is_some_and(|ms| ms.start > WARM_UP_MS && ms.end <= end_ms);
            findings.check(is_in_run, "/flood/team", || {
                format!("the team must send model requests that begin after {WARM_UP_MS} ms and end within the run")
            });
        }
    }

    /// Returns the time range in which a team sends model requests, in milliseconds since the start
    /// of the run; `None` when it sends none.
    pub fn flood_window_ms(&self, team: &str) -> Option<Range<u64>> {
        let loads = self.chat.iter().filter(|chat| chat.team == team);
        let from_ms = loads.clone().map(|chat| chat.from_ms).min()?;
        let end_ms = u64::from(self.seconds) * 1000;
        let to_ms = loads.map(|chat| chat.to_ms.unwrap_or(end_ms)).max()?;
        Some(from_ms..to_ms)
    }

    fn check_team(&self, findings: &mut Findings, pointer: &str, team: &str) {
        let teams = self.deployment.teams.iter().map(|team| &team.name);
        check_declared(findings, &format!("{pointer}/team"), teams, team);
    }

    fn check_faults(&self, findings: &mut Findings) {
        let entry_count = self.deployment.domains.len() * self.deployment.entries_per_domain;
        for (i, fault) in self.faults.iter().enumerate() {
            let pointer = format!("/faults/{i}");
            findings.check(fault.at_ms < u64::from(self.seconds) * 1000, &pointer, || {
                "at_ms is not before the end of the run".to_owned()
            });
            let is_ordered = fault.to_ms.is_none_or(|to_ms| to_ms >= fault.at_ms);
            findings
                .check(is_ordered, &format!("{pointer}/to_ms"), || "is before at_ms".to_owned());
            match &fault.action {
                FaultAction::Entry(entry) => {
                    findings.check(entry.index < entry_count, &format!("{pointer}/index"), || {
                        format!("must be below {entry_count}, the number of entry hosts")
                    });
                }
                FaultAction::Peers(peers) => {
                    let domains = self.deployment.domains.iter();
                    check_declared(
                        findings,
                        &format!("{pointer}/peers_cut"),
                        domains,
                        &peers.peers_cut,
                    );
                }
                FaultAction::Standin(_) => {}
            }
        }
    }
}

impl DeploymentSpec {
    fn check(&self, findings: &mut Findings) {
        findings.check(!self.domains.is_empty(), "/deployment/domains", || "is empty".to_owned());
        findings.check(self.entries_per_domain > 0, "/deployment/entries_per_domain", || {
            "must be at least 1".to_owned()
        });
        for (i, domain) in self.domains.iter().enumerate() {
            check_name(findings, &format!("/deployment/domains/{i}"), domain);
        }
        for (i, team) in self.teams.iter().enumerate() {
            check_name(findings, &format!("/deployment/teams/{i}/name"), &team.name);
        }
        for (i, service) in self.services.iter().enumerate() {
            check_name(findings, &format!("/deployment/services/{i}/name"), &service.name);
        }
        for (i, model) in self.models.iter().enumerate() {
            let pointer = format!("/deployment/models/{i}");
            check_name(findings, &format!("{pointer}/name"), &model.name);
            let has_valid_stages = (1..=model.layers).contains(&model.stages);
            findings.check(has_valid_stages, &format!("{pointer}/stages"), || {
                "must be 1 to the number of layers".to_owned()
            });
            findings.check(
                !model.step_base_us.is_empty(),
                &format!("{pointer}/step_base_us"),
                || "must have an entry for each replica".to_owned(),
            );
            findings.check(model.slots > 0, &format!("{pointer}/slots"), || {
                "must be at least 1".to_owned()
            });
        }
    }
}

fn check_name(findings: &mut Findings, pointer: &str, name: &str) {
    findings.check(is_valid_name(name), pointer, || {
        "a name has 1 to 64 characters of a-z, 0-9, '-', '_' and '.'".to_owned()
    });
}

fn check_declared<'a>(
    findings: &mut Findings,
    pointer: &str,
    mut known: impl Iterator<Item = &'a String>,
    name: &str,
) {
    findings.check(known.any(|other| other == name), pointer, || {
        format!("{name:?} is not declared in /deployment")
    });
}

fn check_rate(findings: &mut Findings, pointer: &str, per_s: f64) {
    findings.check(per_s > 0.0 && per_s <= 1000.0, &format!("{pointer}/per_s"), || {
        "must be above 0 and at most 1000".to_owned()
    });
}
