//! The counters, gauges and latency histograms of a host, rendered as text for its metrics address.

use std::collections::HashMap;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Key;
use metrics::Label;
use metrics::Level;
use metrics::Metadata;
use metrics::Recorder;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::PrometheusRecorder;
use yuccanotch_core::admit::reservation::Rank;
use yuccanotch_core::admit::reservation::MAX_RANK;
use yuccanotch_core::bytes::UseKind;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::forward::reason::PauseKind;
use yuccanotch_core::forward::reason::Rejection;
use yuccanotch_core::forward::revision::era_of;
use yuccanotch_core::forward::revision::revision_of;
use yuccanotch_core::name::ServiceName;

use crate::host::Gateway;

const METADATA: Metadata<'static> = Metadata::new("yuccanotch", Level::INFO, None);

/// Upper bounds of the latency histograms, in ms.
const LATENCY_BUCKETS_MS: [f64; 10] =
    [25.0, 50.0, 100.0, 200.0, 250.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0];

/// The metrics of a host.
pub struct Counters {
    /// The gauges have a recorder of their own, so that they are rendered first: a collector that
    /// reads only the beginning still gets the state of the host.
    gauges: PrometheusRecorder,
    handle: PrometheusHandle,
    requests: HashMap<EndReason, Counter>,
    attempts: HashMap<EndReason, Counter>,
    retries: HashMap<EndReason, Counter>,
    turned_away: HashMap<Rejection, Counter>,
    rank_refusals: Vec<Counter>,
    idle_closed: Counter,
    connections_refused: Counter,
    sent: Counter,
    passed_on: Counter,
    taken: Counter,
    unreadable: Counter,
    panics: Counter,
    moves: Counter,
    moves_refused: Counter,
    leaving: HashMap<LeavingSource, Counter>,
    pauses: HashMap<PauseKind, Counter>,
    changes_served: Counter,
    changes_served_bytes: Counter,
    changes_referred: Counter,
    first_event: Histogram,
    longest_gap: Histogram,
}

