//! Counters and histograms of a gateway, in the text format of OpenMetrics.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::{ConstCounter, Counter},
        family::Family,
        gauge::ConstGauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use radishhaven_core::ids::Priority;

use super::{
    body::{Body, full, text_response},
    host::{GatewayHost, lock},
};

/// Upper bound of the first histogram bucket, in seconds.
const MIN_BUCKET_S: f64 = 0.005;
/// Ratio of the bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of histogram buckets; the last bound is about 20 s.
const BUCKET_COUNT: u16 = 13;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabel {
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    reason: &'static str,
    priority: u8,
}

/// Counters and histograms of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    answers: Family<StatusLabel, Counter>,
    rejections: Family<StatusLabel, Counter>,
    refusals: Family<RefusalLabel, Counter>,
    failed_sends: Family<OutcomeLabel, Counter>,
    store_failures: Family<OutcomeLabel, Counter>,
    orders: Family<OutcomeLabel, Counter>,
    hedges: Family<OutcomeLabel, Counter>,
    latency: Histogram,
    /// Time to the first event of a stream, in seconds.
    pub(super) first_event: Histogram,
    /// Sends beyond the first one of a request.
    pub(super) repeats: Counter,
    /// Streams that were resumed on another path.
    pub(super) resumed: Counter,
    /// Streams that ended before their last event.
    pub(super) streams_cut: Counter,
    /// Sends of requests to peers that forward them.
    pub(super) forwarded_to_peers: Counter,
    /// Requests of peers that this node took.
    pub(super) taken_from_peers: Counter,
    /// Quarantines of requests and parts of prompts, with each extension.
    pub(super) quarantined: Counter,
    /// Messages and entries that could not be decoded.
    pub(super) malformed: Counter,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        MIN_BUCKET_S,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self {
            answers: Family::default(),
            rejections: Family::default(),
            refusals: Family::default(),
            failed_sends: Family::default(),
            store_failures: Family::default(),
            orders: Family::default(),
            hedges: Family::default(),
            latency: latency_histogram(),
            first_event: latency_histogram(),
            repeats: Counter::default(),
            resumed: Counter::default(),
            streams_cut: Counter::default(),
            forwarded_to_peers: Counter::default(),
            taken_from_peers: Counter::default(),
            quarantined: Counter::default(),
            malformed: Counter::default(),
        }
    }
}

