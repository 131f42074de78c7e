//! Backend servers: the VM list joined with the configuration.
//!
//! Rows stand in slots, and indexes name the slots, so that a choice among
//! thousands of backend servers looks at a few of them; see
//! `docs/design/routing.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Serialize, Serializer};

use super::{Begins, Latency, VmTable};
use crate::{
    config::{Backend, Carries, Config, Kind, Object, ObjectKey},
    health::{Health, Phase, Usual},
    ids::{AdapterId, FailureDomain, LayerRange, ModelId, ServiceId, VersionId, VmId},
    platform::{Vm, VmState},
    time::Timestamp,
    watch::{HeldDigest, Report},
};

/// The newest steps that a backend server has answered.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Answered {
    /// When the latest one of all answered steps was sent.
    pub sent: Timestamp,
    /// Likewise of those that began a session; engines may let them wait
    /// behind all others.
    pub begin_sent: Timestamp,
}

/// A backend server as this node sees it.
#[derive(Debug, Clone, Serialize)]
pub struct BackendRow {
    /// Its VM.
    pub vm: VmId,
    /// Where it serves.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// What it carries.
    pub carries: Carries,
    /// Whether it stays.
    pub state: VmState,
    /// Sessions and calls that this node has there.
    pub in_flight: u32,
    /// How well it does, and how much work it may get.
    pub health: Health,
    /// Round trip in microseconds of the configured link to it; 0 if none is
    /// configured.
    pub link_us: f64,
    /// How long its steps take.
    pub latency: Latency,
    /// Sessions and calls that this node has ever begun there.
    pub begun: u64,
    /// The newest steps that it has answered.
    pub answered: Answered,
    /// When the last of them were begun.
    #[serde(skip)]
    pub begins: Begins,
    /// What its watchers told last of this life.
    pub report: Option<Report>,
    #[serde(skip)]
    configured: Option<HeldDigest>,
}

impl BackendRow {
    /// Tells whether new work may go there.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        self.state == VmState::Live && self.health.phase(now) != Phase::Ejected
    }

    /// Tells whether it holds, loaded, what is configured, as far as is known
    /// from a report younger than `fresh`; adapters count only if they are needed.
    pub fn holds(&self, now: Timestamp, fresh: Duration, adapters: bool) -> bool {
        let report = self.report.filter(|report| now.since(report.at) < fresh);
        let (Some(report), Some(configured)) = (report, self.configured) else {
            return true;
        };
        let said = report.body.holds;
        let right = said.weights == configured.weights;
        right && (!adapters || said.adapters == configured.adapters)
    }

    /// Returns the work that waits there by a report younger than `fresh` and
    /// than this node's own observation, with what this node has begun since;
    /// 0 without one.
    pub fn reported_queue(&self, now: Timestamp, fresh: Duration) -> u32 {
        let report = self.report.filter(|report| now.since(report.at) < fresh);
        // What this node saw of its own steps since is newer and not rounded.
        let report = report.filter(|report| report.at > self.latency.observed);
        let Some((queue, at)) = report.and_then(|r| Some((r.body.queue?, r.at))) else {
            return 0;
        };
        queue.queued().saturating_add(self.begins.since(at))
    }

    /// Counts work that begins there.
    pub fn begin(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.begun += 1;
        self.begins.note(now);
    }

    /// Notes an answer to a step that was sent at `sent` and perhaps began a
    /// session.
    pub fn note_answer(&mut self, sent: Timestamp, begins: bool) {
        self.answered.sent = self.answered.sent.max(sent);
        if begins {
            self.answered.begin_sent = self.answered.begin_sent.max(sent);
        }
    }

    /// Counts work that ended there.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// What engines of a version have in common for routing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageKey {
    /// The layers that they hold.
    pub layers: LayerRange,
    /// The adapters that they carry.
    pub adapters: BTreeSet<AdapterId>,
}

/// Backend servers that carry the same.
#[derive(Debug, Default)]
pub struct Group {
    /// Their slots.
    pub slots: Vec<usize>,
    /// How long their answers usually take.
    pub usual: Usual,
    /// When this node first had any.
    pub since: Option<Timestamp>,
}

