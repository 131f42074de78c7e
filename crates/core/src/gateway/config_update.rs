//! Changes of the configuration that nodes pass on to each other.
//!
//! Load pattern: the configuration grows with the routes, and hundreds of nodes need a
//! change at the same moment. If each read the whole from the store, the store's bandwidth
//! would be divided among them, and the time until the last one has it would grow with
//! both numbers. A node that has the new version therefore passes on what has changed. See
//! `docs/design/platform.md`, "Configuration between nodes".

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{
    config::{CallerLimits, Configuration, Organisation, Route, Service},
    state::Gateway,
    store_view::{StoreEra, StorePosition},
};
use crate::ids::{OrganisationId, ServiceId};

/// Versions whose changes a node keeps. A node that has missed more gets the whole.
const MAX_VERSIONS_KEPT: usize = 64;

/// The version of a configuration, and the era of the store in which it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationBase {
    /// The version.
    pub version: u64,
    /// Versions of different eras may differ in content.
    pub era: StoreEra,
}

/// A configuration, as its changes since an earlier version or as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The version that the changes apply to, or `None` if the update is the whole.
    pub base: Option<u64>,
    /// The version that results.
    pub version: u64,
    /// Position in the store after the record of that version.
    pub end: StorePosition,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether routes may require keys.
    pub requires_keys: bool,
    /// Changed routes; `None` means that the route was removed.
    pub routes: BTreeMap<String, Option<Route>>,
    /// Changed services; `None` means that the service was removed.
    pub services: BTreeMap<ServiceId, Option<Service>>,
    /// Changed organisations; `None` means that the organisation was removed.
    pub organisations: BTreeMap<OrganisationId, Option<Organisation>>,
}

/// Error of an update that can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The active configuration is not the one that the changes apply to.
    #[error("the update applies to version {expected}, not to {active}")]
    OtherBase {
        /// The version that the update applies to.
        expected: u64,
        /// The active version; zero if there is none.
        active: u64,
    },
    /// The active configuration is as new.
    #[error("version {version} is not newer than {active}")]
    NotNewer {
        /// The version of the update.
        version: u64,
        /// The active version.
        active: u64,
    },
}

/// The parts of the configuration that differ between two versions.
#[derive(Debug, Default)]
struct ChangedParts {
    routes: BTreeSet<String>,
    services: BTreeSet<ServiceId>,
    organisations: BTreeSet<OrganisationId>,
}

impl ChangedParts {
    fn between(old: &Configuration, new: &Configuration) -> Self {
        let empty = BTreeMap::new();
        let organisations = |c| Option::as_ref(c).unwrap_or(&empty);
        Self {
            routes: changed_keys(&old.routes, &new.routes),
            services: changed_keys(&old.services, &new.services),
            organisations: changed_keys(
                organisations(&old.organisations),
                organisations(&new.organisations),
            ),
        }
    }

    fn extend(&mut self, other: &Self) {
        self.routes.extend(other.routes.iter().cloned());
        self.services.extend(other.services.iter().cloned());
        let organisations = other.organisations.iter();
        self.organisations.extend(organisations.cloned());
    }
}

fn changed_keys<K: Ord + Clone, V: PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeSet<K> {
    let added_or_changed = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value));
    let removed = old.keys().filter(|key| !new.contains_key(key));
    let added_or_changed = added_or_changed.map(|(key, _)| key);
    added_or_changed.chain(removed).cloned().collect()
}

/// What the latest versions changed. Names are kept, not values, so that the history is
/// small however large the configuration is.
#[derive(Debug, Default)]
pub(super) struct ConfigurationHistory {
    /// Whether other nodes rely on this one for updates.
    is_kept: bool,
    /// The parts that each version changed, with the version before it. The versions
    /// follow each other.
    versions: VecDeque<(u64, ChangedParts)>,
}

impl ConfigurationHistory {
    /// Records that a configuration was replaced by a newer one.
    pub(super) fn record(&mut self, old: &Configuration, new: &Configuration) {
        if !self.is_kept {
            return;
        }
        let changed = ChangedParts::between(old, new);
        self.versions.push_back((old.version, changed));
        if self.versions.len() > MAX_VERSIONS_KEPT {
            self.versions.pop_front();
        }
    }

    /// Returns the parts that changed after the version `base`, or `None` if the history
    /// does not reach back that far.
    fn changed_since(&self, base: u64) -> Option<ChangedParts> {
        let mut later = self.versions.iter().skip_while(|(old, _)| *old != base);
        let (_, first) = later.next()?;
        let mut changed = ChangedParts::default();
        changed.extend(first);
        later.for_each(|(_, other)| changed.extend(other));
        Some(changed)
    }
}

