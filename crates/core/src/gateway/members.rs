//! The nodes of the deployment, and the pages in which a hub sends their list to
//! its leaves.
//!
//! Only hubs list the members at the store: a list grows with the number of
//! nodes, and so would its readers. See `docs/design/scale.md`.

use std::{fmt, net::SocketAddr, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use super::store_view::StoreEra;
use crate::{
    ids::{FailureDomain, VmId},
    rendezvous,
};

/// Maximum number of members in one page. A page takes about 10 KB.
pub const MAX_PAGE_MEMBERS: usize = 150;

/// Processor share of a node, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millicores(pub u32);

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Millicores {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A node, with what other nodes need to know of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// VM of the node.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address on which it serves callers.
    pub caller_address: SocketAddr,
    /// Address on which it receives messages of its peers.
    pub peer_address: SocketAddr,
    /// Processor share of the VM.
    pub processor: Millicores,
}

/// Orders the lists of members: by era of the store, then by generation of the
/// group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupGeneration {
    /// The era of the store.
    pub era: StoreEra,
    /// The generation of the group.
    pub generation: u64,
}

/// Identifies the contents of a list. While partitions move, nodes list
/// different members at the same generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListId {
    /// The generation at which the list was read.
    pub generation: GroupGeneration,
    /// Hash of the members.
    pub hash: u64,
}

/// All members that were listed at once.
#[derive(Debug, Default)]
pub struct MemberList {
    id: ListId,
    members: Vec<Member>,
}

impl MemberList {
    /// Creates a list of the members read at a generation of the group.
    pub fn new(generation: GroupGeneration, mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup();
        let hashes = members
            .iter()
            .map(|m| rendezvous::score(m.vm.as_str(), &m.caller_address.to_string()));
        let hash = hashes.fold(0, u64::wrapping_add);
        let id = ListId { generation, hash };
        Self { id, members }
    }

    /// Returns the members, sorted by VM.
    pub fn members(&self) -> &[Member] {
        &self.members
    }
}

/// Which lists a leaf has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// The complete list.
    pub complete: ListId,
    /// The list of which the leaf has received the first members, and their
    /// number.
    pub partial: Option<(ListId, usize)>,
}

/// Consecutive members of a hub's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPage {
    id: ListId,
    /// Number of members in the list.
    total: usize,
    /// Number of members before this page.
    first: usize,
    members: Vec<Member>,
}

/// A node's list of the members, and the pages of a newer one.
#[derive(Debug, Default)]
pub struct MemberTable {
    list: MemberList,
    partial: Option<MemberList>,
}

impl MemberTable {
    /// Returns the members, sorted by VM.
    pub fn members(&self) -> &[Member] {
        self.list.members()
    }

    /// Replaces the list.
    pub fn set(&mut self, list: MemberList) {
        self.list = list;
        self.partial = None;
    }

    /// Returns which lists this node has.
    pub fn position(&self) -> ListPosition {
        let partial = self.partial.as_ref();
        ListPosition {
            complete: self.list.id,
            partial: partial.map(|list| (list.id, list.members.len())),
        }
    }

    /// Returns the next page for a leaf, or `None` if the leaf has this node's
    /// list or one of a later generation.
    pub fn page_for(&self, leaf: &ListPosition) -> Option<MemberPage> {
        let id = self.list.id;
        if id == leaf.complete || id.generation < leaf.complete.generation {
            return None;
        }
        let received = leaf.partial.filter(|(partial, _)| *partial == id);
        let first = received.map_or(0, |(_, count)| count.min(self.members().len()));
        let rest = &self.members()[first..];
        Some(MemberPage {
            id,
            total: self.members().len(),
            first,
            members: rest[..rest.len().min(MAX_PAGE_MEMBERS)].to_vec(),
        })
    }

    /// Applies a page of a hub, and returns whether it completed a new list.
    /// Pages that don't follow the received ones are ignored; the next query
    /// repeats the position.
    pub fn apply_page(&mut self, page: MemberPage) -> bool {
        if page.id == self.list.id || page.id.generation < self.list.id.generation {
            return false;
        }
        let partial = self.partial.take().filter(|list| list.id == page.id);
        let mut list = partial.unwrap_or(MemberList {
            id: page.id,
            members: Vec::new(),
        });
        if page.first == list.members.len() {
            list.members.extend(page.members);
        }
        if list.members.len() < page.total {
            self.partial = Some(list);
            return false;
        }
        self.list = list;
        true
    }
}