/// The engines of one version, by what they hold.
pub type Stages = BTreeMap<StageKey, Group>;

/// Backend servers by VM, with indexes by what they carry.
#[derive(Debug, Default)]
pub struct BackendTable {
    slots: Vec<Option<BackendRow>>,
    free: Vec<usize>,
    by_vm: BTreeMap<VmId, usize>,
    by_version: BTreeMap<ModelId, BTreeMap<VersionId, Stages>>,
    by_service: BTreeMap<ServiceId, Group>,
    home: Option<FailureDomain>,
    changes: GroupChanges,
}

/// What changed in the groups since it was last asked for.
#[derive(Debug, Default)]
pub struct GroupChanges {
    /// Backend servers that joined a group, or may take work again.
    pub joined: BTreeSet<VmId>,
    /// What is carried by the groups that servers joined or left.
    pub groups: BTreeSet<Carries>,
}

impl BackendTable {
    /// Sets the failure domain from which links are counted.
    pub fn set_home(&mut self, home: FailureDomain) {
        self.home = Some(home);
    }

    /// Joins the VM list with the configuration anew, keeping what was
    /// learned of backend servers that are still there.
    pub fn rebuild(&mut self, config: &Config, vms: &VmTable) {
        let gone: Vec<VmId> = self.by_vm.keys().cloned().collect();
        let mut gone: BTreeSet<VmId> = gone.into_iter().collect();
        let links = self.links(config);
        for backend in config.backends() {
            gone.remove(&backend.id);
            self.join(backend, vms.get(&backend.id), &links);
        }
        for vm in gone {
            self.remove(&vm);
        }
    }

    /// Joins some backend servers anew, after their configuration or VMs
    /// changed; the others cost nothing.
    pub fn update(&mut self, config: &Config, vms: &VmTable, changed: &BTreeSet<VmId>) {
        let links = self.links(config);
        for vm in changed {
            let key = ObjectKey {
                kind: Kind::Backend,
                name: vm.to_string(),
            };
            match config.objects().get(&key).map(|entry| &entry.object) {
                Some(Object::Backend(backend)) => self.join(backend, vms.get(vm), &links),
                _ => self.remove(vm),
            }
        }
    }

