//! Metrics in the text format of OpenMetrics, made from the node's counters.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::{Registry, Unit},
};
use radishhaven_core::node::Node;

/// Renders a node's metrics.
///
/// # Errors
///
/// Fails if the encoder refuses a value.
pub fn render(node: &Node) -> Result<String, std::fmt::Error> {
    let tables = node.tables();
    let counters = &tables.counters;
    let mut registry = Registry::with_prefix("radishhaven");
    let mut count = |name: &str, help: &str, value: u64| {
        registry.register(name, help, ConstCounter::new(value));
    };
    count(
        "requests_submitted",
        "Requests that arrived",
        counters.submitted,
    );
    count("tokens", "Tokens given to callers", counters.tokens);
    count("steps", "Steps sent to engines", counters.steps);
    count("retries", "Attempts beyond the first one", counters.retries);
    count(
        "stale_replies",
        "Replies that belonged to no open attempt",
        counters.stale_replies,
    );
    count(
        "crossed_replies",
        "Replies to another question",
        counters.crossed_replies,
    );
    count(
        "step_timeouts",
        "Steps that were not answered in time",
        counters.step_timeouts,
    );
    count(
        "once_messages",
        "Messages of nodes for running requests at most once",
        counters.once_messages,
    );
    count(
        "once_unwitnessed",
        "Requests not run because a witness did not consent",
        counters.once_unwitnessed,
    );
    count(
        "once_seals",
        "Requests whose home did not answer, so that witnesses were asked",
        counters.once_seals,
    );
    count(
        "log_failures",
        "Reads of the log that failed",
        counters.log_failures,
    );
    count(
        "config_broken_records",
        "Records that can't be read",
        tables.config.broken_records(),
    );
    for (outcome, &value) in &counters.outcomes {
        let name = format!("outcome_{}", outcome.replace([' ', '-', '(', ')'], "_"));
        count(&name, "Answers with this outcome", value);
    }
    let mut gauge = |name: &str, help: &str, value: u64| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        registry.register_with_unit(
            name,
            help,
            Unit::Other("count".into()),
            ConstGauge::new(value),
        );
    };
    gauge(
        "requests_open",
        "Requests that run here",
        tables.requests.len() as u64,
    );
    gauge(
        "once_open",
        "Requests of this home that may run once and are open",
        tables.once.home.open_count() as u64,
    );
    gauge(
        "once_remembered",
        "Ended requests of this home that are remembered",
        tables.once.home.ended_count() as u64,
    );
    gauge(
        "once_witnessed",
        "Ids that this node remembers as a witness",
        tables.once.witness.len() as u64,
    );
    gauge(
        "config_revision",
        "Revision in force",
        tables.config.revision().0,
    );
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}
