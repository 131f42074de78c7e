//! Settings of a gateway, read from an INI file like those of the entry node.

use std::{net::SocketAddr, path::Path, time::Duration};

use radishhaven_core::{
    gateway::{
        budget::BudgetConfig,
        hedging::{HedgePercent, MAX_HEDGE_PERCENT},
        members::Millicores,
        state::GatewayConfig,
    },
    ids::{FailureDomain, VmId},
};

use super::vm::VmCapacity;
use crate::{
    configs::LogConfig,
    settings::{Reader, Section, SettingsErrors},
};

/// Fraction of the revocation bound for which a freshness confirmation of the
/// configuration is valid. The rest covers the time from a request's check to
/// its send.
const CONFIRMATION_FRACTION: f64 = 0.9;
/// Fraction of the time within which a configuration must be in force after which a node
/// uses an older one no longer. The rest covers the time until it hears of the newer one.
const BEHIND_FRACTION: f64 = 0.6;

/// Maximum number of cores of a VM.
const MAX_CORES: f64 = 1_024.0;

/// Memory of the smallest VM, in megabytes: the default of `[limits] memory_mb`.
const DEFAULT_MEMORY_MB: u32 = 112;
/// Least memory with which a node starts, in megabytes. Below it nothing would be left
/// for callers beside the process itself.
const MIN_MEMORY_MB: u32 = 48;
/// Descriptors of the smallest VM: the default of `[limits] max_descriptors`.
const DEFAULT_MAX_DESCRIPTORS: u32 = 2_870;
/// Least number of descriptors with which a node starts. 200 are reserved for files.
const MIN_DESCRIPTORS: u32 = 264;
/// Most descriptors that Linux gives to a process by default. A platform may count the
/// sockets of a VM apart from the process's limit of open files, so that limit is no bound.
const MAX_DESCRIPTORS: u32 = 1 << 20;

/// All settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// `[node]`.
    pub node: GatewayNode,
    /// `[store]`.
    pub store: StoreSettings,
    /// `[bounds]`.
    pub bounds: Bounds,
    /// `[hedging] max_percent`: hedges per 100 requests of a service; 0 is off.
    pub hedging: HedgePercent,
    /// `[limits]`.
    pub limits: VmLimits,
    /// `[log]`.
    pub log: LogConfig,
}

/// `[node]`: the identity of the node and its listening addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayNode {
    /// The node's VM.
    pub vm: VmId,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for directory queries of callers.
    pub directory: SocketAddr,
    /// UDP address for load reports of peers.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Processor share of the VM.
    pub processor: Millicores,
}

/// `[store]`: the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Interval at which backend servers renew their registry entries.
    pub heartbeat_interval: Duration,
    /// Shortest TTL of a membership that the store accepts.
    pub min_ttl: Duration,
    /// Partitions of each topic.
    pub partitions: u32,
    /// Writing calls a second that the store accepts from all nodes together.
    pub writes_per_s: u32,
}

/// `[bounds]`: bounds that the operators guarantee to their users.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which a revoked key must be refused everywhere.
    pub revocation_time: Duration,
    /// Time within which a new configuration must be in force everywhere.
    pub configuration_time: Duration,
    /// Time after which a node that is connected again must follow all changes.
    pub stability_time: Duration,
    /// Time within which a draining server must stop getting new requests.
    pub drain_time: Duration,
    /// Time from SIGTERM until the process is killed.
    pub grace_period: Duration,
    /// Longest TTL of a directory response.
    pub max_directory_ttl: Duration,
    /// The retry budget.
    pub budget: BudgetConfig,
}

/// `[limits]`: what the process may use of its VM. Without this section, the limits of
/// the smallest VM apply, or what this VM has if that is less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// Memory of the process, in megabytes of 1,000,000 bytes. Bytes that were received
    /// and not yet read count as well.
    pub memory_mb: u32,
    /// Largest number of open descriptors.
    pub max_descriptors: u32,
}

fn decimal(section: &mut Section<'_>, key: &'static str, max: f64) -> Option<f64> {
    let allowed = format!("a number from 0 to {max}");
    section.require(key, &allowed, |v| {
        v.parse().ok().filter(|n| (0.0..=max).contains(n))
    })
}

