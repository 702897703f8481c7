//! Checks declarations and reports all findings together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::config::document::Document;
use crate::config::document::Section;
use crate::config::locate::read_located;
use crate::config::Declaration;
use crate::config::Model;
use crate::config::Rollout;
use crate::config::Server;
use crate::config::ServerUse;
use crate::config::Service;
use crate::config::Team;
use crate::finding::pointer_token;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::name::is_valid_name;

const UNKNOWN_SECTION: &str =
    "unknown section; known ones are domains, models, rollout, servers, services and teams";

/// Parses and checks a declaration.
///
/// # Errors
///
/// Returns every finding with its JSON pointer.
pub fn parse(text: &[u8]) -> Result<Declaration, Vec<Finding>> {
    check_document(&parse_document(text)?)
}

/// Parses a declaration as JSON without checking its entries.
///
/// # Errors
///
/// Returns findings when `text` is not a JSON object of objects.
pub fn parse_document(text: &[u8]) -> Result<Document, Vec<Finding>> {
    let value: Value = serde_json::from_slice(text)
        .map_err(|e| vec![Finding { pointer: String::new(), text: e.to_string() }])?;
    Document::try_from(value)
}

/// Deserializes and checks the entries of a document.
///
/// # Errors
///
/// Returns every finding with its JSON pointer.
pub fn check_document(document: &Document) -> Result<Declaration, Vec<Finding>> {
    let mut findings = Findings::new();
    let mut declaration = Declaration::default();
    for (name, entries) in document.sections() {
        match name.as_str() {
            "domains" => declaration.domains = read_section("/domains", entries, &mut findings),
            "teams" => declaration.teams = read_section("/teams", entries, &mut findings),
            "models" => declaration.models = read_section("/models", entries, &mut findings),
            "services" => declaration.services = read_section("/services", entries, &mut findings),
            "servers" => declaration.servers = read_section("/servers", entries, &mut findings),
            "rollout" => {
                let value = Value::Object(entries.clone());
                let rollout = read_located("/rollout", &value, &mut findings);
                declaration.rollout = rollout.unwrap_or_default();
            }
            _ => findings.add(child_pointer("", name), UNKNOWN_SECTION),
        }
    }
    check_entries(&declaration, document, &mut findings);
    findings.into_result(declaration)
}

fn read_section<N: for<'a> From<&'a str> + Ord, T: DeserializeOwned>(
    at: &str,
    entries: &Section,
    findings: &mut Findings,
) -> BTreeMap<N, T> {
    let mut read = BTreeMap::new();
    for (name, entry) in entries {
        if let Some(entry) = read_located(&child_pointer(at, name), entry, findings) {
            read.insert(N::from(name), entry);
        }
    }
    read
}

fn check_entries(declaration: &Declaration, document: &Document, findings: &mut Findings) {
    for name in declaration.domains.keys() {
        check_name(findings, "/domains", name.as_str());
    }
    for (name, team) in &declaration.teams {
        check_name(findings, "/teams", name.as_str());
        check_team(findings, &child_pointer("/teams", name.as_str()), team);
    }
    for (name, model) in &declaration.models {
        check_name(findings, "/models", name.as_str());
        check_model(findings, &child_pointer("/models", name.as_str()), model);
    }
    for (name, service) in &declaration.services {
        check_name(findings, "/services", name.as_str());
        check_service(findings, &child_pointer("/services", name.as_str()), service);
    }
    for (name, server) in &declaration.servers {
        check_name(findings, "/servers", name.as_str());
        let at = child_pointer("/servers", name.as_str());
        check_server(declaration, document, findings, &at, server);
    }
    check_duplicate_keys(declaration, findings);
    check_duplicate_addresses(declaration, findings);
    check_rollout(&declaration.rollout, findings);
}

/// Returns whether the document has an entry, valid or not.
fn has_entry(document: &Document, section: &str, name: &str) -> bool {
    document.sections().get(section).is_some_and(|entries| entries.contains_key(name))
}

