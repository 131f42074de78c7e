//! Runs a non-idempotent request at most once, without a store.
//!
//! A minted id names its *home*, the one node instance that may dispatch the
//! request, and its *witnesses*, instances in other failure domains. The home
//! dispatches only after every witness has recorded its intent. Any node that
//! can't reach the home asks the witnesses to seal the id; one witness that
//! did so before it recorded the intent proves that the request never runs.
//! These parts hold no clock and send nothing; `systems::once` drives them.
//! The reasons are in `docs/design/at-most-once.md`.

mod home;
mod ids;
mod inquiry;
mod message;
mod record;
mod witness;

pub use home::{DispatchDecision, HomeTable, OpenIntent, Registration, Waiter};
pub use ids::{IdError, IdKey, Instance, IntentId, IssuedId};
pub use inquiry::{Inquiry, InquiryTable, Phase, Purpose, SealOutcome, SealRound};
pub use message::{
    ForwardedDemand, ForwardedRequest, HomeAnswer, IntendAnswer, OnceMessage, SealAnswer,
};
pub use record::{Claim, DemandDigest, EndRecord, Mismatch, ResultRecord};
pub use witness::WitnessTable;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{ids::VmId, time::Timestamp};

/// All that a node keeps for running requests at most once.
#[derive(Debug, Default, Serialize)]
pub struct OnceTable {
    /// Requests whose home is this node.
    pub home: HomeTable,
    /// What this node recorded for other homes.
    pub witness: WitnessTable,
    /// Requests whose home is another node and whose fate is asked for.
    pub inquiries: InquiryTable,
    /// The witnesses that new ids name.
    pub chosen: Vec<Instance>,
    /// Until when they are kept.
    pub chosen_until: Timestamp,
    /// Nodes that could not be reached, and when that was seen.
    pub unreachable: BTreeMap<VmId, Timestamp>,
}
