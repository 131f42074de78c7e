//! Backend servers: the VM list joined with the configuration.
//!
//! Rows are stored in slots, and the indexes hold slot numbers. Routing can
//! therefore sample a few candidates out of thousands of backend servers
//! without scanning all of them; see `docs/design/routing.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Serialize, Serializer};

use super::{Latency, RecentStarts, VmTable};
use crate::{
    config::{Backend, Config, Kind, Object, ObjectKey, Workload},
    health::{Health, LatencyBaseline, Phase},
    ids::{AdapterId, FailureDomain, LayerRange, ModelId, ServiceId, VersionId, VmId},
    platform::{Vm, VmState},
    time::Timestamp,
    watch::{HeldDigest, Report},
};

/// Send times of the most recent steps that a backend server has answered.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LatestAnswered {
    /// Send time of the most recently sent step that has been answered.
    pub sent: Timestamp,
    /// Send time of the most recently sent step that began a session and has
    /// been answered. It is tracked separately because an engine may queue such
    /// steps behind all others.
    pub begin_sent: Timestamp,
}

/// A backend server as this node sees it.
#[derive(Debug, Clone, Serialize)]
pub struct BackendRow {
    /// The VM that the backend server runs on.
    pub vm: VmId,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// The layers or the plain service that it is configured to serve.
    pub carries: Workload,
    /// Whether its VM is live or leaving.
    pub state: VmState,
    /// Number of sessions and calls that this node has open there.
    pub in_flight: u32,
    /// Its health score, circuit breaker state and slow start.
    pub health: Health,
    /// Round-trip time of the configured link to the server, in microseconds; 0
    /// if no link is configured.
    #[serde(rename = "link_us")]
    pub link_rtt_us: f64,
    /// Observed step and call times.
    pub latency: Latency,
    /// Number of sessions and calls that this node has started there since the
    /// row was created.
    pub begun: u64,
    /// Send times of the most recent answered steps.
    pub answered: LatestAnswered,
    /// Start times of the most recent sessions and calls.
    #[serde(skip)]
    pub recent_starts: RecentStarts,
    /// The latest report from the server's watchers about its current
    /// incarnation.
    pub report: Option<Report>,
    #[serde(skip)]
    configured: Option<HeldDigest>,
}

impl BackendRow {
    /// Returns whether new work may be sent to the server.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        self.state == VmState::Live && self.health.phase(now) != Phase::Ejected
    }

    /// Returns whether the server has loaded what is configured for it,
    /// according to a report younger than `fresh`. Without such a report the
    /// server is assumed to have loaded it. Adapters are compared only if
    /// `adapters` is true.
    pub fn has_configured(&self, now: Timestamp, max_age: Duration, adapters: bool) -> bool {
        let report = self.report.filter(|report| now.since(report.at) < max_age);
        let (Some(report), Some(configured)) = (report, self.configured) else {
            return true;
        };
        let held = report.body.holds;
        let weights_match = held.weights == configured.weights;
        weights_match && (!adapters || held.adapters == configured.adapters)
    }

    /// Returns the length of the server's queue: the reported queue plus the
    /// work that this node has started since the report.
    ///
    /// Returns 0 unless there is a report that is younger than `fresh` and
    /// newer than this node's latest own observation.
    pub fn reported_queue(&self, now: Timestamp, max_age: Duration) -> u32 {
        let report = self.report.filter(|report| now.since(report.at) < max_age);
        // This node's own observations are newer than the report and not
        // rounded.
        let report = report.filter(|report| report.at > self.latency.observed_at);
        let Some((queue, at)) = report.and_then(|r| Some((r.body.queue?, r.at))) else {
            return 0;
        };
        queue
            .queued()
            .saturating_add(self.recent_starts.count_since(at))
    }

    /// Records that a session or call starts at the server.
    pub fn work_started(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.begun += 1;
        self.recent_starts.record(now);
    }

    /// Records the answer to a step that was sent at `sent`; `begins` is true
    /// if the step began a session.
    pub fn record_answer(&mut self, sent: Timestamp, began_session: bool) {
        self.answered.sent = self.answered.sent.max(sent);
        if began_session {
            self.answered.begin_sent = self.answered.begin_sent.max(sent);
        }
    }

    /// Records that a session or call at the server has ended.
    pub fn work_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// What routing distinguishes among the engines of one model version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageKey {
    /// The layers that the engines hold.
    pub layers: LayerRange,
    /// The adapters that the engines have loaded.
    pub adapters: BTreeSet<AdapterId>,
}

