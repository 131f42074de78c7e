//! The VM list as last heard.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::VmId,
    platform::{Vm, VmList, VmRole},
};

/// VMs by name.
#[derive(Debug, Default, Serialize)]
pub struct VmTable {
    rows: BTreeMap<VmId, Vm>,
}

impl VmTable {
    /// Takes over a list; returns true if it differs from the one before.
    pub fn replace(&mut self, list: VmList) -> bool {
        let rows: BTreeMap<VmId, Vm> = list.vms.into_iter().map(|v| (v.vm.clone(), v)).collect();
        let changed = rows != self.rows;
        self.rows = rows;
        changed
    }

    /// Returns a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Vm> {
        self.rows.get(vm)
    }

    /// Returns the entry nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Vm> {
        self.rows.values().filter(|vm| vm.role == VmRole::Node)
    }
}
