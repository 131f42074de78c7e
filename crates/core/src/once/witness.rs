//! Intents and seals that a node records as a witness of other homes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::Serialize;

use super::{
    ids::{Instance, IntentId},
    message::{IntendAnswer, SealAnswer},
    record::EndRecord,
};
use crate::time::Timestamp;

/// What a witness recorded for an id. The first record of an id is final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
enum WitnessRecord {
    /// The home is about to dispatch the request; holds the end of the request
    /// once the home has sent it.
    Intended(Option<EndRecord>),
    /// The home must never dispatch.
    Sealed,
}

/// The ids that this node has recorded as a witness.
///
/// Dropping an id raises a floor for its home. For ids up to the floor, this
/// node refuses the intent and proves no seal, because the dropped record may have
/// been either. The rule doesn't rely on the clocks of other nodes.
#[derive(Debug, Default, Serialize)]
pub struct WitnessTable {
    #[serde(skip)]
    rows: BTreeMap<IntentId, WitnessRecord>,
    #[serde(skip)]
    order: VecDeque<(Timestamp, IntentId)>,
    #[serde(skip)]
    floors: BTreeMap<Instance, u64>,
}

impl WitnessTable {
    /// Records a home's intent to dispatch, unless the id is sealed.
    pub fn intend(&mut self, now: Timestamp, intent: &IntentId) -> IntendAnswer {
        match self.rows.get(intent) {
            Some(WitnessRecord::Intended(_)) => IntendAnswer::Recorded,
            Some(WitnessRecord::Sealed) => IntendAnswer::Sealed,
            None if self.is_forgotten(intent) => IntendAnswer::Sealed,
            None => {
                self.insert(now, intent, WitnessRecord::Intended(None));
                IntendAnswer::Recorded
            }
        }
    }

    /// Seals an id, unless the intent of its home is recorded.
    pub fn seal(&mut self, now: Timestamp, intent: &IntentId) -> SealAnswer {
        match self.rows.get(intent) {
            Some(WitnessRecord::Intended(recorded)) => SealAnswer::Intended(recorded.clone()),
            Some(WitnessRecord::Sealed) => SealAnswer::Sealed,
            None if self.is_forgotten(intent) => SealAnswer::Forgotten,
            None => {
                self.insert(now, intent, WitnessRecord::Sealed);
                SealAnswer::Sealed
            }
        }
    }

    /// Stores the end of a request whose intent is recorded.
    pub fn ended(&mut self, intent: &IntentId, recorded: EndRecord) {
        if let Some(WitnessRecord::Intended(stored)) = self.rows.get_mut(intent) {
            stored.get_or_insert(recorded);
        }
    }

    /// Drops the ids that were recorded more than `retention` ago, and the oldest
    /// ids beyond `max`.
    pub fn drop_old(&mut self, now: Timestamp, retention: Duration, max: usize) {
        while let Some((recorded, _)) = self.order.front() {
            if now.since(*recorded) <= retention && self.order.len() <= max {
                return;
            }
            let Some((_, intent)) = self.order.pop_front() else {
                return;
            };
            self.rows.remove(&intent);
            let floor = self.floors.entry(intent.home).or_default();
            *floor = intent.number.max(*floor);
        }
    }

    /// Returns the number of recorded ids.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no id is recorded.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn is_forgotten(&self, intent: &IntentId) -> bool {
        let floor = self.floors.get(&intent.home);
        floor.is_some_and(|&floor| intent.number <= floor)
    }

    fn insert(&mut self, now: Timestamp, intent: &IntentId, row: WitnessRecord) {
        self.rows.insert(intent.clone(), row);
        self.order.push_back((now, intent.clone()));
    }
}

#[cfg(test)]
mod tests;
