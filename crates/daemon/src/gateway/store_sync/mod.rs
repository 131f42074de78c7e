//! Follows the configuration and the registry of backend servers in the store,
//! or what a hub tells of them.

pub(super) mod configuration;
pub(super) mod registry;

use std::{sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{Gateway, store_view::StoreView},
    time::Timestamp,
};
use radishhaven_platform::store::{Lane, Records, StoreError};
use spdlog::prelude::*;

use super::host::GatewayHost;

/// Time beyond its wait in which a read must be answered.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of what a hub told from which a leaf reads the store itself: a hub
/// that reads it is never that late, and a configuration must be in force
/// within two seconds.
const RELAYED_AGE: Duration = Duration::from_millis(1_300);
/// Time between two looks at what a hub told.
const RELAY_LOOK: Duration = Duration::from_millis(100);
/// Pause after a call to the store failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The same at a leaf, whose hub learns first that the store is back.
const LEAF_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Whether the store answers one kind of call; changes are logged once.
#[derive(Debug)]
pub(super) struct Dependency {
    name: &'static str,
    lost: Option<Timestamp>,
}

impl Dependency {
    /// Starts as reachable.
    pub(super) fn new(name: &'static str) -> Self {
        Self { name, lost: None }
    }

    /// Tells whether the last call failed.
    fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Notes an answer.
    pub(super) fn answered(&mut self, now: Timestamp) {
        if let Some(since) = self.lost.take() {
            info!("a dependency is back", kv: {
                dependency = self.name,
                away_ms = now.since(since).as_millis() as u64,
            });
        }
    }

    /// Notes a failure.
    pub(super) fn failed(&mut self, host: &GatewayHost, error: &StoreError) {
        host.metrics.store_failed(self.name);
        if self.lost.is_none() {
            self.lost = Some(host.now());
            warn!("a dependency is lost", kv: {
                dependency = self.name,
                error = error.to_string(),
            });
        }
    }
}

async fn read(
    host: &GatewayHost,
    lane: Lane,
    topic: &str,
    next: Option<u64>,
    wait: Duration,
) -> Result<Records, StoreError> {
    match next {
        None => host.store.newest(lane, topic, READ_TIMEOUT).await,
        Some(from) => {
            let within = wait + READ_TIMEOUT;
            host.store.read(lane, topic, from, wait, within).await
        }
    }
}

/// Tells whether a hub keeps what this node knows fresh; `age` tells how old
/// it is.
fn is_relayed(host: &GatewayHost, age: impl Fn(&Gateway, Timestamp) -> Option<Duration>) -> bool {
    let now = host.now();
    host.is_leaf()
        && host
            .decide(|g| age(g, now))
            .is_some_and(|age| age < RELAYED_AGE)
}

fn retry_pause(host: &GatewayHost) -> Duration {
    match host.is_leaf() {
        true => LEAF_RETRY_PAUSE,
        false => RETRY_PAUSE,
    }
}

/// Takes in what a hub answered to a question that was sent at `asked`.
pub(super) fn take_view(host: &Arc<GatewayHost>, asked: Timestamp, view: StoreView) {
    let now = host.now();
    let learned = host.decide(|g| g.take_view(now, asked, view));
    if learned.newer_configuration {
        host.newer_configuration.notify_one();
    }
    let changed = !learned.changes.is_empty();
    for (id, change) in learned.changes {
        registry::note_change(host, &id, change, "hub");
    }
    if changed {
        host.serve_waiting();
    }
}
