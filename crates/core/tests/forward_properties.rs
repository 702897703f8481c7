//! Property tests of forwarding and placement over random histories.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::proptest;
use yuccanotch_core::forward::events::EventSplitter;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::AttemptTarget;
use yuccanotch_core::forward::outcome::NextStep;
use yuccanotch_core::forward::outcome::RequestState;
use yuccanotch_core::forward::outcome::RetryConditions;
use yuccanotch_core::forward::routes::RepeatPolicy;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::engine::AcceleratorKind;
use yuccanotch_core::placement::engine::EngineProfile;
use yuccanotch_core::placement::engine::LayerRange;
use yuccanotch_core::placement::load::Load;
use yuccanotch_core::placement::path;
use yuccanotch_core::placement::path::ChainNeeds;
use yuccanotch_core::placement::path::LayerHolder;
use yuccanotch_core::placement::plan::plan;
use yuccanotch_core::placement::plan::ModelServer;

const LAYERS: u16 = 40;

fn attempt_ends() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::Declined),
        Just(AttemptEnd::StageDeclined),
        Just(AttemptEnd::Broken),
        Just(AttemptEnd::Failed),
        Just(AttemptEnd::Silent),
    ]
}

fn repeat_policies() -> impl Strategy<Value = RepeatPolicy> {
    prop_oneof![Just(RepeatPolicy::Never), Just(RepeatPolicy::Safe), Just(RepeatPolicy::Resumable)]
}

fn may_have_run(end: AttemptEnd) -> bool {
    !matches!(end, AttemptEnd::NotSent | AttemptEnd::Declined | AttemptEnd::StageDeclined)
}

fn kinds() -> Vec<AcceleratorKind> {
    let kind = |name: &str, memory_mb, step_time_factor| AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_time_factor,
        prefill_time_factor: step_time_factor,
    };
    vec![kind("big", 36_000.0, 2.0), kind("small", 9_000.0, 5.0), kind("slow", 12_000.0, 16.0)]
}

fn profile() -> EngineProfile {
    EngineProfile {
        layers: LAYERS,
        layer_mb: 1_000.0,
        kv_bytes_per_token: 300_000.0,
        nominal_capacity_tokens: 50_000.0,
        step_ms: 1.0,
        per_seq_ms: 0.005,
        context_ms_per_k: 0.006,
        prefill_tokens_per_s: 160_000.0,
        prefill_chunk_tokens: 512.0,
        first_stage_slots: 100,
        decode_steps_per_pass: 4,
        mean_prompt_tokens: 700.0,
        mean_answer_tokens: 200.0,
        report_lag_ms: 200.0,
        max_parallel_loads: 6,
        load_ms: 14_000.0,
        inter_domain_mbps: None,
        activation_bytes: 0.0,
        kinds: kinds(),
    }
}

fn servers(kinds_and_domains: &[(usize, usize)]) -> Vec<ModelServer> {
    kinds_and_domains
        .iter()
        .enumerate()
        .map(|(index, &(kind, domain))| ModelServer {
            server: ServerName::new(&format!("s-{index}")),
            domain: DomainName::new(&format!("d-{}", domain % 3)),
            kind: kinds()[kind % 3].clone(),
            holds: None,
        })
        .collect()
}

fn address(index: usize) -> SocketAddrV4 {
    let port = 1_000 + u16::try_from(index).expect("few servers");
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), port)
}