impl Counters {
    /// Creates the metrics, with all counters at zero.
    ///
    /// # Errors
    ///
    /// Returns an error when the bounds of the histograms are refused.
    pub fn new() -> Result<Self, BuildError> {
        let recorder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_MS)?.build_recorder();
        let handle = recorder.handle();
        let counters_by_reason = |name| -> HashMap<EndReason, Counter> {
            let entry = |r: &EndReason| (*r, counter(&recorder, name, Some(r.as_str())));
            EndReason::ALL.iter().map(entry).collect()
        };
        let histogram = |name| recorder.register_histogram(&Key::from_static_name(name), &METADATA);
        Ok(Self {
            requests: counters_by_reason("yuccanotch_requests_total"),
            attempts: counters_by_reason("yuccanotch_attempt_ends_total"),
            retries: counters_by_reason("yuccanotch_retries_total"),
            turned_away: Rejection::ALL
                .iter()
                .map(|r| {
                    let name = "yuccanotch_turned_away_total";
                    (*r, counter(&recorder, name, Some(r.as_str())))
                })
                .collect(),
            rank_refusals: (0..=MAX_RANK.0).map(|r| rank_counter(&recorder, Rank(r))).collect(),
            idle_closed: counter(&recorder, "yuccanotch_idle_connections_closed_total", None),
            connections_refused: counter(&recorder, "yuccanotch_connections_refused_total", None),
            sent: counter(&recorder, "yuccanotch_attempts_total", None),
            passed_on: counter(&recorder, "yuccanotch_requests_passed_on_total", None),
            taken: counter(&recorder, "yuccanotch_requests_taken_total", None),
            unreadable: counter(&recorder, "yuccanotch_messages_unreadable_total", None),
            panics: counter(&recorder, "yuccanotch_loop_panics_total", None),
            moves: counter(&recorder, "yuccanotch_moves_total", None),
            moves_refused: counter(&recorder, "yuccanotch_moves_refused_total", None),
            leaving: LeavingSource::ALL
                .iter()
                .map(|s| {
                    let name = "yuccanotch_servers_leaving_total";
                    (*s, counter(&recorder, name, Some(s.as_str())))
                })
                .collect(),
            pauses: PauseKind::ALL
                .iter()
                .map(|k| {
                    let name = "yuccanotch_server_pauses_total";
                    (*k, counter(&recorder, name, Some(k.as_str())))
                })
                .collect(),
            changes_served: counter(&recorder, "yuccanotch_changes_served_total", None),
            changes_served_bytes: counter(&recorder, "yuccanotch_changes_served_bytes_total", None),
            changes_referred: counter(&recorder, "yuccanotch_changes_referred_total", None),
            first_event: histogram("yuccanotch_first_event_ms"),
            longest_gap: histogram("yuccanotch_longest_gap_ms"),
            gauges: PrometheusBuilder::new().build_recorder(),
            handle,
        })
    }

    /// Counts a request that is sent to a server.
    pub fn attempt_sent(&self) {
        self.sent.increment(1);
    }

    /// Counts a request that is passed to another host.
    pub fn request_passed_on(&self) {
        self.passed_on.increment(1);
    }

    /// Counts a request that another host has passed to this one.
    pub fn request_taken(&self) {
        self.taken.increment(1);
    }

    /// Counts a message of another host that this one could not read.
    pub fn message_unreadable(&self) {
        self.unreadable.increment(1);
    }

    /// Counts a loop of this host that panicked.
    pub fn loop_panicked(&self) {
        self.panics.increment(1);
    }

    /// Counts the end of an attempt; `again` tells whether another attempt follows.
    pub fn attempt_ended(&self, reason: EndReason, again: bool) {
        increment(&self.attempts, reason);
        if again {
            increment(&self.retries, reason);
        }
    }

    /// Counts the end of an admitted request.
    pub fn request_ended(&self, reason: EndReason) {
        increment(&self.requests, reason);
    }

    /// Counts a request that was not admitted.
    pub fn turned_away(&self, reason: Rejection) {
        if let Some(counter) = self.turned_away.get(&reason) {
            counter.increment(1);
        }
    }

    /// Counts a request that was refused because its rank is not admitted.
    pub fn rank_refused(&self, rank: Rank) {
        if let Some(counter) = self.rank_refusals.get(usize::from(rank.0)) {
            counter.increment(1);
        }
    }

    /// Counts an idle connection that was closed for a new one.
    pub fn idle_connection_closed(&self) {
        self.idle_closed.increment(1);
    }

    /// Counts a new connection that found no place.
    pub fn connection_refused(&self) {
        self.connections_refused.increment(1);
    }

    /// Counts a move of a request to another chain; `taken` tells whether the server accepted it.
    pub fn chain_changed(&self, taken: bool) {
        if taken {
            self.moves.increment(1);
        } else {
            self.moves_refused.increment(1);
        }
    }

    /// Counts a server of which this host learned from `source` that it is leaving.
    pub fn server_leaving(&self, source: LeavingSource) {
        if let Some(counter) = self.leaving.get(&source) {
            counter.increment(1);
        }
    }

    /// Counts a pause that a server asked for.
    pub fn pause_asked(&self, kind: PauseKind) {
        if let Some(counter) = self.pauses.get(&kind) {
            counter.increment(1);
        }
    }

    /// Counts an answer with changes for another host, of `bytes` bytes.
    pub fn changes_served(&self, bytes: usize) {
        self.changes_served.increment(1);
        self.changes_served_bytes.increment(bytes as u64);
    }

    /// Counts a host that was told which other one has the changes that it asked for.
    pub fn changes_referred(&self) {
        self.changes_referred.increment(1);
    }

    /// Records the time to the first event of a stream and its longest gap between events.
    pub fn stream_ended(&self, first_event: Millis, longest_gap: Millis) {
        self.first_event.record(first_event.0 as f64);
        self.longest_gap.record(longest_gap.0 as f64);
    }

    /// Sets the gauges of the memory budget.
    fn set_byte_gauges(&self, gateway: &Gateway) {
        for kind in UseKind::ALL {
            let labels = vec![Label::from_static_parts("kind", kind.as_str())];
            let key = Key::from_parts("yuccanotch_buffered_bytes", labels.clone());
            let used = gateway.byte_budget.used(kind);
            self.gauges.register_gauge(&key, &METADATA).set(used as f64);
            let limit = gateway.byte_budget.limit(kind);
            if limit < usize::MAX {
                let key = Key::from_parts("yuccanotch_buffered_bytes_limit", labels);
                self.gauges.register_gauge(&key, &METADATA).set(limit as f64);
            }
        }
        self.gauge("yuccanotch_bodies_open", gateway.open_bodies.count() as f64);
    }

    fn gauge(&self, name: &'static str, value: f64) {
        let gauge: Gauge = self.gauges.register_gauge(&Key::from_static_name(name), &METADATA);
        gauge.set(value);
    }

    /// Sets the counters of tokens that were asked of the link between failure domains.
    fn set_crossing_counters(&self, gateway: &Gateway) {
        for (service, totals) in gateway.routing.crossing_totals() {
            for (outcome, tokens) in totals.by_outcome() {
                let service = Label::new("service", service.as_str().to_owned());
                let labels = vec![service, Label::from_static_parts("outcome", outcome)];
                let key = Key::from_parts("yuccanotch_crossing_tokens_total", labels);
                self.gauges.register_counter(&key, &METADATA).absolute(tokens as u64);
            }
        }
    }

    fn service_gauge(&self, name: &'static str, service: &ServiceName, value: f64) {
        let labels = vec![Label::new("service", service.to_string())];
        self.gauges.register_gauge(&Key::from_parts(name, labels), &METADATA).set(value);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self, gateway: &Gateway) -> String {
        let now = gateway.clock.now();
        let version = gateway.views.configuration().map_or(0, |c| c.version);
        let lost = gateway.store.lost_since().map_or(Millis::ZERO, |at| now.since(at));
        self.gauge("yuccanotch_configuration_version", version as f64);
        self.gauge("yuccanotch_store_revision", revision_of(gateway.views.revision()) as f64);
        self.gauge("yuccanotch_store_era", era_of(gateway.views.revision()) as f64);
        self.gauge("yuccanotch_store_restores", gateway.views.restores() as f64);
        self.gauge("yuccanotch_store_lost_ms", lost.0 as f64);
        if let Some(at) = gateway.store.answered_at() {
            self.gauge("yuccanotch_store_answer_age_ms", now.since(at).0 as f64);
        }
        self.gauge("yuccanotch_store_calls", gateway.store.calls() as f64);
        self.gauge("yuccanotch_servers", gateway.views.servers().len() as f64);
        self.gauge("yuccanotch_hosts", gateway.live_hosts() as f64);
        self.gauge("yuccanotch_requests_active", gateway.active_requests() as f64);
        self.gauge("yuccanotch_caller_connections", gateway.caller_connections.get() as f64);
        self.set_byte_gauges(gateway);
        self.gauge("yuccanotch_log_lines_dropped", gateway.event_log.dropped() as f64);
        self.gauge("yuccanotch_is_issuer", f64::from(u8::from(gateway.is_issuer.get())));
        let suspects = gateway.routing.health.borrow().suspects(now).count();
        self.gauge("yuccanotch_servers_suspected", suspects as f64);
        let quarantined = gateway.crashes.quarantined_count();
        self.gauge("yuccanotch_fingerprints_quarantined", quarantined as f64);
        let cut = gateway.links.state().cut_servers().len();
        self.gauge("yuccanotch_links_cut", cut as f64);
        self.gauge("yuccanotch_changes_sending", gateway.sync.transfers() as f64);
        let paused = gateway.routing.pauses.borrow().count(now);
        self.gauge("yuccanotch_servers_paused", paused as f64);
        let loads = gateway.routing.loads.borrow();
        let own_prefill: u64 = loads.own_prefill().map(|(_, tokens)| tokens).sum();
        self.gauge("yuccanotch_prefill_tokens_pending", own_prefill as f64);
        self.gauge("yuccanotch_prefill_tokens_pending_most", loads.largest_prefill() as f64);
        let limited = gateway.routing.limits.borrow().count();
        self.gauge("yuccanotch_servers_limited", limited as f64);
        self.set_crossing_counters(gateway);
        gateway.routing.for_each_reservation(|service, level, utilization| {
            self.service_gauge("yuccanotch_service_utilization", service, utilization);
            self.service_gauge("yuccanotch_service_admitted_rank", service, f64::from(level.0));
        });
        self.gauges.handle().render() + &self.handle.render()
    }
}

fn increment(counters: &HashMap<EndReason, Counter>, reason: EndReason) {
    if let Some(counter) = counters.get(&reason) {
        counter.increment(1);
    }
}

fn counter(
    recorder: &PrometheusRecorder,
    name: &'static str,
    reason: Option<&'static str>,
) -> Counter {
    let labels: Vec<Label> =
        reason.map(|r| Label::from_static_parts("reason", r)).into_iter().collect();
    let key = Key::from_parts(name, labels);
    let counter = recorder.register_counter(&key, &METADATA);
    counter.increment(0);
    counter
}

fn rank_counter(recorder: &PrometheusRecorder, rank: Rank) -> Counter {
    let labels = vec![Label::new("rank", rank.to_string())];
    let key = Key::from_parts("yuccanotch_rank_refusals_total", labels);
    let counter = recorder.register_counter(&key, &METADATA);
    counter.increment(0);
    counter
}
