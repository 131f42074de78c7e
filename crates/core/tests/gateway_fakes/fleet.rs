//! Nodes that exchange reports, and what disturbs them.

use std::collections::BTreeMap;

use bolero_generator::TypeGenerator;
use radishhaven_core::{
    gateway::{
        Gateway, Server,
        peers::{ReportRecipient, Source},
    },
    ids::VmId,
};
use rand::{Rng, rngs::StdRng};

use super::{configuration, gateway_config, id, ms};

/// Duration of one step of a history.
pub const STEP_MS: u64 = 10;
/// Interval of the reports of a node, in steps.
pub const REPORT_STEPS: u64 = 20;
/// Time for which a node is excused after a disturbance.
pub const STABILITY_MS: u64 = 3_000;
/// Share of the reports that are lost.
const REPORT_LOSS: f64 = 0.02;
/// Time for which a node is frozen.
const FREEZE_MS: u64 = 2_500;
/// Time for which a node is cut off from its peers.
const CUT_MS: u64 = 5_000;

/// What disturbs a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
pub enum Disturbance {
    Restart,
    Freeze,
    Cut,
}

/// A node, and until when it is disturbed.
pub struct Node {
    pub gateway: Gateway,
    /// Until when it neither sends nor receives anything.
    pub frozen_until: u64,
    /// Until when it hears no peer and no peer hears it.
    cut_until: u64,
    /// End of the time for which the rules excuse it.
    pub excused_until: u64,
}

impl Node {
    /// Starts a node of a fleet of this size, which knows the servers.
    pub fn start(now: u64, nodes: usize, servers: BTreeMap<VmId, Server>, seed: u64) -> Self {
        Self {
            gateway: start_gateway(now, nodes, servers, seed),
            frozen_until: 0,
            cut_until: 0,
            excused_until: 0,
        }
    }

    /// Starts the node again without what it knew.
    pub fn restart(&mut self, now: u64, nodes: usize, servers: BTreeMap<VmId, Server>) {
        self.gateway = start_gateway(now, nodes, servers, now);
    }

    /// Applies a disturbance, but for the loss of its state by a restart.
    pub fn disturb(&mut self, now: u64, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Restart => {}
            Disturbance::Freeze => self.frozen_until = now + FREEZE_MS,
            Disturbance::Cut => self.cut_until = now + CUT_MS,
        }
        let end = self.frozen_until.max(self.cut_until).max(now);
        self.excused_until = self.excused_until.max(end + STABILITY_MS);
    }

    fn is_connected(&self, now: u64) -> bool {
        now >= self.frozen_until && now >= self.cut_until
    }
}

fn start_gateway(now: u64, nodes: usize, servers: BTreeMap<VmId, Server>, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(gateway_config(), seed);
    gateway.set_configuration(configuration(1));
    gateway.confirm_configuration(ms(now));
    gateway.set_servers(ms(now), servers);
    gateway.record_node_count(ms(now), nodes as u32 + 1);
    gateway
}

/// Returns the id of a node.
pub fn node_id(number: usize) -> VmId {
    id(&format!("node-{number}"))
}

/// Sends a report from one node to another, unless one of them is disturbed or the
/// report is lost.
pub fn send_report(
    nodes: &mut [Node],
    rng: &mut StdRng,
    now: u64,
    (from, source): (usize, Source),
    (to, recipient): (usize, ReportRecipient<'_>),
) {
    let connected = [from, to].map(|node| nodes[node].is_connected(now));
    if connected != [true; 2] || rng.random_range(0.0..1.0) < REPORT_LOSS {
        return;
    }
    let report = nodes[from].gateway.report(ms(now), true, None, recipient);
    let to = &mut nodes[to].gateway;
    to.apply_report(ms(now), node_id(from), source, report);
}
