//! The part of a node that has a request of another home in its hands.
//!
//! It asks the home as long as that answers. When it does not, the node asks
//! the witnesses to seal the id, and decides by their answers.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::{
    ids::{Instance, IssuedId},
    message::SealAnswer,
    record::EndRecord,
};
use crate::{
    ids::{RequestId, RequestKey, VmId},
    message::Submission,
    time::Timestamp,
};

/// What became of a request, by the answers of its witnesses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealOutcome {
    /// A witness has sealed it before the home could dispatch it.
    NotRun,
    /// A witness knows its end.
    Ended(EndRecord),
    /// Nobody who answered can prove anything.
    Unknown,
}

/// One round of asking all witnesses of an id to seal it.
#[derive(Debug, Clone, Serialize)]
pub struct SealRound {
    /// Witnesses that have not answered.
    pub missing: BTreeSet<Instance>,
    /// When the round began.
    pub began: Timestamp,
}

impl SealRound {
    /// Begins a round over the witnesses of an id.
    pub fn new(now: Timestamp, id: &IssuedId) -> Self {
        Self {
            missing: id.witnesses.iter().cloned().collect(),
            began: now,
        }
    }

    /// Takes a witness's answer; returns the verdict once there is one.
    ///
    /// An answer of another instance than the one asked proves nothing.
    pub fn answered(&mut self, from: &Instance, answer: SealAnswer) -> Option<SealOutcome> {
        if answer == SealAnswer::OtherIncarnation {
            self.missing.retain(|witness| witness.vm != from.vm);
            return self.over();
        }
        if !self.missing.remove(from) {
            return None;
        }
        match answer {
            SealAnswer::Sealed => Some(SealOutcome::NotRun),
            SealAnswer::Intended(Some(recorded)) => Some(SealOutcome::Ended(recorded)),
            _ => self.over(),
        }
    }

    /// Gives up on the witnesses of a VM that can't be reached.
    pub fn unreachable(&mut self, vm: &VmId) -> Option<SealOutcome> {
        self.missing.retain(|witness| witness.vm != *vm);
        self.over()
    }

    /// Returns the verdict if no witness is left to answer.
    pub fn over(&self) -> Option<SealOutcome> {
        self.missing.is_empty().then_some(SealOutcome::Unknown)
    }
}

/// Why a node asks.
#[derive(Debug, Clone, Serialize)]
pub enum Purpose {
    /// A caller sent the request here.
    Submit(#[serde(skip)] Box<Submission>),
    /// A caller asks what became of it.
    Status,
}

/// Whom a node asks.
#[derive(Debug, Clone, Serialize)]
pub enum Phase {
    /// The home; `acknowledged` once it has said that the request is there.
    Home {
        /// Whether the home has the request.
        acknowledged: bool,
    },
    /// The witnesses.
    Seal(SealRound),
}

/// One question for a request of another home.
#[derive(Debug, Clone, Serialize)]
pub struct Inquiry {
    /// What the id says.
    pub id: IssuedId,
    /// The id as text.
    pub text: RequestId,
    /// Why it is asked.
    pub purpose: Purpose,
    /// Whom it is asked.
    pub phase: Phase,
    /// When the home was heard last, or the question began.
    pub heard: Timestamp,
    /// When the caller's answer is of no more use.
    pub deadline: Timestamp,
}

/// Open questions, with an index by the VMs that are asked.
#[derive(Debug, Default, Serialize)]
pub struct InquiryTable {
    rows: BTreeMap<RequestKey, Inquiry>,
    #[serde(skip)]
    by_vm: BTreeMap<VmId, BTreeSet<RequestKey>>,
}

impl InquiryTable {
    /// Adds a question.
    pub fn insert(&mut self, key: RequestKey, inquiry: Inquiry) {
        for vm in asked(&inquiry.id) {
            self.by_vm.entry(vm.clone()).or_default().insert(key);
        }
        self.rows.insert(key, inquiry);
    }

    /// Takes a question out.
    pub fn remove(&mut self, key: RequestKey) -> Option<Inquiry> {
        let inquiry = self.rows.remove(&key)?;
        for vm in asked(&inquiry.id) {
            if let Some(keys) = self.by_vm.get_mut(vm) {
                keys.remove(&key);
            }
        }
        Some(inquiry)
    }

    /// Returns a question.
    pub fn get(&self, key: RequestKey) -> Option<&Inquiry> {
        self.rows.get(&key)
    }

    /// Returns a question for a change.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Inquiry> {
        self.rows.get_mut(&key)
    }

    /// Returns the questions that a VM may have to answer.
    pub fn asked_of(&self, vm: &VmId) -> Vec<RequestKey> {
        self.by_vm.get(vm).into_iter().flatten().copied().collect()
    }

    /// Returns the number of open questions.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no question is open.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn asked(id: &IssuedId) -> impl Iterator<Item = &VmId> {
    let home = std::iter::once(&id.intent.home.vm);
    home.chain(id.witnesses.iter().map(|witness| &witness.vm))
}

#[cfg(test)]
mod tests;
