//! Selects the engines of a shard to read or to send orders to next.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::OrderConfig;
use crate::{
    ids::{AdapterId, FencingToken, LayerRange, ModelId, VersionId, VmId},
    time::Timestamp,
};

/// The state that an engine must have according to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether the engine refuses orders with an older fencing token.
    pub checks_tokens: bool,
}

/// The state that an engine reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The layers.
    pub layers: LayerRange,
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// The fencing token of the last order that the engine accepted.
    pub token: FencingToken,
    /// Whether the engine is still loading weights.
    pub loading: bool,
}

impl EngineState {
    /// Returns whether this is the desired state, even if the engine is still
    /// loading the weights.
    pub fn matches(&self, desired: &DesiredState) -> bool {
        self.has_weights(desired) && self.adapters == desired.adapters
    }

    fn has_weights(&self, desired: &DesiredState) -> bool {
        self.model == desired.model
            && self.version == desired.version
            && self.layers == desired.layers
    }
}

/// The term of this node as the holder of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The fencing token of the lease.
    pub token: FencingToken,
    /// When this node read in the log that it holds the lease.
    pub since: Timestamp,
}

/// A request that the node makes to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the state of the engine.
    Read {
        /// The VM of the engine.
        vm: VmId,
    },
    /// Send the desired state as an order. The sender checks again that the
    /// node still holds the lease right before it sends.
    Send {
        /// The VM of the engine.
        vm: VmId,
        /// The fencing token of the lease.
        token: FencingToken,
        /// The desired state.
        desired: DesiredState,
    },
}

/// The state of one engine of the shard.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrderRow {
    /// The desired state; `None` if there is none.
    pub desired: Option<DesiredState>,
    /// The state that it reported; `None` before that and while it is
    /// unreachable.
    pub held: Option<EngineState>,
    /// When it last reported its state.
    pub read_at: Timestamp,
    /// When it is read next.
    pub due: Timestamp,
}

impl OrderRow {
    /// Returns whether the engine has loaded its desired state.
    pub fn is_converged(&self) -> bool {
        match (&self.desired, &self.held) {
            (Some(desired), Some(held)) => held.matches(desired) && !held.loading,
            _ => false,
        }
    }

    /// Returns whether the engine must load other weights.
    fn must_load(&self) -> bool {
        match (&self.desired, &self.held) {
            (Some(desired), Some(held)) => !held.has_weights(desired),
            _ => false,
        }
    }
}

/// The engines of one shard, as tracked by the holder of its lease.
#[derive(Debug, Default, Serialize)]
pub struct ShardOrders {
    rows: BTreeMap<VmId, OrderRow>,
    #[serde(skip)]
    due: BTreeSet<(Timestamp, VmId)>,
    #[serde(skip)]
    loading: BTreeSet<VmId>,
    /// Engines that must load weights and have not been ordered to.
    waiting: BTreeSet<VmId>,
}

impl ShardOrders {
    /// Sets the desired state of an engine, or removes the engine if it is `None`.
    pub fn set_desired(&mut self, now: Timestamp, vm: &VmId, desired: Option<DesiredState>) {
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
        self.schedule_read(vm, now);
    }

    fn schedule_read(&mut self, vm: &VmId, at: Timestamp) {
        if let Some(row) = self.rows.get_mut(vm) {
            self.due.remove(&(row.due, vm.clone()));
            row.due = at;
            self.due.insert((at, vm.clone()));
        }
    }

    /// Returns the engines of the shard.
    pub fn rows(&self) -> &BTreeMap<VmId, OrderRow> {
        &self.rows
    }

