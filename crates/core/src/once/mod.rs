//! Runs a non-idempotent request at most once, without a store.
//!
//! An issued id names its *home*, the only node instance that may dispatch the
//! request, and its *witnesses*, node instances in other failure domains. The
//! home dispatches the request after every witness has recorded its *intent*
//! to do so. A node that can't reach the home asks the witnesses to *seal* the
//! id, which makes them reject a later intent. A single witness that sealed
//! the id before it recorded an intent proves that the request never runs.
//!
//! The types in this module read no clock and send no messages;
//! `systems::once` does both. `docs/design/at-most-once.md` has the reasons.

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

/// The state that a node keeps to run requests at most once.
#[derive(Debug, Default, Serialize)]
pub struct OnceTable {
    /// Requests whose home is this node.
    pub home: HomeTable,
    /// Intents and seals that this node recorded as a witness.
    pub witness: WitnessTable,
    /// Requests of other homes whose outcome this node is finding out.
    pub inquiries: InquiryTable,
    /// The witnesses that new ids name at present.
    pub chosen: Vec<Instance>,
    /// When the witnesses in `chosen` are chosen anew.
    pub chosen_until: Timestamp,
    /// Nodes that could not be reached, with the time of the last failure.
    pub unreachable: BTreeMap<VmId, Timestamp>,
}