/// Returns the values of these keys; `None` stands for a key without a value.
fn select<K: Ord + Clone, V: Clone>(
    keys: BTreeSet<K>,
    values: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let keys = keys.into_iter();
    keys.map(|key| (key.clone(), values.get(&key).cloned()))
        .collect()
}

fn apply<K: Ord, V>(values: &mut BTreeMap<K, V>, changes: BTreeMap<K, Option<V>>) {
    for (key, value) in changes {
        match value {
            Some(value) => drop(values.insert(key, value)),
            None => drop(values.remove(&key)),
        }
    }
}

impl ConfigurationUpdate {
    fn new(cfg: &Configuration, end: StorePosition, base: Option<(u64, ChangedParts)>) -> Self {
        let empty = BTreeMap::new();
        let organisations = cfg.organisations.as_ref().unwrap_or(&empty);
        let (base, changed) = match base {
            Some((version, changed)) => (Some(version), changed),
            None => (None, ChangedParts::between(&Configuration::default(), cfg)),
        };
        Self {
            base,
            version: cfg.version,
            end,
            limits: cfg.limits,
            requires_keys: cfg.organisations.is_some(),
            routes: select(changed.routes, &cfg.routes),
            services: select(changed.services, &cfg.services),
            organisations: select(changed.organisations, organisations),
        }
    }

    /// Returns the configuration that results from `active`.
    fn resolve(self, active: Option<&Configuration>) -> Result<Configuration, UpdateError> {
        let version = active.map_or(0, |c| c.version);
        let mut configuration = match self.base {
            None => Configuration::default(),
            Some(expected) => active
                .filter(|active| active.version == expected)
                .cloned()
                .ok_or(UpdateError::OtherBase {
                    expected,
                    active: version,
                })?,
        };
        if self.version <= version {
            return Err(UpdateError::NotNewer {
                version: self.version,
                active: version,
            });
        }
        configuration.version = self.version;
        configuration.limits = self.limits;
        apply(&mut configuration.routes, self.routes);
        apply(&mut configuration.services, self.services);
        let mut organisations = configuration.organisations.unwrap_or_default();
        apply(&mut organisations, self.organisations);
        configuration.organisations = self.requires_keys.then_some(organisations);
        Ok(configuration)
    }
}

impl Gateway {
    /// Sets whether other nodes rely on this one for updates of the configuration.
    pub fn keep_configuration_history(&mut self, is_kept: bool) {
        if self.configuration_history.is_kept != is_kept {
            self.configuration_history = ConfigurationHistory {
                is_kept,
                versions: VecDeque::new(),
            };
        }
    }

    /// Records the position in the store up to which the active configuration is known
    /// to be the newest record.
    pub fn record_configuration_end(&mut self, end: StorePosition) {
        self.configuration_end = self.configuration_end.max(Some(end));
    }

    /// Returns the position at which the next read of the configuration starts.
    pub fn configuration_end(&self) -> Option<StorePosition> {
        self.configuration_end
    }

    /// Returns the active version and its era, from which another node can send the
    /// changes.
    pub fn configuration_base(&self) -> Option<ConfigurationBase> {
        let (version, era) = (self.configuration()?.version, self.configuration_end?.era);
        Some(ConfigurationBase { version, era })
    }

    /// Returns the active configuration for a node that has `base`, or `None` if this
    /// node has none.
    pub fn configuration_update(
        &self,
        base: Option<ConfigurationBase>,
    ) -> Option<ConfigurationUpdate> {
        let end = self.configuration_end?;
        let base = base.filter(|base| base.era == end.era);
        let base = base.and_then(|base| {
            let changed = self.configuration_history.changed_since(base.version)?;
            Some((base.version, changed))
        });
        Some(ConfigurationUpdate::new(self.configuration()?, end, base))
    }

    /// Activates the configuration that a node has passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not newer than the active one, or if its changes apply
    /// to another version.
    pub fn apply_configuration_update(
        &mut self,
        update: ConfigurationUpdate,
    ) -> Result<(), UpdateError> {
        let end = update.end;
        let configuration = update.resolve(self.configuration().map(Arc::as_ref))?;
        self.set_configuration(configuration);
        // A node enters another era of the store by a read of its own.
        if self.configuration_end.is_none_or(|own| own.era == end.era) {
            self.record_configuration_end(end);
        }
        Ok(())
    }
}
