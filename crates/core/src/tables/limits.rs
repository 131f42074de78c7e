//! Concurrency limits of model versions at this node, and the requests queued
//! behind them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use serde::Serialize;

use crate::{
    ids::{ModelId, OrganisationId, Priority, RequestKey, VersionId},
    time::Timestamp,
};

/// Weight of one tick in the moving averages.
const TICK_GAIN: f64 = 0.3;

/// A version of a model; its engines share one limit.
pub type LimitKey = (ModelId, VersionId);

/// The order in which requests of one organisation run: by priority, then by
/// deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitKey {
    /// The priority, highest first.
    pub priority: Reverse<Priority>,
    /// The deadline.
    pub deadline: Timestamp,
    /// The request.
    pub key: RequestKey,
}

/// The requests of one organisation for one version.
#[derive(Debug, Clone, Default, Serialize)]
pub struct OrganisationUsage {
    /// Number of running requests.
    pub running: u32,
    /// Weight of the organisation when the limit is divided.
    pub share: u32,
    /// The queued requests.
    #[serde(skip)]
    pub waiting: BTreeSet<WaitKey>,
}

/// The concurrency limit of one version and the measurements that drive it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Limit {
    /// Maximum number of concurrent requests.
    pub limit: f64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Moving average of the ratio of waiting time to service time.
    pub congestion: f64,
    /// Requests that ended, per second.
    pub ended_per_s: f64,
    /// Organisations with running or queued requests.
    pub organisations: BTreeMap<OrganisationId, OrganisationUsage>,
    #[serde(skip)]
    wait_us: f64,
    #[serde(skip)]
    service_us: f64,
    #[serde(skip)]
    ended: u32,
}

impl Limit {
    /// Creates a limit without measurements.
    pub fn new(limit: f64) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Records an answered step: the time it waited and the time the engine
    /// needed, in microseconds.
    pub fn observe(&mut self, wait_us: f64, service_us: f64) {
        self.wait_us += wait_us;
        self.service_us += service_us;
    }

    /// Updates the averages with the measurements since the last tick; returns
    /// whether any step was observed.
    pub fn tick(&mut self, seconds: f64) -> bool {
        let rate = f64::from(std::mem::take(&mut self.ended)) / seconds;
        self.ended_per_s += (rate - self.ended_per_s) * TICK_GAIN;
        let (wait, service) = (self.wait_us, self.service_us);
        (self.wait_us, self.service_us) = (0.0, 0.0);
        if service <= 0.0 {
            return false;
        }
        self.congestion += (wait / service - self.congestion) * TICK_GAIN;
        true
    }

    /// Returns whether another request may run.
    pub fn has_capacity(&self) -> bool {
        f64::from(self.running) < self.limit.floor().max(1.0)
    }

    /// Queues a request.
    pub fn wait(&mut self, organisation: &OrganisationId, share: u32, wait: WaitKey) {
        let entry = self.organisations.entry(organisation.clone()).or_default();
        entry.share = share.max(1);
        if entry.waiting.insert(wait) {
            self.waiting += 1;
        }
    }

    /// Removes a queued request; returns whether it was queued.
    pub fn stop_waiting(&mut self, organisation: &OrganisationId, wait: &WaitKey) -> bool {
        let entry = self.organisations.get_mut(organisation);
        let found = entry.is_some_and(|entry| entry.waiting.remove(wait));
        if found {
            self.waiting -= 1;
            self.drop_unused(organisation);
        }
        found
    }

    /// Records that a request starts to run.
    pub fn begin(&mut self, organisation: &OrganisationId) {
        self.running += 1;
        let entry = self.organisations.entry(organisation.clone()).or_default();
        entry.running += 1;
    }

