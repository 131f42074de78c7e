//! Keeps the operators' configuration up to date.

use std::{sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{StorePosition, freshness::ConfigurationRead},
    time::Timestamp,
};
use radishhaven_platform::{
    configuration,
    names::{CONFIGURATION_KEY, OPERATOR_TOPIC},
    store::{ConnectionPurpose, KeyedRecord, StoreError},
};
use spdlog::prelude::*;

use super::{Dependency, HUB_VIEW_POLL_INTERVAL, is_fresh_from_hub, read_topic};
use crate::gateway::host::GatewayHost;

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

/// Reads the configuration until the process ends.
pub(in crate::gateway) async fn run(host: Arc<GatewayHost>) {
    let mut dependency = Dependency::new("configuration");
    let mut next: Option<StorePosition> = None;
    loop {
        while is_fresh_from_hub(&host, |g, now| g.confirmation_age(now)) {
            tokio::select! {
                () = host.newer_configuration.notified() => break,
                () = tokio::time::sleep(HUB_VIEW_POLL_INTERVAL) => {}
            }
        }
        let sent = host.now();
        // After a failure, a quick confirmation matters more than waiting for a
        // new configuration.
        let awaits_rewrite = host.with_gateway(|g| g.awaits_rewrite());
        let wait = match dependency.is_lost() || host.is_leaf() {
            true => Duration::ZERO,
            false if awaits_rewrite => CONFIGURATION_WAIT_FOR_REWRITE,
            false if host.has_leaves() => {
                let configuration_time = host.settings.bounds.configuration_time;
                configuration_time.mul_f64(WAIT_FRACTION_FOR_LEAVES)
            }
            false => CONFIGURATION_WAIT,
        };
        let result = read_topic(
            &host,
            ConnectionPurpose::Configuration,
            OPERATOR_TOPIC,
            next,
            wait,
        );
        match result.await {
            Ok(records) => {
                let now = host.now();
                dependency.record_success(now);
                let is_configuration = |r: &KeyedRecord| r.key == CONFIGURATION_KEY.as_bytes();
                let read = ConfigurationRead {
                    era: records.next.era,
                    sent,
                    // The newest records may come from an older copy.
                    written: next.is_some() && records.records.iter().any(is_configuration),
                };
                next = Some(records.next);
                let all_applied = records.records.iter().all(|r| apply_record(&host, r, sent));
                if all_applied && records.reached_end {
                    host.with_gateway(|g| g.record_configuration_read(now, read));
                }
            }
            Err(StoreError::Expired) => next = None,
            Err(error @ StoreError::EraChanged { .. }) => {
                warn!("the configuration is read anew", kv: { error = error.to_string() });
                next = None;
            }
            Err(error) => {
                dependency.record_failure(&host, &error);
                tokio::time::sleep(dependency.retry_delay(&host)).await;
            }
        }
    }
}

/// Applies a record of a read that was sent at `sent`, and returns whether it could be
/// decoded.
fn apply_record(host: &GatewayHost, record: &KeyedRecord, sent: Timestamp) -> bool {
    if record.key != CONFIGURATION_KEY.as_bytes() {
        return true;
    }
    let Some(value) = &record.value else {
        return true;
    };
    match configuration::decode(value) {
        Ok(configuration) => {
            let version = configuration.version;
            let routes = configuration.routes.len();
            let applied = host.with_gateway(|g| g.set_configuration(configuration));
            if applied {
                info!("a configuration is in force", kv: {
                    version,
                    routes,
                    bytes = value.len(),
                    read_ms = host.now().since(sent).as_millis() as u64,
                });
            }
            true
        }
        Err(error) => {
            host.metrics.malformed.inc();
            error!("a configuration could not be decoded", kv: { error = error.to_string() });
            false
        }
    }
}