impl GatewayMetrics {
    /// Counts the response to a request that was routed.
    pub(super) fn record_answer(&self, status: StatusCode, took: Duration) {
        let status = status.as_u16();
        self.answers.get_or_create(&StatusLabel { status }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts a request that was rejected before it was routed.
    pub(super) fn record_rejection(&self, status: StatusCode) {
        let status = status.as_u16();
        self.rejections.get_or_create(&StatusLabel { status }).inc();
    }

    /// Counts a routed request that was refused and has not run.
    pub(super) fn record_refusal(&self, reason: &'static str, priority: Priority) {
        let Priority(priority) = priority;
        self.refusals
            .get_or_create(&RefusalLabel { reason, priority })
            .inc();
    }

    /// Counts a send that ended without a usable response.
    pub(super) fn record_failed_send(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.failed_sends
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts a failed call to the store.
    pub(super) fn record_store_failure(&self, call: &str) {
        let outcome = call.to_owned();
        self.store_failures
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts an order to an engine.
    pub(super) fn record_order(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a hedge that was sent, won or refused.
    pub(super) fn record_hedge(&self, outcome: &str) {
        let outcome = outcome.to_owned();
        self.hedges.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Answers by status", self.answers.clone());
        registry.register(
            "rejections",
            "Requests that were not routed, by status",
            self.rejections.clone(),
        );
        registry.register(
            "refusals",
            "Routed requests that were refused and have not run",
            self.refusals.clone(),
        );
        registry.register(
            "failed_sends",
            "Sends without an answer, by outcome",
            self.failed_sends.clone(),
        );
        registry.register(
            "store_failures",
            "Failed calls to the store",
            self.store_failures.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by outcome",
            self.orders.clone(),
        );
        registry.register(
            "hedges",
            "Second attempts of slow requests, by outcome",
            self.hedges.clone(),
        );
        registry.register("latency_seconds", "Time to the end", self.latency.clone());
        registry.register(
            "first_event_seconds",
            "Time to the first event of a stream",
            self.first_event.clone(),
        );
        registry.register("repeats", "Sends beyond the first", self.repeats.clone());
        registry.register("resumed_streams", "Streams resumed", self.resumed.clone());
        registry.register("cut_streams", "Streams cut", self.streams_cut.clone());
        registry.register(
            "forwarded_to_peers",
            "Sends to peers that reach more servers",
            self.forwarded_to_peers.clone(),
        );
        registry.register(
            "taken_from_peers",
            "Requests of peers with lost links",
            self.taken_from_peers.clone(),
        );
        registry.register(
            "quarantines",
            "Quarantines of requests and parts of prompts",
            self.quarantined.clone(),
        );
        registry.register("malformed", "Input not decoded", self.malformed.clone());
    }
}

/// Returns a response with all metrics.
pub(super) fn render(host: &Arc<GatewayHost>) -> Response<Body> {
    let mut registry = Registry::with_prefix("radishhaven_gateway");
    host.metrics.register(&mut registry);
    registry.register(
        "refused_callers",
        "Connections and requests that the VM's limits ended, by reason",
        host.callers.refusals.clone(),
    );
    let now = host.now();
    let dropped = ConstCounter::new(crate::logging::dropped_records());
    registry.register("log_lines_dropped", "Log lines dropped", dropped);
    let mut gauge = |name: &str, help: &str, value: i64| {
        registry.register(name, help, ConstGauge::new(value));
    };
    let (response_bytes, response_bound) = host.responses.usage();
    gauge(
        "response_bytes",
        "Bytes of responses that are being received from servers",
        response_bytes as i64,
    );
    gauge(
        "response_bytes_bound",
        "Bytes that responses being received may take",
        response_bound as i64,
    );
    let (bounds, held, connections) = host.callers.usage();
    gauge(
        "caller_bytes",
        "Bytes that requests and responses of callers hold",
        held as i64,
    );
    gauge(
        "caller_bytes_bound",
        "Bytes that requests and responses of callers may hold",
        bounds.bytes as i64,
    );
    gauge(
        "caller_connections",
        "Connections of callers and peers",
        connections as i64,
    );
    gauge(
        "caller_connections_bound",
        "Connections that callers and peers may have",
        bounds.connections as i64,
    );
    let (version, proof, servers, waiting) = host.with_gateway(|g| {
        let version = g.configuration().map_or(0, |c| c.version);
        (
            version,
            g.confirmation_age(now),
            g.servers().len(),
            g.queued(),
        )
    });
    gauge("configuration_version", "Version in force", version as i64);
    let proof_ms = proof.map_or(-1, |age| age.as_millis() as i64);
    gauge(
        "proof_age_milliseconds",
        "Age of the newest proof",
        proof_ms,
    );
    gauge("servers", "Backend servers known", servers as i64);
    gauge("waiting", "Requests that wait for room", waiting as i64);
    let quarantined = host.with_gateway(|g| g.quarantined_causes().len());
    gauge(
        "quarantined_parts",
        "Requests and parts of prompts in quarantine",
        quarantined as i64,
    );
    let (lost_links, peer_requests) = host.with_gateway(|g| (g.lost_links(), g.peer_requests()));
    gauge(
        "lost_links",
        "Servers that this node does not reach",
        lost_links as i64,
    );
    gauge(
        "peer_requests",
        "Requests of peers that are not answered",
        i64::from(peer_requests),
    );
    let limited = host.with_gateway(|g| g.server_limits(now).len());
    gauge(
        "limited_servers",
        "Servers that have named a limit",
        limited as i64,
    );
    let faulty = host.with_gateway(|g| g.faulty_engines(now));
    gauge(
        "faulty_engines",
        "Engines that are not used because they failed at a peer",
        faulty as i64,
    );
    gauge(
        "open_requests",
        "Requests not answered",
        host.open_requests() as i64,
    );
    let peers = lock(&host.peers);
    gauge(
        "members",
        "Nodes known",
        peers.members.members().len() as i64,
    );
    gauge(
        "leads",
        "Whether this node gives orders",
        i64::from(peers.order_lease.is_some()),
    );
    drop(peers);
    let mut out = String::new();
    if let Err(error) = encode(&mut out, &registry) {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string());
    }
    let mut resp = Response::new(full(out));
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let content_type = HeaderValue::from_static(content_type);
    resp.headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    resp
}