    /// Returns the round trips of the links that begin or end at home.
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
            if self.home.as_ref() == Some(&link.from) {
                *links.entry(link.to.clone()).or_default() += one_way;
            }
            if self.home.as_ref() == Some(&link.to) {
                *links.entry(link.from.clone()).or_default() += one_way;
            }
        }
        links
    }

    fn join(&mut self, backend: &Backend, vm: Option<&Vm>, links: &BTreeMap<FailureDomain, f64>) {
        let Some(vm) = vm else {
            return self.remove(&backend.id);
        };
        let link_us = links.get(&vm.failure_domain).copied().unwrap_or(0.0);
        if let Some(row) = self.get_mut(&backend.id) {
            let same_life = row.address == vm.address;
            if !same_life {
                row.latency = Latency::default();
                row.answered = Answered::default();
                row.health = Health::default();
                row.report = None;
            }
            let changed = !same_life || row.state != vm.state;
            row.address = vm.address;
            row.state = vm.state;
            row.link_us = link_us;
            row.failure_domain = vm.failure_domain.clone();
            if row.carries == backend.carries {
                if changed {
                    self.note(vm, &backend.carries);
                }
                return;
            }
        }
        self.note(vm, &backend.carries);
        let old = self.take(&backend.id);
        let old = old.as_ref();
        self.insert(BackendRow {
            vm: backend.id.clone(),
            address: vm.address,
            failure_domain: vm.failure_domain.clone(),
            carries: backend.carries.clone(),
            state: vm.state,
            in_flight: old.map_or(0, |row| row.in_flight),
            health: old.map_or_else(Health::default, |row| row.health.clone()),
            link_us,
            latency: Latency::default(),
            begun: 0,
            answered: Answered::default(),
            begins: old.map_or_else(Begins::default, |row| row.begins.clone()),
            report: old.and_then(|row| row.report),
            configured: HeldDigest::from_carries(&backend.carries),
        });
    }

    fn note(&mut self, vm: &Vm, carries: &Carries) {
        self.changes.groups.insert(carries.clone());
        if vm.state == VmState::Live {
            self.changes.joined.insert(vm.vm.clone());
        }
    }

    /// Returns what changed in the groups since the last call.
    pub fn take_changes(&mut self) -> GroupChanges {
        std::mem::take(&mut self.changes)
    }

    fn insert(&mut self, row: BackendRow) {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        self.by_vm.insert(row.vm.clone(), slot);
        self.index(&row.carries).slots.push(slot);
        if slot == self.slots.len() {
            self.slots.push(Some(row));
        } else {
            self.slots[slot] = Some(row);
        }
    }

    fn remove(&mut self, vm: &VmId) {
        self.take(vm);
    }

    fn take(&mut self, vm: &VmId) -> Option<BackendRow> {
        let slot = self.by_vm.remove(vm)?;
        let row = self.slots[slot].take()?;
        self.free.push(slot);
        let slots = &mut self.index(&row.carries).slots;
        if let Some(at) = slots.iter().position(|&s| s == slot) {
            slots.swap_remove(at);
        }
        self.drop_empty(&row.carries);
        self.changes.groups.insert(row.carries.clone());
        self.changes.joined.remove(vm);
        Some(row)
    }

    /// Returns the group of the backend servers that carry the same.
    fn index(&mut self, carries: &Carries) -> &mut Group {
        match carries {
            Carries::Layers {
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
            Carries::Service(service) => self.by_service.entry(service.clone()).or_default(),
        }
    }

    fn drop_empty(&mut self, carries: &Carries) {
        match carries {
            Carries::Layers { model, version, .. } => {
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
            Carries::Service(_) => self.by_service.retain(|_, group| !group.slots.is_empty()),
        }
    }

    /// Returns a backend server.
    pub fn get(&self, vm: &VmId) -> Option<&BackendRow> {
        self.by_vm.get(vm).and_then(|&slot| self.slot(slot))
    }

    /// Returns a backend server for a change of what was learned.
    pub fn get_mut(&mut self, vm: &VmId) -> Option<&mut BackendRow> {
        let slot = *self.by_vm.get(vm)?;
        self.slots[slot].as_mut()
    }

    /// Returns the backend server of a slot that an index named.
    pub fn slot(&self, slot: usize) -> Option<&BackendRow> {
        self.slots.get(slot).and_then(Option::as_ref)
    }

    /// Returns the backend server of a slot for a change of what was learned.
    pub fn slot_mut(&mut self, slot: usize) -> Option<&mut BackendRow> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    /// Returns the slot of a backend server.
    pub fn slot_of(&self, vm: &VmId) -> Option<usize> {
        self.by_vm.get(vm).copied()
    }

    /// Returns the group of the backend servers that carry the same, if there
    /// are any.
    pub fn group(&self, carries: &Carries) -> Option<&Group> {
        match carries {
            Carries::Layers {
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
            Carries::Service(service) => self.by_service.get(service),
        }
    }

    /// Returns the group of a backend server for a change of what was learned.
    pub fn group_mut(&mut self, vm: &VmId) -> Option<&mut Group> {
        let carries = self.get(vm)?.carries.clone();
        Some(self.index(&carries))
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendRow> {
        self.by_vm.values().filter_map(|&slot| self.slot(slot))
    }

    /// Returns the engines of a version by what they hold.
    pub fn stages(&self, model: &ModelId, version: &VersionId) -> Option<&Stages> {
        self.by_version.get(model)?.get(version)
    }

    /// Returns the slots of the servers of a plain service.
    pub fn servers(&self, service: &ServiceId) -> &[usize] {
        self.by_service
            .get(service)
            .map_or(&[], |group| &group.slots)
    }

    /// Returns the backend servers that carry layers of a version.
    pub fn of_version(
        &self,
        model: &ModelId,
        version: &VersionId,
    ) -> impl Iterator<Item = &BackendRow> {
        let stages = self.stages(model, version).into_iter();
        let slots = stages.flat_map(|stages| stages.values().flat_map(|group| &group.slots));
        slots.filter_map(|&slot| self.slot(slot))
    }

    /// Returns the backend servers that carry a plain service.
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
