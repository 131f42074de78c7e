//! The requests of all nodes, as far as a node knows them.

use crate::{
    gateway::{notices::Incarnation, peers::NodeReport},
    ids::{ServiceId, VmId},
};

/// What the recent reports of the peers tell about the requests of all nodes.
pub(super) struct Fleet<'a> {
    reports: Vec<&'a NodeReport>,
    /// Number of all nodes for each node whose figures are known. Nodes that are not
    /// heard are assumed to be like the others.
    scale: f64,
}

impl<'a> Fleet<'a> {
    /// Creates the view of a node that knows of `nodes` nodes, itself among them.
    pub(super) fn new(reports: Vec<&'a NodeReport>, nodes: u32) -> Self {
        let heard: u32 = reports.iter().map(|report| report.nodes).sum();
        let scale = (f64::from(nodes) / (f64::from(heard) + 1.0)).max(1.0);
        Self { reports, scale }
    }

    /// Returns the demand for a service, in requests per second. `own` is that of
    /// this node.
    pub(super) fn demand(&self, service: &ServiceId, own: u32) -> f64 {
        let of_peers = self.reports.iter();
        let of_peers = of_peers.filter_map(|report| report.demand.get(service));
        self.scaled(own, of_peers)
    }

    /// Returns the requests that were sent to a run of a server lately. `own` is the
    /// number of those of this node.
    pub(super) fn sent(&self, id: &VmId, incarnation: &Incarnation, own: u32) -> f64 {
        let of_peers = self.reports.iter();
        let of_peers = of_peers.filter_map(|report| report.limits.get(id));
        let of_run = of_peers.filter(|limit| limit.incarnation == *incarnation);
        self.scaled(own, of_run.map(|limit| &limit.sent))
    }

    fn scaled<'b>(&self, own: u32, of_peers: impl Iterator<Item = &'b u32>) -> f64 {
        let of_peers: f64 = of_peers.copied().map(f64::from).sum();
        (f64::from(own) + of_peers) * self.scale
    }
}
