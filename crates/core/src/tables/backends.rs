//! Backend servers: the VM list joined with the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::Serialize;

use super::VmTable;
use crate::{
    config::{Carries, Config},
    ids::{FailureDomain, ModelId, ServiceId, VersionId, VmId},
    platform::VmState,
    time::Timestamp,
};

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
    /// Until when it gets no new work, after a failure.
    pub avoid_until: Timestamp,
}

impl BackendRow {
    /// Tells whether new work may go there.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        self.state == VmState::Live && self.avoid_until <= now
    }
}

/// Backend servers by VM, with an index by what they carry.
#[derive(Debug, Default, Serialize)]
pub struct BackendTable {
    rows: BTreeMap<VmId, BackendRow>,
    #[serde(skip)]
    by_version: BTreeMap<(ModelId, VersionId), BTreeSet<VmId>>,
    #[serde(skip)]
    by_service: BTreeMap<ServiceId, BTreeSet<VmId>>,
}

impl BackendTable {
    /// Joins the VM list with the configuration anew, keeping what was
    /// learned of backend servers that are still there.
    pub fn rebuild(&mut self, config: &Config, vms: &VmTable) {
        let mut old = std::mem::take(&mut self.rows);
        self.by_version.clear();
        self.by_service.clear();
        for backend in config.backends() {
            let Some(vm) = vms.get(&backend.id) else {
                continue;
            };
            let learned = old.remove(&backend.id);
            let row = BackendRow {
                vm: backend.id.clone(),
                address: vm.address,
                failure_domain: vm.failure_domain.clone(),
                carries: backend.carries.clone(),
                state: vm.state,
                in_flight: learned.as_ref().map_or(0, |row| row.in_flight),
                avoid_until: learned.map_or(Timestamp::default(), |row| row.avoid_until),
            };
            self.index(&row);
            self.rows.insert(row.vm.clone(), row);
        }
    }

    fn index(&mut self, row: &BackendRow) {
        let vm = row.vm.clone();
        match &row.carries {
            Carries::Layers { model, version, .. } => {
                let key = (model.clone(), version.clone());
                self.by_version.entry(key).or_default().insert(vm);
            }
            Carries::Service(service) => {
                self.by_service
                    .entry(service.clone())
                    .or_default()
                    .insert(vm);
            }
        }
    }

    /// Returns a backend server.
    pub fn get(&self, vm: &VmId) -> Option<&BackendRow> {
        self.rows.get(vm)
    }

    /// Returns a backend server for a change of what was learned.
    pub fn get_mut(&mut self, vm: &VmId) -> Option<&mut BackendRow> {
        self.rows.get_mut(vm)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.values()
    }

    /// Returns the backend servers that carry layers of a version.
    pub fn of_version(
        &self,
        model: &ModelId,
        version: &VersionId,
    ) -> impl Iterator<Item = &BackendRow> {
        let key = (model.clone(), version.clone());
        let vms = self.by_version.get(&key).into_iter().flatten();
        vms.filter_map(|vm| self.rows.get(vm))
    }

    /// Returns the backend servers that carry a plain service.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &BackendRow> {
        let vms = self.by_service.get(service).into_iter().flatten();
        vms.filter_map(|vm| self.rows.get(vm))
    }
}
