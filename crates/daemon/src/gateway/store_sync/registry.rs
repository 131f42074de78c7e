//! Follows the registry of backend servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::servers::{Server, ServerChange, ServerState},
    ids::VmId,
    time::Timestamp,
};
use radishhaven_platform::{
    names::REGISTRY_TOPIC,
    registry::{self, Entry, EntryError},
    store::{KeyedRecord, Lane, StoreError},
};
use spdlog::prelude::*;

use super::{Dependency, RELAY_LOOK, is_relayed, read, retry_pause};
use crate::gateway::host::GatewayHost;

/// Time between two reads of the registry at most.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Reads of the registry within the time in which a leaving server must get
/// nothing new.
const READS_PER_DRAIN: u32 = 2;
/// Time between two reads of the registry while other nodes rely on this one.
const REGISTRY_INTERVAL_FOR_LEAVES: Duration = Duration::from_millis(500);
/// Time after the store's return within which servers whose entries ran out
/// meanwhile are back; until then none is removed.
const RETURN_TIME: Duration = Duration::from_millis(2_300);
/// Time without an answer from which entries may have run out unseen.
const AWAY: Duration = Duration::from_millis(2_500);

/// What is known of the registry beside the servers themselves.
#[derive(Debug, Default)]
struct Registry {
    /// The newest entry of each server.
    heartbeats: BTreeMap<VmId, Heartbeat>,
    /// Keys of entries that could not be used, so that each is logged once.
    unusable: BTreeMap<Vec<u8>, String>,
    /// Until when no server is removed.
    keep_until: Option<Timestamp>,
    /// Whether servers here say when they started; an entry that doesn't say
    /// it was then written by something else.
    names_start: bool,
}

/// The newest entry of a server, by its start and its count, and when it came.
#[derive(Debug)]
struct Heartbeat {
    entry: (Option<u64>, u64),
    at: Timestamp,
}

/// Heartbeats of silence after which the newest entry no longer stands against
/// an older one: the server may have started again with its clock set back.
const SILENT_HEARTBEATS: u32 = 3;

/// Most unusable entries that are remembered.
const MAX_UNUSABLE: usize = 256;

/// Follows the registry until the process ends.
pub(in crate::gateway) async fn follow(host: Arc<GatewayHost>) {
    let mut dependency = Dependency::new("registry");
    let mut registry = Registry::default();
    let mut whole = true;
    loop {
        while !whole && is_relayed(&host, |g, now| g.registry_age(now)) {
            tokio::time::sleep(RELAY_LOOK).await;
        }
        let sent = host.now();
        let next = host.decide(|g| g.registry_end()).filter(|_| !whole);
        let result = read(&host, Lane::Registry, REGISTRY_TOPIC, next, Duration::ZERO).await;
        let now = host.now();
        match result {
            Ok(records) => {
                dependency.answered(now);
                let age = host.decide(|g| g.registry_age(now));
                if age.is_some_and(|age| age > AWAY) {
                    registry.keep_until = Some(now + RETURN_TIME);
                }
                registry.take(&host, now, &records.records, next.is_none());
                host.decide(|g| g.registry_read(sent, records.next));
                whole = registry.keep_until.is_some_and(|until| now >= until);
                if whole {
                    registry.keep_until = None;
                    continue;
                }
                host.serve_waiting();
                tokio::time::sleep(registry_interval(&host)).await;
            }
            Err(StoreError::Expired) => whole = true,
            Err(error) => {
                dependency.failed(&host, &error);
                tokio::time::sleep(retry_pause(&host)).await;
            }
        }
    }
}

fn registry_interval(host: &GatewayHost) -> Duration {
    let interval = match host.has_leaves() {
        true => REGISTRY_INTERVAL_FOR_LEAVES,
        false => REGISTRY_INTERVAL,
    };
    interval.min(host.settings.bounds.drain / READS_PER_DRAIN)
}

