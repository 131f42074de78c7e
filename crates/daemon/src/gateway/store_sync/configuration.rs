//! Follows the operators' configuration.

use std::{sync::Arc, time::Duration};

use radishhaven_platform::{
    configuration,
    names::{CONFIGURATION_KEY, OPERATOR_TOPIC},
    store::{KeyedRecord, Lane, StoreError},
};
use spdlog::prelude::*;

use super::{Dependency, RELAY_LOOK, is_relayed, read, retry_pause};
use crate::gateway::host::GatewayHost;

/// How long one read waits for a new configuration. Each read that ends
/// renews the proof that the configuration is the newest one.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// The same while other nodes rely on this one: proof is as old as the read
/// that gave it was long, and twice that before the next one is answered.
const CONFIGURATION_WAIT_FOR_LEAVES: Duration = Duration::from_millis(450);

/// Follows the configuration until the process ends.
pub(in crate::gateway) async fn follow(host: Arc<GatewayHost>) {
    let mut dependency = Dependency::new("configuration");
    let mut next = None;
    loop {
        while is_relayed(&host, |g, now| g.proof_age(now)) {
            tokio::select! {
                () = host.newer_configuration.notified() => break,
                () = tokio::time::sleep(RELAY_LOOK) => {}
            }
        }
        let sent = host.now();
        // After a failure the proof counts, not the wait for what is new.
        let wait = match dependency.is_lost() || host.is_leaf() {
            true => Duration::ZERO,
            false if host.has_leaves() => CONFIGURATION_WAIT_FOR_LEAVES,
            false => CONFIGURATION_WAIT,
        };
        let result = read(&host, Lane::Configuration, OPERATOR_TOPIC, next, wait);
        match result.await {
            Ok(records) => {
                dependency.answered(host.now());
                next = Some(records.next);
                if records.records.iter().all(|r| take_configuration(&host, r)) {
                    host.decide(|g| g.confirm(sent));
                }
            }
            Err(StoreError::Expired) => next = None,
            Err(error) => {
                dependency.failed(&host, &error);
                tokio::time::sleep(retry_pause(&host)).await;
            }
        }
    }
}

/// Takes a record in; returns whether it could be understood.
fn take_configuration(host: &GatewayHost, record: &KeyedRecord) -> bool {
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
            let taken = host.decide(|g| g.set_configuration(configuration));
            if taken {
                info!("a configuration is in force", kv: { version, routes });
            }
            true
        }
        Err(error) => {
            host.metrics.malformed.inc();
            error!("a configuration cannot be used", kv: { error = error.to_string() });
            false
        }
    }
}