fn check_duplicate_keys(declaration: &Declaration, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (name, team) in &declaration.teams {
        for (i, key) in team.keys.iter().enumerate() {
            if let Some(owner) = owners.insert(*key, name) {
                let at = format!("{}/keys/{i}", child_pointer("/teams", name.as_str()));
                findings.add(at, format!("is already a key of team {:?}", owner.as_str()));
            }
        }
    }
}

fn check_duplicate_addresses(declaration: &Declaration, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (name, server) in &declaration.servers {
        if let Some(owner) = owners.insert(server.address.as_str(), name) {
            let at = format!("{}/address", child_pointer("/servers", name.as_str()));
            findings.add(at, format!("is already the address of server {:?}", owner.as_str()));
        }
    }
}

fn check_rollout(rollout: &Rollout, findings: &mut Findings) {
    findings.check(rollout.weights_mb_per_s > 0, "/rollout/weights_mb_per_s", || {
        "must be at least 1".to_owned()
    });
    findings.check(rollout.loads_at_once > 0, "/rollout/loads_at_once", || {
        "must be at least 1".to_owned()
    });
}

/// Returns the JSON pointer of the member `name` of the value at `parent`.
fn child_pointer(parent: &str, name: &str) -> String {
    format!("{parent}/{}", pointer_token(name))
}

fn check_name(findings: &mut Findings, parent: &str, name: &str) {
    findings.check(is_valid_name(name), &child_pointer(parent, name), || {
        "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'".to_owned()
    });
}

fn check_team(findings: &mut Findings, at: &str, team: &Team) {
    findings.check(!team.keys.is_empty(), &format!("{at}/keys"), || {
        "must have at least one key".to_owned()
    });
    findings.check(team.weight > 0, &format!("{at}/weight"), || "must be at least 1".to_owned());
    findings.check(team.requests_per_s != Some(0), &format!("{at}/requests_per_s"), || {
        "must be at least 1".to_owned()
    });
    findings.check(team.in_flight != Some(0), &format!("{at}/in_flight"), || {
        "must be at least 1".to_owned()
    });
}

fn check_model(findings: &mut Findings, at: &str, model: &Model) {
    findings.check(model.layers > 0, &format!("{at}/layers"), || "must be at least 1".to_owned());
    findings.check(model.max_tokens > 0, &format!("{at}/max_tokens"), || {
        "must be at least 1".to_owned()
    });
    findings.check(model.deadline_ms > 0, &format!("{at}/deadline_ms"), || {
        "must be at least 1".to_owned()
    });
}

fn check_service(findings: &mut Findings, at: &str, service: &Service) {
    for (i, route) in service.routes.iter().enumerate() {
        findings.check(route.path.starts_with('/'), &format!("{at}/routes/{i}/path"), || {
            "must begin with '/'".to_owned()
        });
        findings.check(route.deadline_ms > 0, &format!("{at}/routes/{i}/deadline_ms"), || {
            "must be at least 1".to_owned()
        });
    }
}

fn check_server(
    declaration: &Declaration,
    document: &Document,
    findings: &mut Findings,
    at: &str,
    server: &Server,
) {
    findings.check(
        has_entry(document, "domains", server.domain.as_str()),
        &format!("{at}/domain"),
        || format!("failure domain {:?} does not exist", server.domain.as_str()),
    );
    findings.check(server.address.parse::<SocketAddr>().is_ok(), &format!("{at}/address"), || {
        "must be an IP address and a port".to_owned()
    });
    match &server.used_for {
        ServerUse::Service(service) => {
            findings.check(
                has_entry(document, "services", service.as_str()),
                &format!("{at}/use/service"),
                || format!("service {:?} does not exist", service.as_str()),
            );
        }
        ServerUse::Engine(placement) => {
            let at = format!("{at}/use/engine");
            let name = placement.model.as_str();
            findings.check(has_entry(document, "models", name), &format!("{at}/model"), || {
                format!("model {name:?} does not exist")
            });
            let Some(model) = declaration.models.get(&placement.model) else { return };
            let layers = placement.layers;
            findings.check(
                !layers.is_empty() && layers.end <= model.layers,
                &format!("{at}/layers"),
                || format!("must be a non-empty range within 0..{}", model.layers),
            );
        }
    }
}
