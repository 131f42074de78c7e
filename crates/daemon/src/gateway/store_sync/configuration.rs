//! Keeps the operators' configuration up to date.

use std::{fmt::Display, sync::Arc, time::Duration};

use radishhaven_core::{gateway::freshness::ConfigurationRead, time::Timestamp};
use radishhaven_platform::{
    configuration::{self, ConfigurationError},
    names::{CONFIGURATION_KEY, OPERATOR_TOPIC},
    store::{ConnectionPurpose, KeyedRecord, StoreError},
};
use spdlog::prelude::*;

use super::{Dependency, HUB_VIEW_POLL_INTERVAL, is_fresh_from_hub, read_topic};
use crate::gateway::{host::GatewayHost, peer_configuration};

/// How long one read waits for a new configuration. Each completed read
/// confirms again that the active configuration is the newest one.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// How long one read waits while leaves rely on this hub, as a fraction of the
/// time within which a configuration must be in force. A freshness confirmation
/// is as old as the duration of the read that gave it, and twice as old before
/// the next read is answered.
const WAIT_FRACTION_FOR_LEAVES: f64 = 0.225;

/// How long one read waits while the store may lack the newest configuration. A
/// read confirms only what it finds after that time, and must be sent after it.
const CONFIGURATION_WAIT_FOR_REWRITE: Duration = Duration::from_millis(200);

/// Shortest interval of the reads of a leaf that no hub confirms.
const LEAF_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps the configuration up to date until the process ends.
pub(in crate::gateway) async fn run(host: Arc<GatewayHost>) {
    let mut dependency = Dependency::new("configuration");
    let mut peer = Dependency::new("configuration of a peer");
    // The newest record alone is read at first, and once there are several to read.
    let mut newest_only = true;
    loop {
        wait_until_due(&host).await;
        if (host.is_leaf() || dependency.is_lost()) && fetch(&host, &mut peer).await {
            continue;
        }
        let sent = host.now();
        let wait = read_wait(&host, &dependency);
        let from = host.with_gateway(|g| g.configuration_end());
        let from = from.filter(|_| !newest_only);
        let purpose = ConnectionPurpose::Configuration;
        match read_topic(&host, purpose, OPERATOR_TOPIC, from, wait).await {
            Ok(records) if !records.reached_end => newest_only = true,
            Ok(records) => match apply_newest(&host, &records.records, sent) {
                Ok(is_new) => {
                    let now = host.now();
                    dependency.record_success(now);
                    newest_only = false;
                    let read = ConfigurationRead {
                        era: records.next.era,
                        sent,
                        // The newest records may come from an older copy.
                        written: from.is_some() && is_new,
                    };
                    host.with_gateway(|g| {
                        g.record_configuration_end(records.next);
                        g.record_configuration_read(now, read);
                    });
                    // A leaf does not wait in the store.
                    if host.is_leaf() {
                        tokio::time::sleep(LEAF_READ_INTERVAL).await;
                    }
                }
                Err(error) => {
                    host.metrics.malformed.inc();
                    retry_later(&host, &mut dependency, &error).await;
                }
            },
            Err(StoreError::Expired) => newest_only = true,
            Err(error @ StoreError::EraChanged { .. }) => {
                warn!("the configuration is read anew", kv: { error = error.to_string() });
                newest_only = true;
            }
            Err(error) => retry_later(&host, &mut dependency, &error).await,
        }
    }
}

/// Waits while a hub confirms the configuration and no peer has a newer one.
async fn wait_until_due(host: &GatewayHost) {
    let is_current = || {
        is_fresh_from_hub(host, |g, now| g.confirmation_age(now))
            && host.with_gateway(|g| g.has_newest_known_configuration())
    };
    while is_current() {
        tokio::select! {
            () = host.newer_configuration.notified() => {}
            () = tokio::time::sleep(HUB_VIEW_POLL_INTERVAL) => {}
        }
    }
}

/// Returns how long the store may wait for a new configuration.
fn read_wait(host: &GatewayHost, dependency: &Dependency) -> Duration {
    // After a failure, a quick confirmation matters more than waiting for a
    // new configuration.
    if dependency.is_lost() || host.is_leaf() {
        return Duration::ZERO;
    }
    if host.with_gateway(|g| g.awaits_rewrite()) {
        return CONFIGURATION_WAIT_FOR_REWRITE;
    }
    match host.has_leaves() {
        true => {
            let configuration_time = host.settings.bounds.configuration_time;
            configuration_time.mul_f64(WAIT_FRACTION_FOR_LEAVES)
        }
        false => CONFIGURATION_WAIT,
    }
}

/// Fetches a newer configuration from a peer that has one, and returns whether it is
/// active.
async fn fetch(host: &Arc<GatewayHost>, peer: &mut Dependency) -> bool {
    let Some(address) = host.newer_configuration_at() else {
        return false;
    };
    match peer_configuration::fetch(host, address).await {
        Ok(()) => {
            peer.record_success(host.now());
            true
        }
        Err(error) => {
            peer.record_failure(host, &error);
            false
        }
    }
}

/// Waits before a failed read is repeated, at most until a peer has a newer configuration.
async fn retry_later(
    host: &GatewayHost,
    dependency: &mut Dependency,
    error: &(impl Display + Sync),
) {
    dependency.record_failure(host, error);
    let delay = dependency.retry_delay(host);
    tokio::select! {
        () = host.newer_configuration.notified() => {}
        () = tokio::time::sleep(delay) => {}
    }
}

/// Applies the newest configuration among the records of a read that was sent at `sent`,
/// and returns whether there is one.
///
/// # Errors
///
/// Returns an error if it can't be decoded. The active configuration is then not the
/// newest one.
fn apply_newest(
    host: &GatewayHost,
    records: &[KeyedRecord],
    sent: Timestamp,
) -> Result<bool, ConfigurationError> {
    let mut configurations = records
        .iter()
        .filter(|r| r.key == CONFIGURATION_KEY.as_bytes())
        .filter_map(|r| r.value.as_ref());
    let Some(value) = configurations.next_back() else {
        return Ok(false);
    };
    let configuration = configuration::decode(value)?;
    let version = configuration.version;
    let routes = configuration.routes.len();
    if host.with_gateway(|g| g.set_configuration(configuration)) {
        info!("a configuration is in force", kv: {
            version,
            routes,
            source = "store",
            bytes = value.len(),
            read_ms = host.now().since(sent).as_millis() as u64,
        });
    }
    Ok(true)
}
