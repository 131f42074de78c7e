//! Follows the configuration and the registry of backend servers in the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use radishhaven_core::{
    gateway::{
        Gateway,
        servers::{Server, ServerChange, ServerState},
        store_view::StoreView,
    },
    ids::VmId,
    time::Timestamp,
};
use radishhaven_platform::{
    configuration,
    names::{CONFIGURATION_KEY, OPERATOR_TOPIC, REGISTRY_TOPIC},
    registry::{self, Entry, EntryError},
    store::{KeyedRecord, Lane, Records, StoreError},
};
use spdlog::prelude::*;

use super::host::GatewayHost;

/// How long one read waits for a new configuration. Each read that ends
/// renews the proof that the configuration is the newest one.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// Time beyond its wait in which a read must be answered.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two reads of the registry at most.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Reads of the registry within the time in which a leaving server must get
/// nothing new.
const READS_PER_DRAIN: u32 = 2;
/// The same while other nodes rely on this one: proof is as old as the read
/// that gave it was long, and twice that before the next one is answered.
const CONFIGURATION_WAIT_FOR_LEAVES: Duration = Duration::from_millis(450);
/// Time between two reads of the registry while other nodes rely on this one.
const REGISTRY_INTERVAL_FOR_LEAVES: Duration = Duration::from_millis(500);
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
/// Time after the store's return within which servers whose entries ran out
/// meanwhile are back; until then none is removed.
const RETURN_TIME: Duration = Duration::from_millis(2_300);
/// Time without an answer from which entries may have run out unseen.
const AWAY: Duration = Duration::from_millis(2_500);

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

/// Follows the configuration until the process ends.
pub(super) async fn configuration(host: Arc<GatewayHost>) {
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
        note_change(host, &id, change, "hub");
    }
    if changed {
        host.serve_waiting();
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
pub(super) async fn registry(host: Arc<GatewayHost>) {
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
fn note_change(host: &GatewayHost, id: &VmId, change: ServerChange, source: &str) {
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