    /// Returns when the next engine is due to be read.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Returns a read for each engine that is due, and schedules the next one.
    pub fn due_reads(&mut self, now: Timestamp, cfg: &OrderConfig) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        while let Some((at, vm)) = self.due.first().cloned() {
            if at > now {
                break;
            }
            self.schedule_read(&vm, now + cfg.read_back_interval);
            actions.push(OrderAction::Read { vm });
        }
        actions
    }

    /// Applies the state that an engine reported; returns the resulting orders.
    pub fn apply_read(
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
        if row.must_load() {
            self.waiting.insert(vm.clone());
        } else {
            self.waiting.remove(vm);
        }
        let mut actions: Vec<OrderAction> = self
            .order_without_load(now, vm, term, cfg)
            .into_iter()
            .collect();
        actions.extend(self.start_loads(now, term, cfg));
        actions
    }

    /// Clears the state of an engine that did not respond.
    pub fn mark_unreachable(&mut self, vm: &VmId) {
        if let Some(row) = self.rows.get_mut(vm) {
            row.held = None;
        }
        self.loading.remove(vm);
        self.waiting.remove(vm);
    }

    /// Returns an order for an engine that need not load weights, unless it has
    /// the desired state and the current fencing token. The order makes the engine
    /// refuse older tokens.
    fn order_without_load(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Option<OrderAction> {
        let row = self.rows.get(vm)?;
        let (desired, held) = (row.desired.as_ref()?, row.held.as_ref()?);
        let up_to_date = held.token == term.token && held.matches(desired);
        (!up_to_date && !row.must_load()).then(|| self.order(now, vm, term, cfg))?
    }

    /// Returns orders for engines that must load weights, up to the number that
    /// may load at the same time.
    fn start_loads(
        &mut self,
        now: Timestamp,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        while self.loading.len() < cfg.max_loading as usize {
            let Some(vm) = self.next_to_load(now, term, cfg) else {
                break;
            };
            self.waiting.remove(&vm);
            let Some(action) = self.order(now, &vm, term, cfg) else {
                break;
            };
            self.loading.insert(vm);
            actions.push(action);
        }
        actions
    }

    /// Returns whether no order of the previous holder can take effect after one
    /// that is sent now.
    fn can_order(&self, vm: &VmId, now: Timestamp, term: LeaseTerm, cfg: &OrderConfig) -> bool {
        let row = self.rows.get(vm);
        let desired = row.and_then(|row| row.desired.as_ref());
        desired.is_some_and(|d| d.checks_tokens || now >= term.since + cfg.max_delay)
    }

    fn order(
        &mut self,
        now: Timestamp,
        vm: &VmId,
        term: LeaseTerm,
        cfg: &OrderConfig,
    ) -> Option<OrderAction> {
        if !self.can_order(vm, now, term, cfg) {
            return None;
        }
        let desired = self.rows.get(vm)?.desired.clone()?;
        Some(OrderAction::Send {
            vm: vm.clone(),
            token: term.token,
            desired,
        })
    }

    /// Returns the waiting engine whose scarcest layer has the fewest copies.
    ///
    /// The layer with the fewest copies limits the throughput of a pipeline, so
    /// loading it restores the most throughput. Among engines that are equal in
    /// this, the one with the fewest layers to load is selected, because it is
    /// ready first.
    fn next_to_load(&self, now: Timestamp, term: LeaseTerm, cfg: &OrderConfig) -> Option<VmId> {
        let waiting = self.waiting.iter();
        let candidates = waiting.filter(|vm| self.can_order(vm, now, term, cfg));
        let rank = |vm: &&VmId| {
            let desired = self.rows.get(*vm).and_then(|row| row.desired.as_ref());
            desired.map_or((usize::MAX, u16::MAX), |d| {
                (self.min_layer_copies(d), d.layers.count())
            })
        };
        candidates.min_by_key(rank).cloned()
    }

    /// Returns the minimum number of copies among the layers of the desired range.
    /// A copy counts if an engine has loaded it or is loading it.
    fn min_layer_copies(&self, desired: &DesiredState) -> usize {
        let same = |d: &&DesiredState| d.model == desired.model && d.version == desired.version;
        let loaded_or_loading = self
            .rows
            .iter()
            .filter(|(vm, row)| row.is_converged() || self.loading.contains(*vm));
        let ranges: Vec<LayerRange> = loaded_or_loading
            .filter_map(|(_, row)| row.desired.as_ref())
            .filter(same)
            .map(|d| d.layers)
            .collect();
        let copies = |layer: u16| {
            let covering = ranges.iter();
            covering
                .filter(|r| r.start() <= layer && layer < r.end())
                .count()
        };
        let layers = desired.layers.start()..desired.layers.end();
        layers.map(copies).min().unwrap_or(0)
    }
}