/// Backend servers that are configured to serve the same layers and adapters,
/// or the same plain service.
#[derive(Debug, Default)]
pub struct ServerGroup {
    /// The slots of the servers.
    pub slots: Vec<usize>,
    /// The typical slowdown of answers across the group.
    pub baseline: LatencyBaseline,
    /// When this node first had a server in the group.
    pub first_seen: Option<Timestamp>,
}

/// The engines of one model version, grouped by layers and adapters.
pub type Stages = BTreeMap<StageKey, ServerGroup>;

/// Backend servers by VM, indexed by what they serve.
#[derive(Debug, Default)]
pub struct BackendTable {
    slots: Vec<Option<BackendRow>>,
    free: Vec<usize>,
    by_vm: BTreeMap<VmId, usize>,
    by_version: BTreeMap<ModelId, BTreeMap<VersionId, Stages>>,
    by_service: BTreeMap<ServiceId, ServerGroup>,
    local_domain: Option<FailureDomain>,
    changes: GroupChanges,
}

/// Group changes since the last call of [`BackendTable::take_changes`].
#[derive(Debug, Default)]
pub struct GroupChanges {
    /// Backend servers that joined a group or became available for work again.
    pub joined: BTreeSet<VmId>,
    /// The groups that servers joined or left, identified by what they serve.
    pub changed_groups: BTreeSet<Workload>,
}

impl BackendTable {
    /// Sets this node's own failure domain, from which link round trips are
    /// computed.
    pub fn set_local_domain(&mut self, domain: FailureDomain) {
        self.local_domain = Some(domain);
    }

    /// Rebuilds all rows from the configuration and the VM list. Observations
    /// of backend servers that remain are kept.
    pub fn rebuild(&mut self, config: &Config, vms: &VmTable) {
        let removed: Vec<VmId> = self.by_vm.keys().cloned().collect();
        let mut removed: BTreeSet<VmId> = removed.into_iter().collect();
        let links = self.links(config);
        for backend in config.backends() {
            removed.remove(&backend.id);
            self.upsert(backend, vms.get(&backend.id), &links);
        }
        for vm in removed {
            self.remove(&vm);
        }
    }

    /// Rebuilds the rows of the backend servers in `changed`, after their
    /// configuration or their VM has changed. The cost doesn't depend on the
    /// other rows.
    pub fn update(&mut self, config: &Config, vms: &VmTable, changed: &BTreeSet<VmId>) {
        let links = self.links(config);
        for vm in changed {
            let key = ObjectKey {
                kind: Kind::Backend,
                name: vm.to_string(),
            };
            match config.objects().get(&key).map(|entry| &entry.object) {
                Some(Object::Backend(backend)) => self.upsert(backend, vms.get(vm), &links),
                _ => self.remove(vm),
            }
        }
    }

    /// Returns the round-trip times, in microseconds, of the links between the
    /// local failure domain and others.
    fn links(&self, config: &Config) -> BTreeMap<FailureDomain, f64> {
        let mut links = BTreeMap::new();
        let first = ObjectKey {
            kind: Kind::Link,
            name: String::new(),
        };
        for entry in config.objects().range(first..).map(|(_, entry)| entry) {
            let Object::Link(link) = &entry.object else {
                break;
            };
            let one_way = link.one_way_us as f64;
            if self.local_domain.as_ref() == Some(&link.from) {
                *links.entry(link.to.clone()).or_default() += one_way;
            }
            if self.local_domain.as_ref() == Some(&link.to) {
                *links.entry(link.from.clone()).or_default() += one_way;
            }
        }
        links
    }

