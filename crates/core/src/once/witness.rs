//! What a node records for the homes that named it as a witness.

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

/// What a witness recorded of one id; the first of the two is final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
enum Witnessed {
    /// The home was about to dispatch.
    Intended(Option<EndRecord>),
    /// The home must never dispatch.
    Sealed,
}

/// Ids that this node has witnessed.
///
/// A forgotten id leaves a floor behind: the home's ids up to that number can
/// be neither intended nor proved to be sealed any more. No clock of another
/// node is trusted for that.
#[derive(Debug, Default, Serialize)]
pub struct WitnessTable {
    #[serde(skip)]
    rows: BTreeMap<IntentId, Witnessed>,
    #[serde(skip)]
    order: VecDeque<(Timestamp, IntentId)>,
    #[serde(skip)]
    floors: BTreeMap<Instance, u64>,
}

impl WitnessTable {
    /// Records a home's intent, unless the id is sealed.
    pub fn intend(&mut self, now: Timestamp, intent: &IntentId) -> IntendAnswer {
        match self.rows.get(intent) {
            Some(Witnessed::Intended(_)) => IntendAnswer::Recorded,
            Some(Witnessed::Sealed) => IntendAnswer::Sealed,
            None if self.is_forgotten(intent) => IntendAnswer::Sealed,
            None => {
                self.insert(now, intent, Witnessed::Intended(None));
                IntendAnswer::Recorded
            }
        }
    }

    /// Seals an id, unless its home's intent is recorded.
    pub fn seal(&mut self, now: Timestamp, intent: &IntentId) -> SealAnswer {
        match self.rows.get(intent) {
            Some(Witnessed::Intended(recorded)) => SealAnswer::Intended(recorded.clone()),
            Some(Witnessed::Sealed) => SealAnswer::Sealed,
            None if self.is_forgotten(intent) => SealAnswer::Forgotten,
            None => {
                self.insert(now, intent, Witnessed::Sealed);
                SealAnswer::Sealed
            }
        }
    }

    /// Keeps what became of a request whose intent is recorded.
    pub fn ended(&mut self, intent: &IntentId, recorded: EndRecord) {
        if let Some(Witnessed::Intended(known)) = self.rows.get_mut(intent) {
            known.get_or_insert(recorded);
        }
    }

    /// Forgets ids that were recorded longer than `remember` ago, and the
    /// oldest ones beyond `max`.
    pub fn forget(&mut self, now: Timestamp, remember: Duration, max: usize) {
        while let Some((recorded, _)) = self.order.front() {
            if now.since(*recorded) <= remember && self.order.len() <= max {
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

    /// Returns the number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn is_forgotten(&self, intent: &IntentId) -> bool {
        let floor = self.floors.get(&intent.home);
        floor.is_some_and(|&floor| intent.number <= floor)
    }

    fn insert(&mut self, now: Timestamp, intent: &IntentId, row: Witnessed) {
        self.rows.insert(intent.clone(), row);
        self.order.push_back((now, intent.clone()));
    }
}

#[cfg(test)]
mod tests;
