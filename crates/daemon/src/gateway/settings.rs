//! Settings of a gateway, read from INI like those of the entry node.

use std::{net::SocketAddr, path::Path, time::Duration};

use radishhaven_core::{
    gateway::{budget::BudgetConfig, state::GatewayConfig},
    ids::{FailureDomain, VmId},
};

use crate::{
    configs::LogConfig,
    settings::{Reader, Section, SettingsErrors},
};

/// Part of the time until a revoked key must be refused during which a proof
/// is trusted; the rest covers what a request takes until it is sent on.
const PROOF_PART: f64 = 0.9;

/// All settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// `[node]`.
    pub node: GatewayNode,
    /// `[store]`.
    pub store: StoreSettings,
    /// `[bounds]`.
    pub bounds: Bounds,
    /// `[log]`.
    pub log: LogConfig,
}

/// `[node]`: who the node is and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayNode {
    /// The node's VM.
    pub vm: VmId,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where callers ask which nodes to use.
    pub directory: SocketAddr,
    /// Where peers tell their load, over UDP.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
}

/// `[store]`: the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How often backend servers renew their entries there.
    pub heartbeat: Duration,
    /// Shortest time to live of a member.
    pub least_ttl: Duration,
}

/// `[bounds]`: what the operators promise their users.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time until a revoked key must be refused.
    pub revoke: Duration,
    /// Time until a server that leaves must get nothing new.
    pub drain: Duration,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Longest time that callers keep a directory answer.
    pub keep: Duration,
    /// The retry budget.
    pub budget: BudgetConfig,
}

fn decimal(section: &mut Section<'_>, key: &'static str, most: f64) -> Option<f64> {
    let allowed = format!("a number from 0 to {most}");
    section.require(key, &allowed, |v| {
        v.parse().ok().filter(|n| (0.0..=most).contains(n))
    })
}

fn seconds(section: &mut Section<'_>, key: &'static str) -> Option<Duration> {
    decimal(section, key, 86_400.0).map(Duration::from_secs_f64)
}

fn millis(section: &mut Section<'_>, key: &'static str) -> Option<Duration> {
    decimal(section, key, 86_400_000.0).map(|ms| Duration::from_secs_f64(ms / 1e3))
}

impl GatewayNode {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = "1 to 96 of a-z A-Z 0-9 . _ : -";
        let vm = section.require("vm", name, |v| v.parse().ok());
        let failure_domain = section.require("failure_domain", name, |v| v.parse().ok());
        let (callers, readiness) = (section.address("callers"), section.address("readiness"));
        let (directory, peers) = (section.address("directory"), section.address("peers"));
        let metrics = section.address("metrics");
        Some(Self {
            vm: vm?,
            failure_domain: failure_domain?,
            callers: callers?,
            readiness: readiness?,
            directory: directory?,
            peers: peers?,
            metrics: metrics?,
        })
    }
}

impl StoreSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let address = section.address("address");
        let heartbeat = millis(section, "heartbeat_ms");
        let least_ttl = millis(section, "least_ttl_ms");
        Some(Self {
            address: address?,
            heartbeat: heartbeat?,
            least_ttl: least_ttl?,
        })
    }
}

impl Bounds {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let (revoke, drain) = (millis(section, "revoke_ms"), millis(section, "drain_ms"));
        let (grace, keep) = (seconds(section, "grace_s"), seconds(section, "keep_s"));
        let ratio = decimal(section, "retry_ratio", 10.0);
        let window = seconds(section, "retry_window_s");
        let slack = decimal(section, "retry_slack", 1e9);
        Some(Self {
            revoke: revoke?,
            drain: drain?,
            grace: grace?,
            keep: keep?,
            budget: BudgetConfig {
                ratio: ratio?,
                window: window?,
                slack: slack?,
            },
        })
    }
}

impl GatewaySettings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns every mistake that is found.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let (file, text) = Reader::read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Reads settings from text; `file` is for the messages.
    ///
    /// # Errors
    ///
    /// Returns every mistake that is found.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = Reader::new(file, text)?;
        let node = reader.section("node", GatewayNode::read);
        let store = reader.section("store", StoreSettings::read);
        let bounds = reader.section("bounds", Bounds::read);
        let log = reader.section("log", LogConfig::read);
        let errors = reader.finish();
        match (node, store, bounds) {
            (Some(node), Some(store), Some(bounds)) if errors.is_empty() => Ok(Self {
                node,
                store,
                bounds,
                log,
            }),
            _ => Err(SettingsErrors(errors)),
        }
    }

    /// Returns the bounds that the decisions keep.
    pub fn decisions(&self) -> GatewayConfig {
        GatewayConfig {
            max_confirmation_age: self.bounds.revoke.mul_f64(PROOF_PART),
            budget: self.bounds.budget,
        }
    }
}
