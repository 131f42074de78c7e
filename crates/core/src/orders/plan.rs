//! Decides which engine of a shard is read or ordered next.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::OrderConfig;
use crate::{
    ids::{AdapterId, FencingToken, LayerRange, ModelId, VersionId, VmId},
    time::Timestamp,
};

/// What an engine is to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether the engine refuses older tokens.
    pub checks_tokens: bool,
}

/// What an engine said that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// The token of the order in force.
    pub token: FencingToken,
    /// True while weights are on their way.
    pub loading: bool,
}

impl EngineState {
    /// Tells whether this is what the engine is to hold, loaded or not.
    pub fn matches(&self, desired: &DesiredState) -> bool {
        self.has_weights(desired) && self.adapters == desired.adapters
    }

    fn has_weights(&self, desired: &DesiredState) -> bool {
        self.model == desired.model
            && self.version == desired.version
            && self.layers == desired.layers
    }
}

/// One holder's time with a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The lease's token.
    pub token: FencingToken,
    /// When this node learned that it holds the lease.
    pub since: Timestamp,
}

/// What is to be done at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Ask what it holds.
    Read {
        /// The engine's VM.
        vm: VmId,
    },
    /// Order what it is to hold. The lease's token is asked for once more
    /// just before the order is sent.
    Send {
        /// The engine's VM.
        vm: VmId,
        /// The token of the lease.
        token: FencingToken,
        /// What it is to hold.
        desired: DesiredState,
    },
}

/// One engine of the shard.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderRow {
    /// What it is to hold; absent for one that was taken out.
    pub desired: Option<DesiredState>,
    /// What it said that it holds.
    pub held: Option<EngineState>,
    /// When it said so.
    pub read_at: Timestamp,
    /// When it is looked at next.
    pub due: Timestamp,
}

impl OrderRow {
    /// Tells whether the engine holds, loaded, what it is to hold.
    pub fn is_converged(&self) -> bool {
        match (&self.desired, &self.held) {
            (Some(desired), Some(held)) => held.matches(desired) && !held.loading,
            _ => false,
        }
    }

    fn needs_weights(&self) -> bool {
        match (&self.desired, &self.held) {
            (Some(desired), Some(held)) => !held.has_weights(desired),
            _ => false,
        }
    }
}

/// The engines of one shard, for the holder of its lease.
#[derive(Debug, Default, Serialize)]
pub struct ShardOrders {
    rows: BTreeMap<VmId, OrderRow>,
    #[serde(skip)]
    due: BTreeSet<(Timestamp, VmId)>,
    #[serde(skip)]
    loading: BTreeSet<VmId>,
    /// Engines that wait for their turn to load.
    waiting: BTreeSet<VmId>,
}

impl ShardOrders {
    /// Sets what an engine is to hold, or takes the engine out.
    pub fn set(&mut self, now: Timestamp, vm: &VmId, desired: Option<DesiredState>) {
        if desired.is_none() {
            if let Some(row) = self.rows.remove(vm) {
                self.due.remove(&(row.due, vm.clone()));
            }
            self.loading.remove(vm);
            self.waiting.remove(vm);
            return;
        }
        let row = self.rows.entry(vm.clone()).or_default();
        if row.desired == desired {
            return;
        }
        row.desired = desired;
        self.look_at(vm, now);
    }

