//! The home's part: each of its ids is dispatched at most once.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::Serialize;

use super::{
    ids::{Instance, IssuedId},
    message::IntendAnswer,
    record::{Claim, EndRecord, Mismatch},
};
use crate::{
    ids::{RequestId, RequestKey, VmId},
    time::Timestamp,
};

/// Somebody who waits for the end of a request that runs already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Waiter {
    /// A caller of this node.
    Caller(RequestKey),
    /// Another node, with its own number for the question.
    Node {
        /// The node's VM.
        vm: VmId,
        /// The node's number.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
    },
}

/// A request of this home that has not ended.
#[derive(Debug, Clone, Serialize)]
pub struct OpenIntent {
    /// What its id says.
    pub id: IssuedId,
    /// The id as text.
    pub text: RequestId,
    /// Whose it is, and for what.
    pub claim: Claim,
    /// The request's number inside this node.
    pub key: RequestKey,
    /// When it came.
    pub began: Timestamp,
    /// Witnesses that have not yet recorded the intent.
    pub missing: BTreeSet<Instance>,
    /// Whether it was dispatched.
    pub dispatched: bool,
    /// Text generated so far.
    #[serde(skip)]
    pub generated: String,
    /// Who else waits for its end.
    pub waiters: Vec<Waiter>,
}

/// What a home knows of a request at its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// It was never here, and is open now.
    New,
    /// It is open.
    Running,
    /// It has ended.
    Ended(EndRecord),
    /// It was never here, and is too old to be begun.
    Expired,
    /// It may have been here; ids as old as this one are forgotten.
    Forgotten,
    /// The id stands for another request.
    Mismatch(Mismatch),
}

/// What follows from a witness's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// All witnesses have recorded the intent; dispatch now, this once.
    Dispatch,
    /// Witnesses are still missing, or the answer is not of a named one.
    Wait,
    /// The request can't be dispatched any more.
    Refused,
}

/// Requests whose home is this node.
///
/// An ended id that is forgotten raises a floor: ids up to that number are
/// never begun again, whatever the time.
#[derive(Debug, Default, Serialize)]
pub struct HomeTable {
    open: BTreeMap<u64, OpenIntent>,
    #[serde(skip)]
    by_key: BTreeMap<RequestKey, u64>,
    #[serde(skip)]
    ended: BTreeMap<u64, EndRecord>,
    #[serde(skip)]
    order: VecDeque<(Timestamp, u64)>,
    #[serde(skip)]
    with_result: VecDeque<u64>,
    result_bytes: usize,
    floor: u64,
}

impl HomeTable {
    /// Takes in a request of this home under a number of this node.
    pub fn register(
        &mut self,
        now: Timestamp,
        life: Duration,
        key: RequestKey,
        issued: &IssuedId,
        text: &RequestId,
        claim: Claim,
    ) -> Registration {
        let number = issued.intent.number;
        if let Some(open) = self.open.get(&number) {
            let mismatch = open.claim.mismatch(&claim);
            return mismatch.map_or(Registration::Running, Registration::Mismatch);
        }
        if let Some(recorded) = self.ended.get(&number) {
            let mismatch = recorded.claim.mismatch(&claim);
            return mismatch.map_or_else(
                || Registration::Ended(recorded.clone()),
                Registration::Mismatch,
            );
        }
        if number <= self.floor {
            return Registration::Forgotten;
        }
        if now >= issued.issued + life {
            return Registration::Expired;
        }
        let open = OpenIntent {
            id: issued.clone(),
            text: text.clone(),
            claim,
            key,
            began: now,
            missing: issued.witnesses.iter().cloned().collect(),
            dispatched: false,
            generated: String::new(),
            waiters: Vec::new(),
        };
        self.open.insert(number, open);
        self.by_key.insert(key, number);
        Registration::New
    }

