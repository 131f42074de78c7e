//! Requests whose home is this node, each dispatched at most once.

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

/// A caller or node that waits for the end of a request that is already running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Waiter {
    /// A caller that is connected to this node.
    Caller(RequestKey),
    /// Another node, which forwarded the request or queried its outcome.
    Node {
        /// The node's VM.
        vm: VmId,
        /// The node's key for the query, returned with the answer.
        #[serde(rename = "asker")]
        correlation_key: RequestKey,
    },
}

/// An open request of this home.
#[derive(Debug, Clone, Serialize)]
pub struct OpenIntent {
    /// The parsed id.
    pub id: IssuedId,
    /// The id as text.
    pub text: RequestId,
    /// The organisation and the demand of the request.
    pub claim: Claim,
    /// The key of the request inside this node.
    pub key: RequestKey,
    /// When the request arrived.
    pub began: Timestamp,
    /// The witnesses that have not yet recorded the intent.
    pub missing: BTreeSet<Instance>,
    /// Whether the request was dispatched.
    pub dispatched: bool,
    /// The text generated so far.
    #[serde(skip)]
    pub generated: String,
    /// The callers and nodes that also wait for the end of the request.
    pub waiters: Vec<Waiter>,
}

/// The result of [`HomeTable::register`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Registration {
    /// The request is new and now open.
    New,
    /// A request with this id is already open.
    Running,
    /// A request with this id has ended.
    Ended(EndRecord),
    /// The id is unused, but its time to live is over.
    Expired,
    /// A request with this id may have ended; records of ids as old as this one
    /// are dropped.
    Forgotten,
    /// The id was used for a different request.
    Mismatch(Mismatch),
}

/// Whether the home may dispatch a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// All witnesses have recorded the intent: dispatch now. This value is
    /// returned once for each request.
    Dispatch,
    /// Do nothing: an intent is still unconfirmed, the request was dispatched
    /// before, or the answer comes from no witness of the id.
    Wait,
    /// The request can no longer be dispatched.
    Refused,
}

/// Requests whose home is this node.
///
/// Dropping the record of an ended request raises `floor` to its number. Ids
/// up to the floor are never started again, regardless of the clock.
#[derive(Debug, Default, Serialize)]
pub struct HomeTable {
    open: BTreeMap<u64, OpenIntent>,
    #[serde(skip)]
    by_key: BTreeMap<RequestKey, u64>,
    #[serde(skip)]
    ended: BTreeMap<u64, EndRecord>,
    /// End times and numbers of the ended requests, the oldest first.
    #[serde(skip)]
    order: VecDeque<(Timestamp, u64)>,
    /// Numbers of the ended requests with a stored result, the oldest first.
    #[serde(skip)]
    with_result: VecDeque<u64>,
    result_bytes: usize,
    floor: u64,
}

impl HomeTable {
    /// Opens a request of this home under a key of this node, unless its id was
    /// used before or was issued more than `ttl` ago.
    pub fn register(
        &mut self,
        now: Timestamp,
        ttl: Duration,
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
        if now >= issued.issued + ttl {
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

    /// Handles a witness's answer to the intent of a request.
    pub fn handle_answer(
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

    /// Marks a request as dispatched and returns [`DispatchDecision::Dispatch`]
    /// if all its witnesses have recorded the intent.
    pub fn try_dispatch(&mut self, number: u64) -> DispatchDecision {
        match self.open.get_mut(&number) {
            Some(open) if !open.dispatched && open.missing.is_empty() => {
                open.dispatched = true;
                DispatchDecision::Dispatch
            }
            _ => DispatchDecision::Wait,
        }
    }

    /// Returns the open request with a key of this node.
    pub fn by_key(&self, key: RequestKey) -> Option<&OpenIntent> {
        self.open.get(self.by_key.get(&key)?)
    }

    /// Returns the open request with a key of this node mutably.
    pub fn by_key_mut(&mut self, key: RequestKey) -> Option<&mut OpenIntent> {
        self.open.get_mut(self.by_key.get(&key)?)
    }

    /// Returns the open request with an id number.
    pub fn open(&self, number: u64) -> Option<&OpenIntent> {
        self.open.get(&number)
    }

    /// Returns the open request with an id number mutably.
    pub fn open_mut(&mut self, number: u64) -> Option<&mut OpenIntent> {
        self.open.get_mut(&number)
    }

    /// Returns the id numbers of the requests that are not yet dispatched and
    /// wait for a witness on a VM.
    pub fn waiting_for(&self, vm: &VmId) -> Vec<u64> {
        let waits = |open: &&OpenIntent| open.missing.iter().any(|w| w.vm == *vm);
        let open = self.open.values().filter(|open| !open.dispatched);
        open.filter(waits)
            .map(|open| open.id.intent.number)
            .collect()
    }

    /// Returns the stored end record of a request.
    pub fn ended(&self, number: u64) -> Option<&EndRecord> {
        self.ended.get(&number)
    }

    /// Returns whether the records of ids up to this number were dropped.
    pub fn is_forgotten(&self, number: u64) -> bool {
        number <= self.floor
    }

    /// Closes an open request and stores its end record.
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

    /// Drops end records that are older than `retention`, the oldest records beyond
    /// `max_ended` and the oldest results beyond `max_bytes` bytes in total.
    pub fn drop_old(
        &mut self,
        now: Timestamp,
        retention: Duration,
        max_ended: usize,
        max_bytes: usize,
    ) {
        while let Some(&(ended, number)) = self.order.front() {
            if now.since(ended) <= retention && self.order.len() <= max_ended {
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

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of stored end records.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }
}

#[cfg(test)]
mod tests;