    fn upsert(&mut self, backend: &Backend, vm: Option<&Vm>, links: &BTreeMap<FailureDomain, f64>) {
        let Some(vm) = vm else {
            return self.remove(&backend.id);
        };
        let link_us = links.get(&vm.failure_domain).copied().unwrap_or(0.0);
        if let Some(row) = self.get_mut(&backend.id) {
            let same_incarnation = row.address == vm.address;
            if !same_incarnation {
                row.latency = Latency::default();
                row.answered = LatestAnswered::default();
                row.health = Health::default();
                row.report = None;
            }
            let changed = !same_incarnation || row.state != vm.state;
            row.address = vm.address;
            row.state = vm.state;
            row.link_rtt_us = link_us;
            row.failure_domain = vm.failure_domain.clone();
            if row.carries == backend.carries {
                if changed {
                    self.record_change(vm, &backend.carries);
                }
                return;
            }
        }
        self.record_change(vm, &backend.carries);
        let old = self.remove_row(&backend.id);
        let old = old.as_ref();
        self.insert(BackendRow {
            vm: backend.id.clone(),
            address: vm.address,
            failure_domain: vm.failure_domain.clone(),
            carries: backend.carries.clone(),
            state: vm.state,
            in_flight: old.map_or(0, |row| row.in_flight),
            health: old.map_or_else(Health::default, |row| row.health.clone()),
            link_rtt_us: link_us,
            latency: Latency::default(),
            begun: 0,
            answered: LatestAnswered::default(),
            recent_starts: old.map_or_else(RecentStarts::default, |row| row.recent_starts.clone()),
            report: old.and_then(|row| row.report),
            configured: HeldDigest::from_carries(&backend.carries),
        });
    }

    fn record_change(&mut self, vm: &Vm, carries: &Workload) {
        self.changes.changed_groups.insert(carries.clone());
        if vm.state == VmState::Live {
            self.changes.joined.insert(vm.vm.clone());
        }
    }

    /// Returns the group changes since the last call and clears them.
    pub fn take_changes(&mut self) -> GroupChanges {
        std::mem::take(&mut self.changes)
    }

    fn insert(&mut self, row: BackendRow) {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        self.by_vm.insert(row.vm.clone(), slot);
        self.group_entry(&row.carries).slots.push(slot);
        if slot == self.slots.len() {
            self.slots.push(Some(row));
        } else {
            self.slots[slot] = Some(row);
        }
    }

    fn remove(&mut self, vm: &VmId) {
        self.remove_row(vm);
    }

    fn remove_row(&mut self, vm: &VmId) -> Option<BackendRow> {
        let slot = self.by_vm.remove(vm)?;
        let row = self.slots[slot].take()?;
        self.free.push(slot);
        let slots = &mut self.group_entry(&row.carries).slots;
        if let Some(at) = slots.iter().position(|&s| s == slot) {
            slots.swap_remove(at);
        }
        self.drop_empty_groups(&row.carries);
        self.changes.changed_groups.insert(row.carries.clone());
        self.changes.joined.remove(vm);
        Some(row)
    }

    /// Returns the group for `carries`, which is created if it doesn't exist.
    fn group_entry(&mut self, carries: &Workload) -> &mut ServerGroup {
        match carries {
            Workload::Layers {
                model,
                version,
                layers,
                adapters,
            } => {
                let versions = self.by_version.entry(model.clone()).or_default();
                let stages = versions.entry(version.clone()).or_default();
                let key = StageKey {
                    layers: *layers,
                    adapters: adapters.clone(),
                };
                stages.entry(key).or_default()
            }
            Workload::Service(service) => self.by_service.entry(service.clone()).or_default(),
        }
    }