    /// Takes a witness's answer to the intent of a request.
    pub fn answered(
        &mut self,
        number: u64,
        from: &Instance,
        answer: IntendAnswer,
    ) -> DispatchDecision {
        let Some(open) = self.open.get_mut(&number) else {
            return DispatchDecision::Wait;
        };
        if open.dispatched || !open.id.witnesses.iter().any(|w| w.vm == from.vm) {
            return DispatchDecision::Wait;
        }
        if answer != IntendAnswer::Recorded {
            return DispatchDecision::Refused;
        }
        open.missing.remove(from);
        self.try_dispatch(number)
    }

    /// Tells whether a request may be dispatched, and marks it if so.
    pub fn try_dispatch(&mut self, number: u64) -> DispatchDecision {
        match self.open.get_mut(&number) {
            Some(open) if !open.dispatched && open.missing.is_empty() => {
                open.dispatched = true;
                DispatchDecision::Dispatch
            }
            _ => DispatchDecision::Wait,
        }
    }

    /// Returns the open request that has a number of this node.
    pub fn by_key(&self, key: RequestKey) -> Option<&OpenIntent> {
        self.open.get(self.by_key.get(&key)?)
    }

    /// Returns the open request that has a number of this node, for a change.
    pub fn by_key_mut(&mut self, key: RequestKey) -> Option<&mut OpenIntent> {
        self.open.get_mut(self.by_key.get(&key)?)
    }

    /// Returns an open request.
    pub fn open(&self, number: u64) -> Option<&OpenIntent> {
        self.open.get(&number)
    }

    /// Returns an open request for a change.
    pub fn open_mut(&mut self, number: u64) -> Option<&mut OpenIntent> {
        self.open.get_mut(&number)
    }

    /// Returns the open requests that wait for a witness on a VM.
    pub fn waiting_for(&self, vm: &VmId) -> Vec<u64> {
        let waits = |open: &&OpenIntent| open.missing.iter().any(|w| w.vm == *vm);
        let open = self.open.values().filter(|open| !open.dispatched);
        open.filter(waits)
            .map(|open| open.id.intent.number)
            .collect()
    }

    /// Returns the end of a request that is remembered.
    pub fn ended(&self, number: u64) -> Option<&EndRecord> {
        self.ended.get(&number)
    }

    /// Tells whether ids up to this number are forgotten.
    pub fn is_forgotten(&self, number: u64) -> bool {
        number <= self.floor
    }

    /// Closes an open request and remembers its end.
    pub fn finish(
        &mut self,
        now: Timestamp,
        key: RequestKey,
        end: impl FnOnce(&OpenIntent) -> EndRecord,
    ) -> Option<(OpenIntent, EndRecord)> {
        let number = self.by_key.remove(&key)?;
        let open = self.open.remove(&number)?;
        let recorded = end(&open);
        if let Some(result) = &recorded.result {
            self.result_bytes += result.len();
            self.with_result.push_back(number);
        }
        self.ended.insert(number, recorded.clone());
        self.order.push_back((now, number));
        Some((open, recorded))
    }

    /// Forgets what ended longer than `remember` ago, the oldest ends beyond
    /// `max_ended` and the oldest results beyond `max_bytes`.
    pub fn forget(
        &mut self,
        now: Timestamp,
        remember: Duration,
        max_ended: usize,
        max_bytes: usize,
    ) {
        while let Some(&(ended, number)) = self.order.front() {
            if now.since(ended) <= remember && self.order.len() <= max_ended {
                break;
            }
            self.order.pop_front();
            self.drop_result(number);
            if self.with_result.front() == Some(&number) {
                self.with_result.pop_front();
            }
            self.ended.remove(&number);
            self.floor = self.floor.max(number);
        }
        while self.result_bytes > max_bytes
            && let Some(number) = self.with_result.pop_front()
        {
            self.drop_result(number);
        }
    }

    fn drop_result(&mut self, number: u64) {
        let result = self.ended.get_mut(&number).and_then(|r| r.result.take());
        self.result_bytes -= result.map_or(0, |result| result.len());
    }

    /// Returns the number of requests that are open.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of ended requests that are remembered.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }
}

#[cfg(test)]
mod tests;