impl Registry {
    /// Takes records in; `whole` says that they are all there are.
    fn take(&mut self, host: &GatewayHost, now: Timestamp, records: &[KeyedRecord], whole: bool) {
        let mut listed: BTreeMap<VmId, Server> = BTreeMap::new();
        let keeping = self.keep_until.is_some_and(|until| now < until);
        for record in records {
            let Some((id, entry)) = self.decode(host, record) else {
                continue;
            };
            match entry {
                Some(entry) if !self.is_newest(host, now, &id, &entry) => {
                    // A late entry of an earlier life; the present one holds.
                    let present = host.decide(|g| g.servers().get(&id).map(|r| r.entry.clone()));
                    listed.extend(present.filter(|_| whole).map(|present| (id, present)));
                }
                Some(entry) if whole => {
                    listed.insert(id, entry.server);
                }
                Some(entry) => apply(host, now, &id, Some(entry.server)),
                // An entry that ran out while the store was away may return.
                None if keeping => {}
                None => apply(host, now, &id, None),
            }
        }
        if !whole {
            return;
        }
        if keeping {
            for (id, server) in listed {
                apply(host, now, &id, Some(server));
            }
            return;
        }
        let gone = host.decide(|g| g.set_servers(now, listed));
        for id in gone {
            info!("a backend server is gone", kv: { server = id.as_str() });
        }
        info!("the registry was read whole", kv: { servers = host.decide(|g| g.servers().len()) });
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
                self.note_unusable(&record.key, error.to_string());
                None
            }
        }
    }

    fn check_start(&mut self, entry: Option<&Entry>) -> Result<(), EntryError> {
        let Some(entry) = entry else {
            return Ok(());
        };
        if self.names_start && entry.server.born.is_none() {
            return Err(EntryError::NoStart);
        }
        self.names_start |= entry.server.born.is_some();
        Ok(())
    }

    fn note_unusable(&mut self, key: &[u8], error: String) {
        if self.unusable.get(key) == Some(&error) || self.unusable.len() >= MAX_UNUSABLE {
            return;
        }
        warn!("an entry of the registry names no backend server", kv: {
            key = String::from_utf8_lossy(key).into_owned(),
            error = error.as_str(),
        });
        self.unusable.insert(key.to_owned(), error);
    }

    /// Tells whether an entry is not older than one that was taken in. A life
    /// of a server is known by its start, and counts its entries.
    fn is_newest(&mut self, host: &GatewayHost, now: Timestamp, id: &VmId, entry: &Entry) -> bool {
        let this = (entry.server.born, entry.heartbeat);
        let silence = host.settings.store.heartbeat * SILENT_HEARTBEATS;
        let newest = self.heartbeats.get(id);
        if newest.is_some_and(|newest| newest.entry > this && now.since(newest.at) < silence) {
            return false;
        }
        let heartbeat = Heartbeat {
            entry: this,
            at: now,
        };
        self.heartbeats.insert(id.clone(), heartbeat);
        true
    }
}

fn apply(host: &GatewayHost, now: Timestamp, id: &VmId, server: Option<Server>) {
    let change = host.decide(|g| g.set_server(now, id, server));
    note_change(host, id, change, "store");
}

/// Logs what changed about a server; `source` says who told it.
pub(super) fn note_change(host: &GatewayHost, id: &VmId, change: ServerChange, source: &str) {
    let entry = host.decide(|g| g.servers().get(id).map(|row| row.entry.clone()));
    let leaving = entry
        .as_ref()
        .is_some_and(|e| e.state == ServerState::Draining);
    let layers = entry.as_ref().and_then(|e| e.layers).map(|l| l.to_string());
    let accelerator = entry.as_ref().and_then(|e| e.accelerator.clone());
    let domain = entry.map(|e| e.domain.to_string());
    let what = match change {
        ServerChange::None => return,
        ServerChange::Added => "added",
        ServerChange::Changed if leaving => "draining",
        ServerChange::Changed => "changed",
        ServerChange::Removed => "removed",
    };
    info!("the registry changed", kv: {
        server = id.as_str(),
        change = what,
        layers = layers.unwrap_or_default(),
        accelerator = accelerator.unwrap_or_default(),
        domain = domain.unwrap_or_default(),
        source,
    });
}
