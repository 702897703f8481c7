//! Builds the embedded deployment of a scenario.

use yuccanotch_core::config::Route;
use yuccanotch_core::config::Team;
use yuccanotch_core::digest::Digest;
use yuccanotch_local::Plan;

use crate::scenario::DeploymentSpec;
use crate::scenario::ModelSpec;
use crate::scenario::ServiceSpec;
use crate::scenario::TeamSpec;

const SERVICE_DEADLINE_MS: u64 = 10_000;

/// Returns the bearer key that callers of a team present.
pub fn team_key(team: &str) -> String {
    format!("{team}-key")
}

/// Builds the deployment that a scenario describes.
pub fn deployment_plan(spec: &DeploymentSpec, seed: u64) -> Plan {
    let domains: Vec<&str> = spec.domains.iter().map(String::as_str).collect();
    let mut plan = Plan::new(seed, &spec.region, &domains);
    plan.entries_per_domain = spec.entries_per_domain;
    if let Some(in_flight) = spec.in_flight {
        plan.limits.in_flight = in_flight;
    }
    if let Some(us) = spec.cross_domain_us {
        plan.standin.links.cross_domain_us = us;
    }
    if let Some(writes_per_s) = spec.store_writes_per_s {
        plan.standin.platform.writes_per_s = writes_per_s;
    }
    spec.teams.iter().for_each(|team| add_team(&mut plan, team));
    spec.models.iter().for_each(|model| add_model(&mut plan, model));
    spec.services.iter().for_each(|service| add_service(&mut plan, service));
    plan
}

fn add_team(plan: &mut Plan, spec: &TeamSpec) {
    let key = team_key(&spec.name);
    let team = Team {
        keys: [Digest::of(key.as_bytes())].into_iter().collect(),
        weight: spec.weight,
        requests_per_s: spec.requests_per_s,
        in_flight: spec.in_flight,
        priority: spec.priority,
    };
    plan.teams.insert(spec.name.as_str().into(), team);
    plan.team_keys.insert(spec.name.as_str().into(), key);
}

fn add_model(plan: &mut Plan, spec: &ModelSpec) {
    let replicas = spec.step_base_us.len();
    let before = plan.standin.engines.len();
    plan.add_model(&spec.name, spec.layers, spec.stages, replicas);
    for (i, engine) in plan.standin.engines[before..].iter_mut().enumerate() {
        let behavior = &mut engine.behavior;
        behavior.step_base_us = spec.step_base_us[i % replicas];
        let sequence_us = &spec.step_sequence_us;
        behavior.step_sequence_us = sequence_us[i % replicas % sequence_us.len()];
        behavior.prefill_word_us = spec.prefill_word_us;
        behavior.slots = spec.slots;
        behavior.queue = spec.slots;
        behavior.restart_ms = spec.restart_ms;
    }
}

fn add_service(plan: &mut Plan, spec: &ServiceSpec) {
    let before = plan.standin.services.len();
    plan.add_service(&spec.name, &[]);
    let routes = spec.routes.iter().map(|route| Route {
        method: route.method,
        path: route.path.clone(),
        repeatable: route.repeatable,
        deadline_ms: SERVICE_DEADLINE_MS,
    });
    if let Some(service) = plan.services.get_mut(spec.name.as_str()) {
        service.routes = routes.collect();
    }
    for server in &mut plan.standin.services[before..] {
        server.delay_ms = spec.delay_ms;
    }
}
