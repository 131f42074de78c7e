//! The VM list as last heard.

use std::collections::{BTreeMap, BTreeSet};

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
    /// Takes over a list; returns the VMs that were added, removed or changed.
    pub fn replace(&mut self, list: VmList) -> BTreeSet<VmId> {
        let rows: BTreeMap<VmId, Vm> = list.vms.into_iter().map(|v| (v.vm.clone(), v)).collect();
        let old = std::mem::replace(&mut self.rows, rows);
        let new = self.rows.iter();
        let differs = new.filter(|(vm, row)| old.get(vm) != Some(row));
        let removed = old.keys().filter(|vm| !self.rows.contains_key(vm));
        differs.map(|(vm, _)| vm).chain(removed).cloned().collect()
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
