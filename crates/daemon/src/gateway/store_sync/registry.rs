//! Keeps the registry of backend servers up to date.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::servers::{Server, ServerChange, ServerState},
    ids::VmId,
    time::Timestamp,
};
use radishhaven_platform::{
    names::REGISTRY_TOPIC,
    registry::{self, Entry, EntryError},
    store::{ConnectionPurpose, KeyedRecord, StoreError},
};
use spdlog::prelude::*;

use super::{Dependency, HUB_VIEW_POLL_INTERVAL, is_fresh_from_hub, read_topic};
use crate::gateway::host::GatewayHost;

/// Longest time between two reads of the registry.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of reads of the registry within the time in which a draining server
/// must stop getting new requests.
const READS_PER_DRAIN: u32 = 2;
/// Longest time between two reads of the registry while leaves rely on this hub,
/// as a fraction of the time within which a draining server must stop getting
/// new requests.
const DRAIN_FRACTION_FOR_LEAVES: f64 = 0.25;
/// Time after the store is reachable again within which servers register again
/// if their entries expired during the outage. No server is removed until then.
const RE_REGISTRATION_TIME: Duration = Duration::from_millis(2_300);
/// Age of the last read from which entries may have expired unobserved.
const MAX_UNOBSERVED_TIME: Duration = Duration::from_millis(2_500);

/// State of the registry reader, beside the servers themselves.
#[derive(Debug, Default)]
struct RegistryReader {
    /// The newest entry of each server.
    heartbeats: BTreeMap<VmId, Heartbeat>,
    /// Errors of invalid entries by key, so that each is logged only once.
    invalid_entries: BTreeMap<Vec<u8>, String>,
    /// Time until which no server is removed.
    no_removal_before: Option<Timestamp>,
    /// Whether an entry with a start time has been seen. Entries without one
    /// are then invalid, as no backend server wrote them.
    has_start_times: bool,
}

/// The newest entry of a server and when it was received. Entries are ordered
/// by the server's start time and then by its heartbeat count.
#[derive(Debug)]
struct Heartbeat {
    version: (Option<u64>, u64),
    received_at: Timestamp,
}

/// Number of missed heartbeats after which an older entry replaces the newest
/// one: the server may have restarted with its clock set back.
const MISSED_HEARTBEATS: u32 = 3;

/// Largest number of invalid entries that are remembered.
const MAX_INVALID_ENTRIES: usize = 256;

