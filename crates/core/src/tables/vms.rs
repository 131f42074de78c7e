//! The VM list as last received.

use std::{
    collections::{BTreeMap, BTreeSet},
    iter::Peekable,
};

use serde::Serialize;

use crate::{
    config::SetDigest,
    ids::VmId,
    platform::{Vm, VmChanges, VmList, VmRole},
};

/// VMs by name.
#[derive(Debug, Default, Serialize)]
pub struct VmTable {
    rows: BTreeMap<VmId, Vm>,
    /// The entry nodes among the VMs, indexed to list them without a scan over
    /// the backend servers.
    #[serde(skip)]
    nodes: BTreeSet<VmId>,
    #[serde(skip)]
    digest: SetDigest,
}

impl VmTable {
    /// Replaces the list; returns the VMs that were added, removed or changed.
    pub fn replace(&mut self, list: VmList) -> BTreeSet<VmId> {
        let changes = self.diff(list);
        let digest = self.digest_after(&changes);
        let touched = changes.touched();
        self.apply(changes, digest);
        touched
    }

    /// Returns the changes that turn this table into `list`. If a VM is listed
    /// twice, its last entry counts.
    pub fn diff(&self, list: VmList) -> VmChanges {
        let mut listed = list.vms;
        listed.sort_by(|a, b| a.vm.cmp(&b.vm));
        listed.dedup_by(|later, earlier| {
            let same = later.vm == earlier.vm;
            if same {
                std::mem::swap(later, earlier);
            }
            same
        });
        let mut changes = VmChanges::default();
        let mut rows = self.rows.values().peekable();
        for vm in listed {
            collect_removed(&mut rows, Some(&vm.vm), &mut changes.removed);
            let row = rows.next_if(|row| row.vm == vm.vm);
            if row != Some(&vm) {
                changes.put.push(vm);
            }
        }
        collect_removed(&mut rows, None, &mut changes.removed);
        changes
    }

    /// Returns the digest that the table would have after `changes`.
    pub fn digest_after(&self, changes: &VmChanges) -> SetDigest {
        let mut digest = self.digest;
        let put = changes.put.iter().map(|vm| &vm.vm);
        for old in put.chain(&changes.removed) {
            if let Some(row) = self.rows.get(old) {
                digest.remove(row);
            }
        }
        changes.put.iter().for_each(|vm| digest.add(vm));
        digest
    }

    /// Applies changes that name each VM once and result in `digest`; returns
    /// whether they affect entry nodes.
    pub fn apply(&mut self, changes: VmChanges, digest: SetDigest) -> bool {
        let mut concern_nodes = false;
        for vm in changes.removed {
            self.rows.remove(&vm);
            concern_nodes |= self.nodes.remove(&vm);
        }
        for vm in changes.put {
            let was_node = self.nodes.remove(&vm.vm);
            let is_node = vm.role == VmRole::Node;
            if is_node {
                self.nodes.insert(vm.vm.clone());
            }
            concern_nodes |= was_node || is_node;
            self.rows.insert(vm.vm.clone(), vm);
        }
        self.digest = digest;
        concern_nodes
    }

    /// Returns a digest of the whole list; equal lists have equal digests.
    pub fn digest(&self) -> SetDigest {
        self.digest
    }

    /// Returns a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Vm> {
        self.rows.get(vm)
    }

    /// Returns all VMs.
    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.rows.values()
    }

    /// Returns the entry nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Vm> {
        self.nodes.iter().filter_map(|vm| self.rows.get(vm))
    }
}

/// Advances `rows` to the row `until` and adds the skipped VMs to `removed`,
/// because the new list does not contain them.
fn collect_removed<'a>(
    rows: &mut Peekable<impl Iterator<Item = &'a Vm>>,
    until: Option<&VmId>,
    removed: &mut Vec<VmId>,
) {
    while let Some(row) = rows.next_if(|row| until.is_none_or(|until| row.vm < *until)) {
        removed.push(row.vm.clone());
    }
}
