//! Which revision is in force at which node.

use serde::{Deserialize, Serialize};

use super::query::Table;
use crate::{
    configs::Identity,
    ids::{FailureDomain, Revision, VmId},
    platform::{Vm, VmState},
    tables::Tables,
    time::Timestamp,
};

/// Whether a node's configuration is the same as the answering node's was at
/// that revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DigestMatch {
    /// It is the same.
    Same,
    /// It differs; the nodes have folded different histories.
    Differs,
    /// The answering node does not keep that revision's digest.
    Unknown,
}

/// What is known of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's VM.
    pub vm: VmId,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// What the VM list says of it.
    pub state: VmState,
    /// The revision that it said last; absent if it was not heard.
    pub revision: Option<Revision>,
    /// Revisions that it is behind the newest one that is known.
    pub lag: Option<u64>,
    /// Milliseconds since it was heard.
    pub heard_ms: Option<u64>,
    /// Whether its configuration is the same.
    pub digest: DigestMatch,
}

/// Returns what is known of each node of the VM list.
pub fn node_statuses(identity: &Identity, tables: &Tables, now: Timestamp) -> Vec<NodeStatus> {
    let heard = tables.members.iter().map(|(_, row)| row.heartbeat.revision);
    let newest = heard.chain([tables.config.revision()]).max();
    let newest = newest.unwrap_or_default();
    let nodes = tables.vms.nodes();
    nodes
        .map(|vm| status(identity, tables, now, newest, vm))
        .collect()
}

fn status(
    identity: &Identity,
    tables: &Tables,
    now: Timestamp,
    newest: Revision,
    vm: &Vm,
) -> NodeStatus {
    let own = vm.vm == identity.vm;
    let member = tables.members.get(&vm.vm).filter(|_| !own);
    let revision = match own {
        true => Some(tables.config.revision()),
        false => member.map(|row| row.heartbeat.revision),
    };
    let digest = match (own, member) {
        (true, _) => DigestMatch::Same,
        (false, Some(row)) => tables
            .history
            .compare(row.heartbeat.revision, row.heartbeat.digest),
        (false, None) => DigestMatch::Unknown,
    };
    let heard = member.map(|row| now.since(row.last_seen).as_millis());
    NodeStatus {
        vm: vm.vm.clone(),
        failure_domain: vm.failure_domain.clone(),
        state: vm.state,
        revision,
        lag: revision.map(|revision| newest.0.saturating_sub(revision.0)),
        heard_ms: heard.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        digest,
    }
}

/// Returns the node_statuses as a table.
pub(super) fn table(identity: &Identity, tables: &Tables, now: Timestamp) -> Table {
    let columns = [
        "node",
        "failure_domain",
        "state",
        "revision",
        "lag",
        "heard_ms",
        "digest",
    ];
    let columns = columns.map(str::to_owned).to_vec();
    let text = |number: Option<u64>| number.map_or("-".to_owned(), |n| n.to_string());
    let row = |node: NodeStatus| {
        vec![
            node.vm.to_string(),
            node.failure_domain.to_string(),
            format!("{:?}", node.state).to_lowercase(),
            text(node.revision.map(|revision| revision.0)),
            text(node.lag),
            text(node.heard_ms),
            format!("{:?}", node.digest).to_lowercase(),
        ]
    };
    let rows = node_statuses(identity, tables, now).into_iter().map(row);
    (columns, rows.collect())
}