    fn look_at(&mut self, vm: &VmId, at: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            self.due.remove(&(row.due, vm.clone()));
            row.due = at;
            self.due.insert((at, vm.clone()));
        }
    }

    /// Returns the engines.
    pub fn rows(&self) -> &BTreeMap<VmId, OrderRow> {
        &self.rows
    }

    /// Returns when there is something to do next.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Returns the engines whose turn it is to be read.
    pub fn reads(&mut self, now: Timestamp, cfg: &OrderConfig) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        while let Some((at, vm)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            self.look_at(&vm, now + cfg.read_back_interval);
            actions.push(OrderAction::Read { vm });
        }
        actions
    }

    /// Takes in what an engine holds; returns the orders that follow.
    pub fn read(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        held: EngineState,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Vec<OrderAction> {
        let Some(row) = self.rows.get_mut(vm) else {
            return Vec::new();
        };
        let loading = held.loading;
        row.held = Some(held);
        row.read_at = now;
        if loading {
            self.loading.insert(vm.clone());
        } else {
            self.loading.remove(vm);
        }
        if row.needs_weights() {
            self.waiting.insert(vm.clone());
        } else {
            self.waiting.remove(vm);
        }
        let mut actions: Vec<OrderAction> = self.stamp(now, vm, term, cfg).into_iter().collect();
        actions.extend(self.wave(now, term, cfg));
        actions
    }

    /// Forgets what an engine held, because it does not answer.
    pub fn lost(&mut self, vm: &VmId) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.held = None;
        }
        self.loading.remove(vm);
        self.waiting.remove(vm);
    }

    /// Orders an engine that needs no weights, so that it learns the token.
    fn stamp(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Option<OrderAction> {
        let row = self.rows.get(vm)?;
        let (desired, held) = (row.desired.as_ref()?, row.held.as_ref()?);
        let done = held.token == term.token && held.matches(desired);
        (!done && !row.needs_weights()).then(|| self.give(now, vm, term, cfg))?
    }

    /// Orders engines that must load weights, as many as may load at a time.
    fn wave(&mut self, now: Timestamp, term: LeaseTerm, cfg: &OrderConfig) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        while self.loading.len() < cfg.max_loading as usize {
            let Some(vm) = self.most_useful(now, term, cfg) else {
                break;
            };
            self.waiting.remove(&vm);
            let Some(action) = self.give(now, &vm, term, cfg) else {
                break;
            };
            self.loading.insert(vm);
            actions.push(action);
        }
        actions
    }

    fn may_order(&self, vm: &VmId, now: Timestamp, term: LeaseTerm, cfg: &OrderConfig) -> bool {
        let row = self.rows.get(vm);
        let desired = row.and_then(|row| row.desired.as_ref());
        desired.is_some_and(|d| d.checks_tokens || now >= term.since + cfg.max_delay)
    }

    fn give(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Option<OrderAction> {
        if !self.may_order(vm, now, term, cfg) {
            return None;
        }
        let desired = self.rows.get(vm)?.desired.clone()?;
        Some(OrderAction::Send {
            vm: vm.clone(),
            token: term.token,
            desired,
        })
    }

    /// Returns the waiting engine whose thinnest layer fewest engines hold.
    ///
    /// A pipeline runs no faster than its thinnest layer, so that is what
    /// restores most throughput; of equals, the one with the fewest layers to
    /// load is ready first.
    fn most_useful(&self, now: Timestamp, term: LeaseTerm, cfg: &OrderConfig) -> Option<VmId> {
        let waiting = self.waiting.iter();
        let may = waiting.filter(|vm| self.may_order(vm, now, term, cfg));
        let rank = |vm: &&VmId| {
            let desired = self.rows.get(*vm).and_then(|row| row.desired.as_ref());
            desired.map_or((usize::MAX, u16::MAX), |d| {
                (self.thinnest(d), d.layers.count())
            })
        };
        may.min_by_key(rank).cloned()
    }

    /// Returns the number of engines that hold, or are loading, the layer of
    /// the range that fewest have.
    fn thinnest(&self, desired: &DesiredState) -> usize {
        let same = |d: &&DesiredState| d.model == desired.model && d.version == desired.version;
        let serving = self
            .rows
            .iter()
            .filter(|(vm, row)| row.is_converged() || self.loading.contains(*vm));
        let ranges: Vec<LayerRange> = serving
            .filter_map(|(_, row)| row.desired.as_ref())
            .filter(same)
            .map(|d| d.layers)
            .collect();
        let holders = |layer: u16| {
            let covering = ranges.iter();
            covering
                .filter(|r| r.start() <= layer && layer < r.end())
                .count()
        };
        let layers = desired.layers.start()..desired.layers.end();
        layers.map(holders).min().unwrap_or(0)
    }
}
