//! Other entry nodes, as heard from themselves.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    ids::{Incarnation, VmId},
    peer::Heartbeat,
    time::Timestamp,
};

/// Another entry node.
#[derive(Debug, Clone, Serialize)]
pub struct MemberRow {
    /// Its life.
    pub incarnation: Incarnation,
    /// When it was heard last.
    pub heard: Timestamp,
    /// What it said last.
    pub said: Heartbeat,
}

/// Other entry nodes by VM.
#[derive(Debug, Default, Serialize)]
pub struct MemberTable {
    rows: BTreeMap<VmId, MemberRow>,
}

impl MemberTable {
    /// Takes in what a node said, unless a newer life of it was heard.
    pub fn heard(&mut self, vm: VmId, row: MemberRow) {
        let newer = self
            .rows
            .get(&vm)
            .is_some_and(|old| old.incarnation > row.incarnation);
        if !newer {
            self.rows.insert(vm, row);
        }
    }

    /// Returns a node.
    pub fn get(&self, vm: &VmId) -> Option<&MemberRow> {
        self.rows.get(vm)
    }

    /// Returns all nodes that were heard.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &MemberRow)> {
        self.rows.iter()
    }
}