/// Interval at which a starting node checks whether it has a configuration.
/// Without one it can't use any server.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads the registry until the process ends.
pub(in crate::gateway) async fn run(host: Arc<GatewayHost>) {
    let mut dependency = Dependency::new("registry");
    let mut reader = RegistryReader::default();
    let mut full = true;
    while host.with_gateway(|g| g.configuration().is_none()) {
        tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
    loop {
        full |= reader.is_removal_due(host.now());
        while !full && is_fresh_from_hub(&host, |g, now| g.registry_age(now)) {
            tokio::time::sleep(HUB_VIEW_POLL_INTERVAL).await;
            full = reader.is_removal_due(host.now());
        }
        let sent = host.now();
        let next = host.with_gateway(|g| g.registry_end()).filter(|_| !full);
        // Once servers are known, each heartbeat would end a wait.
        let wait = match host.with_gateway(|g| g.servers().is_empty()) {
            true => REGISTRY_INTERVAL,
            false => Duration::ZERO,
        };
        let result = read_topic(
            &host,
            ConnectionPurpose::Registry,
            REGISTRY_TOPIC,
            next,
            wait,
        )
        .await;
        let now = host.now();
        match result {
            Ok(records) => {
                dependency.record_success(now);
                let age = host.with_gateway(|g| g.registry_age(now));
                if age.is_some_and(|age| age > MAX_UNOBSERVED_TIME) {
                    reader.no_removal_before = Some(now + RE_REGISTRATION_TIME);
                }
                reader.apply_records(&host, now, &records.records, next.is_none());
                host.with_gateway(|g| g.record_registry_read(sent, records.next));
                full = false;
                if next.is_none() && reader.is_removal_due(now) {
                    reader.no_removal_before = None;
                }
                if reader.is_removal_due(now) {
                    continue;
                }
                host.start_waiting_requests();
                if records.reached_end && (wait.is_zero() || !records.records.is_empty()) {
                    tokio::time::sleep(registry_interval(&host)).await;
                }
            }
            Err(StoreError::Expired) => full = true,
            Err(error @ StoreError::EraChanged { .. }) => {
                warn!("the registry is read anew", kv: { error = error.to_string() });
                reader.no_removal_before = Some(now + RE_REGISTRATION_TIME);
                full = true;
            }
            Err(error) => {
                dependency.record_failure(&host, &error);
                tokio::time::sleep(dependency.retry_delay(&host)).await;
            }
        }
    }
}

fn registry_interval(host: &GatewayHost) -> Duration {
    let interval = match host.has_leaves() {
        true => host
            .settings
            .bounds
            .drain_time
            .mul_f64(DRAIN_FRACTION_FOR_LEAVES),
        false => REGISTRY_INTERVAL,
    };
    interval.min(host.settings.bounds.drain_time / READS_PER_DRAIN)
}

impl RegistryReader {
    /// Returns whether the servers that have not registered again are removed by
    /// the next full read.
    fn is_removal_due(&self, now: Timestamp) -> bool {
        self.no_removal_before.is_some_and(|until| now >= until)
    }

    /// Applies records; `full` is true if they are the complete registry.
    fn apply_records(
        &mut self,
        host: &GatewayHost,
        now: Timestamp,
        records: &[KeyedRecord],
        full: bool,
    ) {
        let mut listed: BTreeMap<VmId, Server> = BTreeMap::new();
        let removal_blocked = self.no_removal_before.is_some_and(|until| now < until);
        for record in records {
            let Some((id, entry)) = self.decode(host, record) else {
                continue;
            };
            match entry {
                // The store has returned from a copy in which the server had not
                // left yet. A server that is alive writes its entry again.
                Some(entry) if full && was_removed(host, &id, &entry) => {}
                Some(entry) if !self.is_newest(host, now, &id, &entry, full) => {
                    // This is a late entry of an earlier incarnation, or one of
                    // an older copy; the current entry is kept.
                    let current =
                        host.with_gateway(|g| g.servers().get(&id).map(|r| r.entry.clone()));
                    listed.extend(current.filter(|_| full).map(|current| (id, current)));
                }
                Some(entry) if full => {
                    listed.insert(id, entry.server);
                }
                Some(entry) => apply_entry(host, now, &id, Some(entry.server)),
                // An entry that expired during an outage of the store may be
                // renewed.
                None if removal_blocked => {}
                None => apply_entry(host, now, &id, None),
            }
        }
        if !full {
            return;
        }
        if removal_blocked {
            for (id, server) in listed {
                apply_entry(host, now, &id, Some(server));
            }
            return;
        }
        let removed = host.with_gateway(|g| g.set_servers(now, listed));
        for id in removed {
            info!("a backend server is gone", kv: { server = id.as_str() });
        }
        info!("the full registry was read", kv: { servers = host.with_gateway(|g| g.servers().len()) });
    }

    fn decode(
        &mut self,
        host: &GatewayHost,
        record: &KeyedRecord,
    ) -> Option<(VmId, Option<Entry>)> {
        let decoded = registry::decode_id(&record.key).and_then(|id| {
            let entry = record.value.as_deref().map(registry::decode).transpose()?;
            self.check_start(entry.as_ref())?;
            Ok((id, entry))
        });
        match decoded {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                host.metrics.malformed.inc();
                self.log_invalid_entry(&record.key, error.to_string());
                None
            }
        }
    }

    fn check_start(&mut self, entry: Option<&Entry>) -> Result<(), EntryError> {
        let Some(entry) = entry else {
            return Ok(());
        };
        if self.has_start_times && entry.server.started_ms.is_none() {
            return Err(EntryError::MissingStartTime);
        }
        self.has_start_times |= entry.server.started_ms.is_some();
        Ok(())
    }

    fn log_invalid_entry(&mut self, key: &[u8], error: String) {
        if self.invalid_entries.get(key) == Some(&error)
            || self.invalid_entries.len() >= MAX_INVALID_ENTRIES
        {
            return;
        }
        warn!("a registry entry is invalid", kv: {
            key = String::from_utf8_lossy(key).into_owned(),
            error = error.as_str(),
        });
        self.invalid_entries.insert(key.to_owned(), error);
    }

    /// Returns whether an entry is at least as new as the newest one applied. A
    /// server's incarnation is identified by its start time, and counts its own
    /// heartbeats. In a full read, older entries are never accepted after a
    /// silence of the newest one: the store may have returned from a copy.
    fn is_newest(
        &mut self,
        host: &GatewayHost,
        now: Timestamp,
        id: &VmId,
        entry: &Entry,
        full: bool,
    ) -> bool {
        let version = (entry.server.started_ms, entry.heartbeat);
        let max_silence = host.settings.store.heartbeat_interval * MISSED_HEARTBEATS;
        let newest = self.heartbeats.get(id);
        if newest.is_some_and(|newest| {
            newest.version > version && (full || now.since(newest.received_at) < max_silence)
        }) {
            return false;
        }
        let heartbeat = Heartbeat {
            version,
            received_at: now,
        };
        self.heartbeats.insert(id.clone(), heartbeat);
        true
    }
}

fn was_removed(host: &GatewayHost, id: &VmId, entry: &Entry) -> bool {
    host.with_gateway(|g| g.servers().was_removed(id, &entry.server))
}

fn apply_entry(host: &GatewayHost, now: Timestamp, id: &VmId, server: Option<Server>) {
    let change = host.with_gateway(|g| g.set_server(now, id, server));
    log_change(host, id, change, "store");
}

/// Logs a change of a server; `source` is where it was received from.
pub(super) fn log_change(host: &GatewayHost, id: &VmId, change: ServerChange, source: &str) {
    let entry = host.with_gateway(|g| g.servers().get(id).map(|row| row.entry.clone()));
    let draining = entry
        .as_ref()
        .is_some_and(|e| e.state == ServerState::Draining);
    let layers = entry.as_ref().and_then(|e| e.layers).map(|l| l.to_string());
    let accelerator = entry.as_ref().and_then(|e| e.accelerator.clone());
    let domain = entry.map(|e| e.domain.to_string());
    let change_name = match change {
        ServerChange::None => return,
        ServerChange::Added => "added",
        ServerChange::Changed if draining => "draining",
        ServerChange::Changed => "changed",
        ServerChange::Removed => "removed",
    };
    info!("the registry changed", kv: {
        server = id.as_str(),
        change = change_name,
        layers = layers.unwrap_or_default(),
        accelerator = accelerator.unwrap_or_default(),
        domain = domain.unwrap_or_default(),
        source,
    });
}
