//! How this node follows the VM list: its own reads, the node that it relies
//! on, and the nodes that rely on it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::{
    config::SetDigest,
    ids::{Incarnation, VmId},
    time::Timestamp,
};

/// The list of another node that this node's list is equal to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmSource {
    /// The other node.
    pub vm: VmId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of its list in that life.
    pub number: u64,
}

/// A question that another node should answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmQuestion {
    /// The other node.
    pub to: VmId,
    /// Names the question; never used twice.
    pub id: u64,
    /// When it was asked.
    pub asked: Timestamp,
}

/// What was counted while following.
#[derive(Debug, Clone, Default, Serialize)]
pub struct VmFollowCounters {
    /// Lists that the platform gave.
    pub reads: u64,
    /// Reads that came after something newer, and were dropped.
    pub late_reads: u64,
    /// Parts of peers that were taken over.
    pub parts_taken: u64,
    /// Parts of peers that might have been older, and were dropped.
    pub old_parts: u64,
    /// Parts of peers that don't lead to the list that they name.
    pub divergences: u64,
    /// Whole lists that were given to peers.
    pub wholes_given: u64,
    /// Changes that were given to peers.
    pub changes_given: u64,
}

/// How this node follows the VM list.
///
/// The list that it holds was shown by the platform between `read_began` and
/// `read_ended`, in this node's time.
#[derive(Debug, Default, Serialize)]
pub struct VmFollowTable {
    /// The earliest moment at which the platform may have shown the list.
    pub read_began: Timestamp,
    /// The latest moment at which the platform may have shown the list.
    pub read_ended: Timestamp,
    /// The list that it equals, unless it is of an own read.
    pub source: Option<VmSource>,
    /// Counts changes of the list in this life.
    pub number: u64,
    /// When an own read was begun last.
    pub tried: Option<Timestamp>,
    /// When the own read that is open was begun.
    pub reading: Option<Timestamp>,
    /// Part of the fallback time that is waited beyond it.
    #[serde(skip)]
    pub spread: f64,
    /// The node that this node relies on; absent while it reads itself.
    pub reader: Option<VmId>,
    /// The question that is open.
    pub question: Option<VmQuestion>,
    /// When to ask next.
    pub next_ask: Timestamp,
    /// Questions that did not help, so that another reader comes next.
    pub unhelped: u64,
    /// Whether the whole list must be asked for.
    pub mistrusts: bool,
    /// Nodes that rely on this one, and until when.
    pub followers: BTreeMap<VmId, Timestamp>,
    /// Nodes that wait for the whole list, with their questions.
    #[serde(skip)]
    pub waiting: BTreeMap<VmId, u64>,
    /// When the next whole list may be given.
    pub next_whole: Timestamp,
    /// What the list was before each of the last changes, and what changed.
    #[serde(skip)]
    pub changes: VecDeque<(SetDigest, BTreeSet<VmId>)>,
    /// What was counted.
    pub counters: VmFollowCounters,
}