fn count(section: &mut Section<'_>, key: &'static str) -> Option<u32> {
    section.require(key, "a whole number from 1", |v| {
        v.parse().ok().filter(|n| *n > 0)
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
        let cores = decimal(section, "cores", MAX_CORES);
        Some(Self {
            vm: vm?,
            failure_domain: failure_domain?,
            callers: callers?,
            readiness: readiness?,
            directory: directory?,
            peers: peers?,
            metrics: metrics?,
            processor: Millicores((cores? * 1e3) as u32),
        })
    }
}

impl StoreSettings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let address = section.address("address");
        let heartbeat_interval = millis(section, "heartbeat_ms");
        let min_ttl = millis(section, "least_ttl_ms");
        let partitions = count(section, "partitions");
        let writes_per_s = count(section, "writes_per_s");
        Some(Self {
            address: address?,
            heartbeat_interval: heartbeat_interval?,
            min_ttl: min_ttl?,
            partitions: partitions?,
            writes_per_s: writes_per_s?,
        })
    }
}

impl VmLimits {
    fn read(section: &mut Section<'_>) -> Self {
        let vm = VmCapacity::read();
        let memory_mb = within(section, "memory_mb", MIN_MEMORY_MB, vm.memory_mb);
        let descriptors = Some(MAX_DESCRIPTORS);
        let max_descriptors = within(section, "max_descriptors", MIN_DESCRIPTORS, descriptors);
        let default = |default: u32, min: u32, vm: Option<u32>| {
            vm.map_or(default, |vm| vm.min(default).max(min))
        };
        let (memory, descriptors) = (vm.memory_mb, vm.descriptors);
        Self {
            memory_mb: memory_mb.unwrap_or(default(DEFAULT_MEMORY_MB, MIN_MEMORY_MB, memory)),
            max_descriptors: max_descriptors.unwrap_or(default(
                DEFAULT_MAX_DESCRIPTORS,
                MIN_DESCRIPTORS,
                descriptors,
            )),
        }
    }
}

/// Reads an optional number that the VM bounds.
fn within(section: &mut Section<'_>, key: &'static str, min: u32, vm: Option<u32>) -> Option<u32> {
    let max = vm.unwrap_or(u32::MAX);
    let allowed = match vm {
        Some(max) => format!("{min} to {max}"),
        None => format!("a whole number from {min}"),
    };
    section.optional(key, &allowed, |v| {
        v.parse().ok().filter(|n| (min..=max).contains(n))
    })
}

impl Bounds {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let (revocation_time, drain_time) =
            (millis(section, "revoke_ms"), millis(section, "drain_ms"));
        let (configuration_time, stability_time) = (
            millis(section, "config_ms"),
            millis(section, "stability_ms"),
        );
        let (grace_period, max_directory_ttl) =
            (seconds(section, "grace_s"), seconds(section, "keep_s"));
        let ratio = decimal(section, "retry_ratio", 10.0);
        let window = seconds(section, "retry_window_s");
        let slack = decimal(section, "retry_slack", 1e9);
        Some(Self {
            revocation_time: revocation_time?,
            drain_time: drain_time?,
            configuration_time: configuration_time?,
            stability_time: stability_time?,
            grace_period: grace_period?,
            max_directory_ttl: max_directory_ttl?,
            budget: BudgetConfig {
                ratio: ratio?,
                window: window?,
                slack: slack?,
            },
        })
    }
}

/// Reads the limit of hedges, which is zero if it is not set.
fn read_hedging(section: &mut Section<'_>) -> HedgePercent {
    let allowed = format!("a whole number from 0 to {MAX_HEDGE_PERCENT}");
    let limit = section.optional("max_percent", &allowed, |v| {
        HedgePercent::try_from(v.parse::<u32>().ok()?).ok()
    });
    limit.unwrap_or_default()
}

impl GatewaySettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every error found in the file.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let (file, text) = Reader::read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Parses settings; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns every error found in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = Reader::new(file, text)?;
        let node = reader.section("node", GatewayNode::read);
        let store = reader.section("store", StoreSettings::read);
        let bounds = reader.section("bounds", Bounds::read);
        let hedging = reader.section("hedging", read_hedging);
        let limits = reader.section("limits", VmLimits::read);
        let log = reader.section("log", LogConfig::read);
        let errors = reader.finish();
        match (node, store, bounds) {
            (Some(node), Some(store), Some(bounds)) if errors.is_empty() => Ok(Self {
                node,
                store,
                bounds,
                hedging,
                limits,
                log,
            }),
            _ => Err(SettingsErrors(errors)),
        }
    }

    /// Returns the configuration of the gateway's decisions.
    pub fn gateway_config(&self) -> GatewayConfig {
        GatewayConfig {
            max_confirmation_age: self.bounds.revocation_time.mul_f64(CONFIRMATION_FRACTION),
            max_time_behind: self.bounds.configuration_time.mul_f64(BEHIND_FRACTION),
            budget: self.bounds.budget,
            hedging: self.hedging,
        }
    }
}