    /// Records that a running request is paused and will resume. The
    /// organisation's entry is kept.
    pub fn pause(&mut self, organisation: &OrganisationId) {
        self.running = self.running.saturating_sub(1);
        if let Some(entry) = self.organisations.get_mut(organisation) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Records that a running request has ended.
    pub fn end(&mut self, organisation: &OrganisationId) {
        self.running = self.running.saturating_sub(1);
        self.ended += 1;
        if let Some(entry) = self.organisations.get_mut(organisation) {
            entry.running = entry.running.saturating_sub(1);
        }
        self.drop_unused(organisation);
    }

    fn drop_unused(&mut self, organisation: &OrganisationId) {
        let unused = |entry: &OrganisationUsage| entry.running == 0 && entry.waiting.is_empty();
        if self.organisations.get(organisation).is_some_and(unused) {
            self.organisations.remove(organisation);
        }
    }

    /// Returns the request to run next. Organisations below their share come
    /// first, then the order is by priority and deadline.
    pub fn next(&self) -> Option<(OrganisationId, WaitKey)> {
        let fair = self.fair_share();
        let first = |(id, entry): (&OrganisationId, &OrganisationUsage)| {
            let wait = *entry.waiting.first()?;
            Some((self.is_over_share(entry, fair), wait, id.clone()))
        };
        let next = self.organisations.iter().filter_map(first).min()?;
        Some((next.2, next.1))
    }

    /// Returns the request to shed first, which is the last one in the order of
    /// [`Limit::next`].
    pub fn next_to_shed(&self) -> Option<(OrganisationId, WaitKey)> {
        let fair = self.fair_share();
        let last = |(id, entry): (&OrganisationId, &OrganisationUsage)| {
            let wait = *entry.waiting.last()?;
            Some((self.is_over_share(entry, fair), wait, id.clone()))
        };
        let last = self.organisations.iter().filter_map(last).max()?;
        Some((last.2, last.1))
    }

    /// Returns the number of concurrent requests per unit of share.
    fn fair_share(&self) -> f64 {
        let shares: u32 = self.organisations.values().map(|entry| entry.share).sum();
        self.limit / f64::from(shares.max(1))
    }

    fn is_over_share(&self, entry: &OrganisationUsage, fair: f64) -> bool {
        f64::from(entry.running) >= fair * f64::from(entry.share)
    }
}

/// The limits of all versions, and this node's rank among the nodes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LimitTable {
    rows: BTreeMap<ModelId, BTreeMap<VersionId, Limit>>,
    /// Number of live nodes on the VM list, including this one.
    pub nodes: u32,
    /// Number of live nodes with names that sort before this one's.
    pub rank: u32,
    /// Requests rejected for lack of capacity, per second.
    pub rejected_per_s: f64,
    /// Requests admitted, per second.
    pub admitted_per_s: f64,
    /// Rejected and admitted requests since the last tick.
    #[serde(skip)]
    pub tick_counts: (u32, u32),
}

impl LimitTable {
    /// Sets the number of live nodes and this node's rank among them.
    pub fn set_nodes(&mut self, nodes: u32, rank: u32) {
        (self.nodes, self.rank) = (nodes, rank);
    }

    /// Returns the limit of a version.
    pub fn get_mut(&mut self, model: &ModelId, version: &VersionId) -> Option<&mut Limit> {
        self.rows.get_mut(model)?.get_mut(version)
    }

    /// Returns the limit of a version, which is created with `initial` if it
    /// doesn't exist.
    pub fn entry(&mut self, model: &ModelId, version: &VersionId, initial: f64) -> &mut Limit {
        if !self.rows.contains_key(model) {
            self.rows.insert(model.clone(), BTreeMap::new());
        }
        let versions = self
            .rows
            .get_mut(model)
            .expect("the model was just inserted");
        versions
            .entry(version.clone())
            .or_insert_with(|| Limit::new(initial))
    }

    /// Returns all limits.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Limit> {
        self.rows.values_mut().flat_map(BTreeMap::values_mut)
    }

    /// Returns the versions that have queued requests.
    pub fn waiting(&self) -> Vec<LimitKey> {
        let of_model = |(model, versions): (&ModelId, &BTreeMap<VersionId, Limit>)| {
            let waiting = versions.iter().filter(|(_, limit)| limit.waiting > 0);
            let key = |(version, _): (&VersionId, &Limit)| (model.clone(), version.clone());
            waiting.map(key).collect::<Vec<LimitKey>>()
        };
        self.rows.iter().flat_map(of_model).collect()
    }

    /// Updates the rates with the counts since the last tick.
    pub fn tick(&mut self, seconds: f64) {
        let (rejected, admitted) = std::mem::take(&mut self.tick_counts);
        let mean = |old: &mut f64, count: u32| {
            *old += (f64::from(count) / seconds - *old) * TICK_GAIN;
        };
        mean(&mut self.rejected_per_s, rejected);
        mean(&mut self.admitted_per_s, admitted);
    }

    /// Returns this node's share of a limit that applies to all nodes together.
    /// The shares of all nodes with the same VM list add up to the limit.
    pub fn node_share(&self, limit: u32) -> u32 {
        let nodes = self.nodes.max(1);
        limit / nodes + u32::from(self.rank < limit % nodes)
    }
}
