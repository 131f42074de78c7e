//! Inquiries: how a node finds out the outcome of a request of another home.
//!
//! The node queries the home as long as the home answers. When it stops
//! answering, the node asks the witnesses to seal the id and derives the
//! outcome from their answers.

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

/// The outcome of a request as its witnesses prove it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealOutcome {
    /// A witness sealed the id before the home could dispatch the request.
    NotRun,
    /// A witness has the end of the request.
    Ended(EndRecord),
    /// No answer proves whether the request ran.
    Unknown,
}

/// A round of seal requests to all witnesses of an id.
#[derive(Debug, Clone, Serialize)]
pub struct SealRound {
    /// The witnesses that have not answered.
    pub missing: BTreeSet<Instance>,
    /// When the round began.
    pub began: Timestamp,
}

impl SealRound {
    /// Starts a round over the witnesses of an id.
    pub fn new(now: Timestamp, id: &IssuedId) -> Self {
        Self {
            missing: id.witnesses.iter().cloned().collect(),
            began: now,
        }
    }

    /// Handles a witness's answer and returns the outcome once it is decided.
    ///
    /// An answer from another instance than the queried one proves nothing.
    pub fn handle_answer(&mut self, from: &Instance, answer: SealAnswer) -> Option<SealOutcome> {
        if answer == SealAnswer::OtherIncarnation {
            self.missing.retain(|witness| witness.vm != from.vm);
            return self.outcome_if_complete();
        }
        if !self.missing.remove(from) {
            return None;
        }
        match answer {
            SealAnswer::Sealed => Some(SealOutcome::NotRun),
            SealAnswer::Intended(Some(recorded)) => Some(SealOutcome::Ended(recorded)),
            _ => self.outcome_if_complete(),
        }
    }

    /// Stops waiting for the witnesses on an unreachable VM; returns the outcome
    /// once it is decided.
    pub fn mark_unreachable(&mut self, vm: &VmId) -> Option<SealOutcome> {
        self.missing.retain(|witness| witness.vm != *vm);
        self.outcome_if_complete()
    }

    /// Returns [`SealOutcome::Unknown`] if no witness is left to answer.
    pub fn outcome_if_complete(&self) -> Option<SealOutcome> {
        self.missing.is_empty().then_some(SealOutcome::Unknown)
    }
}

/// Why a node opened an inquiry.
#[derive(Debug, Clone, Serialize)]
pub enum Purpose {
    /// A caller sent the request here.
    Submit(#[serde(skip)] Box<Submission>),
    /// A caller queries the outcome of the request.
    Status,
}

/// Which nodes an inquiry queries at present.
#[derive(Debug, Clone, Serialize)]
pub enum Phase {
    /// The home of the request.
    Home {
        /// Whether the home has confirmed that it has the request.
        acknowledged: bool,
    },
    /// The witnesses of the id, which are asked to seal it.
    Seal(SealRound),
}

/// An open inquiry about a request of another home.
#[derive(Debug, Clone, Serialize)]
pub struct Inquiry {
    /// The parsed id.
    pub id: IssuedId,
    /// The id as text.
    pub text: RequestId,
    /// Why the inquiry was opened.
    pub purpose: Purpose,
    /// Which nodes are queried at present.
    pub phase: Phase,
    /// When the home last answered, or when the inquiry was opened.
    #[serde(rename = "heard")]
    pub last_contact: Timestamp,
    /// When the caller stops waiting for the outcome.
    pub deadline: Timestamp,
}

/// The open inquiries, indexed by the VMs that may have to answer them.
#[derive(Debug, Default, Serialize)]
pub struct InquiryTable {
    rows: BTreeMap<RequestKey, Inquiry>,
    #[serde(skip)]
    by_vm: BTreeMap<VmId, BTreeSet<RequestKey>>,
}

impl InquiryTable {
    /// Adds an inquiry.
    pub fn insert(&mut self, key: RequestKey, inquiry: Inquiry) {
        for vm in queried_vms(&inquiry.id) {
            self.by_vm.entry(vm.clone()).or_default().insert(key);
        }
        self.rows.insert(key, inquiry);
    }

    /// Removes an inquiry and returns it.
    pub fn remove(&mut self, key: RequestKey) -> Option<Inquiry> {
        let inquiry = self.rows.remove(&key)?;
        for vm in queried_vms(&inquiry.id) {
            if let Some(keys) = self.by_vm.get_mut(vm) {
                keys.remove(&key);
            }
        }
        Some(inquiry)
    }

    /// Returns an inquiry.
    pub fn get(&self, key: RequestKey) -> Option<&Inquiry> {
        self.rows.get(&key)
    }

    /// Returns an inquiry mutably.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Inquiry> {
        self.rows.get_mut(&key)
    }

    /// Returns the keys of the inquiries that a VM may have to answer.
    pub fn keys_for_vm(&self, vm: &VmId) -> Vec<RequestKey> {
        self.by_vm.get(vm).into_iter().flatten().copied().collect()
    }

    /// Returns the number of open inquiries.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no inquiry is open.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Returns the VMs of the home and the witnesses of an id.
fn queried_vms(id: &IssuedId) -> impl Iterator<Item = &VmId> {
    let home = std::iter::once(&id.intent.home.vm);
    home.chain(id.witnesses.iter().map(|witness| &witness.vm))
}

#[cfg(test)]
mod tests;
