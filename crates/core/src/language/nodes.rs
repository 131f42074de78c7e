//! The active revision of each node.

use serde::{Deserialize, Serialize};

use super::query::Table;
use crate::{
    configs::Identity,
    ids::{FailureDomain, Revision, VmId},
    platform::{Vm, VmState},
    tables::Tables,
    time::Timestamp,
};

/// Whether a node has the same configuration that the answering node had at the
/// same revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DigestMatch {
    /// Both have the same configuration.
    Same,
    /// The configurations differ, which means that the nodes applied different
    /// histories.
    Differs,
    /// The answering node no longer has the digest of that revision.
    Unknown,
}

/// The last reported status of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM that the node runs on.
    pub vm: VmId,
    /// The failure domain of that VM.
    pub failure_domain: FailureDomain,
    /// The state of the VM in the VM list.
    pub state: VmState,
    /// The last revision that the node reported, or `None` if it sent no report.
    pub revision: Option<Revision>,
    /// Number of revisions that the node is behind the newest one that any node
    /// reported.
    pub lag: Option<u64>,
    /// Time since the last message from the node, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub last_seen_ms: Option<u64>,
    /// Whether the node has the same configuration as the answering node.
    pub digest: DigestMatch,
}

/// Returns the status of each node in the VM list.
pub fn node_statuses(identity: &Identity, tables: &Tables, now: Timestamp) -> Vec<NodeStatus> {
    let reported = tables.members.iter().map(|(_, row)| row.heartbeat.revision);
    let newest = reported.chain([tables.config.revision()]).max();
    let newest = newest.unwrap_or_default();
    let nodes = tables.vms.nodes();
    nodes
        .map(|vm| node_status(identity, tables, now, newest, vm))
        .collect()
}

fn node_status(
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
    let since_last_seen = member.map(|row| now.since(row.last_seen).as_millis());
    NodeStatus {
        vm: vm.vm.clone(),
        failure_domain: vm.failure_domain.clone(),
        state: vm.state,
        revision,
        lag: revision.map(|revision| newest.0.saturating_sub(revision.0)),
        last_seen_ms: since_last_seen.map(|ms| u64::try_from(ms).unwrap_or(u64::MAX)),
        digest,
    }
}

/// Returns the status of each node as a table.
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
            text(node.last_seen_ms),
            format!("{:?}", node.digest).to_lowercase(),
        ]
    };
    let rows = node_statuses(identity, tables, now).into_iter().map(row);
    (columns, rows.collect())
}