proptest! {
    #[test]
    fn no_request_that_may_have_run_is_refused_or_retried_against_its_policy(
        repeat in repeat_policies(),
        max_attempts in 1_u8..5,
        history in vec((attempt_ends(), any::<bool>(), any::<bool>()), 1..12),
    ) {
        let mut state = RequestState::new(repeat, max_attempts);
        let mut ran = false;
        let mut servers_sent_to = 0;
        for (end, within_budget, within_deadline) in history {
            let is_new = state.may_try_new_server();
            state.on_send(if is_new { AttemptTarget::Untried } else { AttemptTarget::Tried });
            assert_ne!(state.final_step(), NextStep::Refuse, "a request in flight may have run");
            ran |= may_have_run(end);
            servers_sent_to += u32::from(is_new && end != AttemptEnd::NotSent);
            match state.on_end(end, RetryConditions { within_budget, within_deadline }) {
                NextStep::Retry | NextStep::AwaitBudget => {
                    assert!(!ran || repeat.allows_rerun());
                }
                NextStep::Refuse => {
                    assert!(!ran, "reported as not run although it ran");
                    break;
                }
                NextStep::PassOn | NextStep::Unknown | NextStep::BreakOff => break,
            }
        }
        assert!(servers_sent_to <= u32::from(max_attempts));
    }

    #[test]
    fn a_stream_cut_anywhere_and_resumed_delivers_each_event_once(
        count in 1_u64..20,
        cuts in vec((0_usize..400, 1_usize..30), 1..6),
    ) {
        let event = |id: u64| format!("id: {id}\ndata: token {id}\n\n").into_bytes();
        let mut events = EventSplitter::new(None);
        let mut got = Vec::new();
        let run = |events: &mut EventSplitter, got: &mut Vec<u8>, cut: usize, chunk: usize| {
            events.begin_attempt();
            let from = events.last_event_id().map_or(1, |last| last + 1);
            let rest: Vec<u8> = (from..=count).flat_map(event).collect();
            for piece in rest[..cut.min(rest.len())].chunks(chunk) {
                got.extend_from_slice(&events.push(piece).expect("events in order").bytes);
            }
        };
        for (cut, chunk) in cuts {
            run(&mut events, &mut got, cut, chunk);
        }
        run(&mut events, &mut got, usize::MAX, 7);
        let whole: Vec<u8> = (1..=count).flat_map(event).collect();
        assert_eq!(got, whole);
        assert!(!events.has_partial_event());
    }

    #[test]
    fn no_plan_exceeds_a_servers_memory_whatever_it_held_before(
        kinds_and_domains in vec((0_usize..3, 0_usize..3), 1..30),
        lost in vec(any::<bool>(), 30),
    ) {
        let profile = profile();
        let mut servers = servers(&kinds_and_domains);
        for _ in 0..3 {
            let plan = plan(&profile, &servers);
            for model_server in &mut servers {
                model_server.holds = plan.get(&model_server.server).copied();
                let layers = model_server.holds.map_or(0, LayerRange::len);
                assert!(f64::from(layers) * profile.layer_mb <= model_server.kind.memory_mb);
                assert!(model_server.holds.is_none_or(|r| r.to <= LAYERS && !r.is_empty()));
            }
            let mut keep = lost.iter();
            servers.retain(|_| keep.next() != Some(&true));
        }
    }

    #[test]
    fn every_chain_runs_each_layer_once_on_servers_that_hold_it(
        kinds_and_domains in vec((0_usize..3, 0_usize..3), 1..30),
        loads in vec(0.0_f32..3e6, 30),
        tokens in 1.0_f64..5_000.0,
    ) {
        let profile = profile();
        let servers = servers(&kinds_and_domains);
        let plan = plan(&profile, &servers);
        let holders: Vec<LayerHolder> = servers
            .iter()
            .enumerate()
            .filter_map(|(index, model_server)| {
                Some(LayerHolder {
                    server: model_server.server.clone(),
                    address: address(index),
                    domain: model_server.domain.clone(),
                    kind: model_server.kind.clone(),
                    layers: *plan.get(&model_server.server)?,
                    load: Load { active: 1.0, token_layers: loads[index], first: 1.0 },
                    slowness: 1.0,
                    faults: 0.0,
                    may_begin: true,
                prefill_backlog_ms: 0.0,
                })
            })
            .collect();
        let domain = DomainName::new("d-0");
        let need = ChainNeeds { domain: &domain, tokens, current: None, allowed_first: None, may_cross: true, max_prefill_backlog_ms: None, spread_seed: None };
        if let Some(chain) = path::choose_chain(&profile, &holders, need) {
            let mut at = 0;
            for stage in chain.stages() {
                let holder = holders.iter().find(|h| h.server == stage.server).expect("a holder");
                assert!(holder.layers.covers(stage.layers));
                assert_eq!(stage.layers.from, at);
                at = stage.layers.to;
            }
            assert_eq!(at, LAYERS);
        }
        let within = ChainNeeds { may_cross: false, ..need };
        if let Some(chain) = path::choose_chain(&profile, &holders, within) {
            assert_eq!(chain.crossings(), 0);
        }
    }
}
