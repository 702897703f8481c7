//! Checks of declarations, with all findings collected.

use std::net::SocketAddr;

use crate::config::Declaration;
use crate::config::Model;
use crate::config::Server;
use crate::config::ServerUse;
use crate::config::Service;
use crate::config::Team;
use crate::finding::pointer_token;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::name::is_valid_name;

/// Parses and checks a declaration.
///
/// # Errors
///
/// Returns every finding with its JSON pointer.
pub fn parse(text: &[u8]) -> Result<Declaration, Vec<Finding>> {
    let declaration: Declaration = match serde_json::from_slice(text) {
        Ok(declaration) => declaration,
        Err(e) => {
            return Err(vec![Finding { pointer: String::new(), text: e.to_string() }]);
        }
    };
    let mut findings = Findings::new();
    check(&declaration, &mut findings);
    findings.into_result(declaration)
}

fn check(declaration: &Declaration, findings: &mut Findings) {
    for name in declaration.domains.keys() {
        check_name(findings, "/domains", name.as_str());
    }
    for (name, team) in &declaration.teams {
        check_name(findings, "/teams", name.as_str());
        check_team(findings, &place("/teams", name.as_str()), team);
    }
    for (name, model) in &declaration.models {
        check_name(findings, "/models", name.as_str());
        check_model(findings, &place("/models", name.as_str()), model);
    }
    for (name, service) in &declaration.services {
        check_name(findings, "/services", name.as_str());
        check_service(findings, &place("/services", name.as_str()), service);
    }
    for (name, server) in &declaration.servers {
        check_name(findings, "/servers", name.as_str());
        check_server(declaration, findings, &place("/servers", name.as_str()), server);
    }
}

fn place(parent: &str, name: &str) -> String {
    format!("{parent}/{}", pointer_token(name))
}

fn check_name(findings: &mut Findings, parent: &str, name: &str) {
    findings.check(is_valid_name(name), &place(parent, name), || {
        "a name has 1 to 64 of a-z, 0-9, '-', '_' and '.'".to_owned()
    });
}

fn check_team(findings: &mut Findings, at: &str, team: &Team) {
    findings.check(!team.keys.is_empty(), &format!("{at}/keys"), || "no key".to_owned());
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

fn check_server(declaration: &Declaration, findings: &mut Findings, at: &str, server: &Server) {
    findings.check(
        declaration.domains.contains_key(&server.domain),
        &format!("{at}/domain"),
        || format!("no failure domain {:?}", server.domain.as_str()),
    );
    findings.check(server.address.parse::<SocketAddr>().is_ok(), &format!("{at}/address"), || {
        "must be an IP address and a port".to_owned()
    });
    match &server.used_for {
        ServerUse::Service(service) => {
            findings.check(
                declaration.services.contains_key(service),
                &format!("{at}/use/service"),
                || format!("no service {:?}", service.as_str()),
            );
        }
        ServerUse::Engine(placement) => {
            let at = format!("{at}/use/engine");
            let Some(model) = declaration.models.get(&placement.model) else {
                let text = format!("no model {:?}", placement.model.as_str());
                findings.add(format!("{at}/model"), text);
                return;
            };
            let layers = placement.layers;
            findings.check(
                !layers.is_empty() && layers.end <= model.layers,
                &format!("{at}/layers"),
                || format!("must be a non-empty part of 0..{}", model.layers),
            );
        }
    }
}