    fn drop_empty_groups(&mut self, carries: &Workload) {
        match carries {
            Workload::Layers { model, version, .. } => {
                let Some(versions) = self.by_version.get_mut(model) else {
                    return;
                };
                if let Some(stages) = versions.get_mut(version) {
                    stages.retain(|_, group| !group.slots.is_empty());
                }
                versions.retain(|_, stages| !stages.is_empty());
                if versions.is_empty() {
                    self.by_version.remove(model);
                }
            }
            Workload::Service(_) => self.by_service.retain(|_, group| !group.slots.is_empty()),
        }
    }

    /// Returns a backend server.
    pub fn get(&self, vm: &VmId) -> Option<&BackendRow> {
        self.by_vm.get(vm).and_then(|&slot| self.slot(slot))
    }

    /// Returns a backend server, to record observations.
    pub fn get_mut(&mut self, vm: &VmId) -> Option<&mut BackendRow> {
        let slot = *self.by_vm.get(vm)?;
        self.slots[slot].as_mut()
    }

    /// Returns the backend server in a slot.
    pub fn slot(&self, slot: usize) -> Option<&BackendRow> {
        self.slots.get(slot).and_then(Option::as_ref)
    }

    /// Returns the backend server in a slot, to record observations.
    pub fn slot_mut(&mut self, slot: usize) -> Option<&mut BackendRow> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    /// Returns the slot of a backend server.
    pub fn slot_of(&self, vm: &VmId) -> Option<usize> {
        self.by_vm.get(vm).copied()
    }

    /// Returns the group that serves `carries`, if it has any servers.
    pub fn group(&self, carries: &Workload) -> Option<&ServerGroup> {
        match carries {
            Workload::Layers {
                model,
                version,
                layers,
                adapters,
            } => {
                let key = StageKey {
                    layers: *layers,
                    adapters: adapters.clone(),
                };
                self.stages(model, version)?.get(&key)
            }
            Workload::Service(service) => self.by_service.get(service),
        }
    }

    /// Returns the group of a backend server, to record observations.
    pub fn group_mut(&mut self, vm: &VmId) -> Option<&mut ServerGroup> {
        let carries = self.get(vm)?.carries.clone();
        Some(self.group_entry(&carries))
    }

    /// Returns all backend servers, ordered by VM.
    pub fn iter(&self) -> impl Iterator<Item = &BackendRow> {
        self.by_vm.values().filter_map(|&slot| self.slot(slot))
    }

    /// Returns the engines of a model version, grouped by layers and adapters.
    pub fn stages(&self, model: &ModelId, version: &VersionId) -> Option<&Stages> {
        self.by_version.get(model)?.get(version)
    }

    /// Returns the slots of the servers of a plain service.
    pub fn servers(&self, service: &ServiceId) -> &[usize] {
        self.by_service
            .get(service)
            .map_or(&[], |group| &group.slots)
    }

    /// Returns the backend servers that hold layers of a model version.
    pub fn of_version(
        &self,
        model: &ModelId,
        version: &VersionId,
    ) -> impl Iterator<Item = &BackendRow> {
        let stages = self.stages(model, version).into_iter();
        let slots = stages.flat_map(|stages| stages.values().flat_map(|group| &group.slots));
        slots.filter_map(|&slot| self.slot(slot))
    }

    /// Returns the backend servers of a plain service.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &BackendRow> {
        let slots = self.servers(service).iter();
        slots.filter_map(|&slot| self.slot(slot))
    }
}

impl Serialize for BackendTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let rows = self.iter().map(|row| (&row.vm, row)).collect();
        Dump { rows }.serialize(serializer)
    }
}

#[derive(Serialize)]
struct Dump<'a> {
    rows: BTreeMap<&'a VmId, &'a BackendRow>,
}
