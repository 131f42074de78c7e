//! Keeps the configuration and the registry of backend servers up to date, by
//! reads of the store or from the responses of a hub.

pub(super) mod configuration;
pub(super) mod registry;

use std::{fmt::Display, sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{Gateway, StorePosition, store_view::StoreView},
    time::Timestamp,
};
use radishhaven_platform::store::{ConnectionPurpose, Records, StoreError};
use spdlog::prelude::*;

use super::{host::GatewayHost, members};

/// Time after the end of its wait within which a read must be answered.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the data from a hub at which a leaf reads the store itself, as a
/// fraction of the time within which a configuration must be in force. A hub
/// that can read the store is never that late.
const MAX_HUB_VIEW_FRACTION: f64 = 0.65;
/// Interval at which a leaf checks the age of the data from its hub.
const HUB_VIEW_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after the first failed call to the store. It doubles with each further
/// failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay after the first failed call at a leaf; its hub finds out first that the
/// store is reachable again.
const LEAF_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Maximum delay after a failed call at a leaf whose hub responds. The hub then
/// reports the return of the store.
const MAX_LEAF_RETRY_DELAY: Duration = Duration::from_millis(2_400);

/// Tracks whether the store answers one kind of call, and logs each change
/// once.
#[derive(Debug)]
pub(super) struct Dependency {
    name: &'static str,
    lost_since: Option<Timestamp>,
    /// Consecutive failed calls.
    failures: u32,
}

impl Dependency {
    /// Creates a dependency that counts as reachable.
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_since: None,
            failures: 0,
        }
    }

    /// Returns whether the last call failed.
    fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns the delay before a failed call is repeated.
    fn retry_delay(&self, host: &GatewayHost) -> Duration {
        let (first, max) = match members::is_listed_by_hub(host, host.now()) {
            true => (LEAF_RETRY_DELAY, MAX_LEAF_RETRY_DELAY),
            false if host.is_leaf() => (LEAF_RETRY_DELAY, LEAF_RETRY_DELAY),
            false => (RETRY_DELAY, MAX_RETRY_DELAY),
        };
        let factor = 2_u32.saturating_pow(self.failures.saturating_sub(1));
        first.saturating_mul(factor).min(max)
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self, now: Timestamp) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            info!("a dependency is back", kv: {
                dependency = self.name,
                away_ms = now.since(since).as_millis() as u64,
            });
        }
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, host: &GatewayHost, error: &impl Display) {
        host.metrics.record_store_failure(self.name);
        self.failures = self.failures.saturating_add(1);
        if self.lost_since.is_none() {
            self.lost_since = Some(host.now());
            warn!("a dependency is lost", kv: {
                dependency = self.name,
                error = error.to_string(),
            });
        }
    }
}

async fn read_topic(
    host: &GatewayHost,
    purpose: ConnectionPurpose,
    topic: &str,
    next: Option<StorePosition>,
    wait: Duration,
) -> Result<Records, StoreError> {
    match next {
        None => host.store.read_newest(purpose, topic, READ_TIMEOUT).await,
        Some(from) => {
            let timeout = wait + READ_TIMEOUT;
            host.store
                .read_from(purpose, topic, from, wait, timeout)
                .await
        }
    }
}

/// Returns the age at which the data of a hub is too old to be used.
pub(super) fn max_hub_view_age(host: &GatewayHost) -> Duration {
    let configuration_time = host.settings.bounds.configuration_time;
    configuration_time.mul_f64(MAX_HUB_VIEW_FRACTION)
}

/// Returns whether data from a hub is recent enough; `age` returns how old that
/// data is.
fn is_fresh_from_hub(
    host: &GatewayHost,
    age: impl Fn(&Gateway, Timestamp) -> Option<Duration>,
) -> bool {
    let now = host.now();
    let max_age = max_hub_view_age(host);
    host.is_leaf()
        && host
            .with_gateway(|g| age(g, now))
            .is_some_and(|age| age < max_age)
}

/// Applies the store view from a hub's response to the query that was sent at
/// `sent_at`.
pub(super) fn apply_hub_view(host: &Arc<GatewayHost>, sent_at: Timestamp, view: StoreView) {
    let now = host.now();
    let update = host.with_gateway(|g| g.apply_store_view(now, sent_at, view));
    let changed = !update.changes.is_empty();
    for (id, change) in update.changes {
        registry::log_change(host, &id, change, "hub");
    }
    if changed {
        host.start_waiting_requests();
    }
}
