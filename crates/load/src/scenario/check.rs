//! Checks of a scenario, which collect their findings.

use yuccanotch_core::finding::Findings;
use yuccanotch_core::name::is_valid_name;

use super::deployment::DeploymentSpec;
use super::fault::FaultAction;
use super::Scenario;
use super::MAX_SECONDS;
use super::MIN_SECONDS;
use crate::report::WARM_UP_MS;

impl Scenario {
    /// Adds a finding for each part of the scenario that is invalid.
    pub(super) fn check(&self, findings: &mut Findings) {
        findings.check((MIN_SECONDS..=MAX_SECONDS).contains(&self.seconds), "/seconds", || {
            format!("must be {MIN_SECONDS} to {MAX_SECONDS}")
        });
        self.deployment.check(findings);
        self.check_chat(findings);
        self.check_calls(findings);
        self.check_faults(findings);
        self.check_flood(findings);
    }

    fn check_chat(&self, findings: &mut Findings) {
        for (i, load) in self.chat.iter().enumerate() {
            let pointer = format!("/chat/{i}");
            let models = self.deployment.models.iter().map(|model| &model.name);
            check_declared(findings, &format!("{pointer}/model"), models, &load.model);
            self.check_team(findings, &pointer, &load.team);
            check_rate(findings, &pointer, load.per_s);
        }
    }

    fn check_calls(&self, findings: &mut Findings) {
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

    fn check_flood(&self, findings: &mut Findings) {
        if let Some(flood) = &self.flood {
            let end_ms = u64::from(self.seconds) * 1000;
            let window_ms = self.flood_window_ms(&flood.team);
            let is_in_run = window_ms.is_some_and(|ms| ms.start > WARM_UP_MS && ms.end <= end_ms);
            findings.check(is_in_run, "/flood/team", || {
                format!("the team must send model requests that begin after {WARM_UP_MS} ms and end within the run")
            });
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
        self.check_models(findings);
    }

    fn check_models(&self, findings: &mut Findings) {
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
