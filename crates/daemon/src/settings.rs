//! Parses and validates the INI settings.
//!
//! Every error in a file is reported, each with file, section, key, value and
//! the allowed values. Unknown sections and keys are errors too.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    ops::RangeInclusive,
    path::Path,
    time::Duration,
};

use ini::Ini;
use radishhaven_core::configs::{
    AdmissionConfig, DirectoryConfig, DisseminationConfig, FlowConfig, HealthConfig, HedgeConfig,
    LeaseConfig, MembershipConfig, OnceConfig, OrderConfig, RecoveryConfig, RetryConfig,
    RoutingConfig, SnapshotsConfig, VmListConfig, WatchConfig,
};

use crate::configs::{
    CallersConfig, LogConfig, NodeConfig, OperatorsConfig, PeersConfig, PlatformConfig,
    read_admission, read_directory, read_dissemination, read_flow, read_health, read_hedge,
    read_lease, read_membership, read_once, read_orders, read_recovery, read_retry, read_routing,
    read_snapshots, read_vm_list, read_watch,
};

/// An INI file with all settings, their defaults and their units.
pub const DEFAULTS: &str = include_str!("defaults.ini");

/// All settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// `[node]`.
    pub node: NodeConfig,
    /// `[peers]`.
    pub peers: PeersConfig,
    /// `[platform]`.
    pub platform: PlatformConfig,
    /// `[log]`.
    pub log: LogConfig,
    /// `[callers]`.
    pub callers: CallersConfig,
    /// `[admission]`.
    pub admission: AdmissionConfig,
    /// `[directory]`.
    pub directory: DirectoryConfig,
    /// `[membership]`.
    pub membership: MembershipConfig,
    /// `[once]`.
    pub once: OnceConfig,
    /// `[health]`.
    pub health: HealthConfig,
    /// `[recovery]`.
    pub recovery: RecoveryConfig,
    /// `[lease]`.
    pub lease: LeaseConfig,
    /// `[orders]`.
    pub orders: OrderConfig,
    /// `[flow]`.
    pub flow: FlowConfig,
    /// `[hedge]`.
    pub hedge: HedgeConfig,
    /// `[retry]`.
    pub retry: RetryConfig,
    /// `[routing]`.
    pub routing: RoutingConfig,
    /// `[operators]`.
    pub operators: OperatorsConfig,
    /// `[dissemination]`.
    pub dissemination: DisseminationConfig,
    /// `[snapshots]`.
    pub snapshots: SnapshotsConfig,
    /// `[watch]`.
    pub watch: WatchConfig,
    /// `[vm_list]`, with the read interval of the VM list from `[platform]`.
    pub vm_list: VmListConfig,
}

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read or is not valid INI.
    #[error("{file}: {message}")]
    File {
        /// The file.
        file: String,
        /// The error of the file system or the INI parser.
        message: String,
    },
    /// A value is not allowed.
    #[error("{file}: [{section}] {key} = {value}: allowed is {allowed}")]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// A setting without a default is missing.
    #[error("{file}: [{section}] {key} is missing: allowed is {allowed}")]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The allowed values.
        allowed: String,
    },
    /// A key or a section occurs more than once.
    #[error("{file}: [{section}] {key} is given more than once")]
    Duplicate {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key; empty for the section itself.
        key: String,
    },
    /// A key or a section is unknown.
    #[error("{file}: [{section}] {key} = {value}: allowed are {allowed}")]
    Unknown {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The allowed values.
        allowed: String,
    },
}

/// All errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}

/// One section while it is parsed. Each parsed key is removed; the keys that
/// are left at the end are unknown.
#[derive(Debug)]
pub struct Section<'a> {
    file: &'a str,
    name: &'static str,
    values: BTreeMap<String, String>,
    allowed_keys: Vec<&'static str>,
    errors: &'a mut Vec<SettingsError>,
}

impl Section<'_> {
    /// Returns whether the section has a key.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    /// Adds a key to the allowed keys without parsing it.
    pub(crate) fn allow(&mut self, key: &'static str) {
        self.allowed_keys.push(key);
    }

    /// Parses an optional value. Returns `None` if it is missing or invalid; an
    /// invalid value is recorded as an error.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.allowed_keys.push(key);
        let value = self.values.remove(key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            self.errors.push(SettingsError::Value {
                file: self.file.to_owned(),
                section: self.name.to_owned(),
                key: key.to_owned(),
                value,
                allowed: allowed.to_owned(),
            });
        }
        parsed
    }

    /// Parses a required value.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.values.contains_key(key) {
            return self.optional(key, allowed, parse);
        }
        self.allowed_keys.push(key);
        self.errors.push(SettingsError::Missing {
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: key.to_owned(),
            allowed: allowed.to_owned(),
        });
        None
    }

    /// Parses a required value that error messages must not show.
    pub(crate) fn require_secret<T>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let secret = self.values.get_mut(key).map(std::mem::take);
        let parsed = secret.as_deref().and_then(parse);
        if let Some(parsed) = parsed {
            self.allowed_keys.push(key);
            self.values.remove(key);
            return Some(parsed);
        }
        if secret.is_some() {
            self.values.insert(key.to_owned(), "(hidden)".to_owned());
        }
        self.require(key, allowed, |_| None)
    }

    /// Parses a required IP address with a port.
    pub(crate) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.require(key, "IP:PORT", |v| v.parse().ok())
    }

    /// Parses an optional number within a range.
    pub(crate) fn number(&mut self, key: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let allowed = format!("{} to {}", range.start(), range.end());
        self.optional(key, &allowed, |v| {
            v.parse().ok().filter(|n| range.contains(n))
        })
    }

    /// Parses an optional duration within a range, both in milliseconds.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u32>,
    ) -> Option<Duration> {
        self.number(key, range)
            .map(|ms| Duration::from_millis(ms.into()))
    }

    /// Reports the keys that were not parsed as unknown.
    fn finish(self) {
        let allowed = self.allowed_keys.join(", ");
        for (key, value) in self.values {
            self.errors.push(SettingsError::Unknown {
                file: self.file.to_owned(),
                section: self.name.to_owned(),
                key,
                value,
                allowed: allowed.clone(),
            });
        }
    }
}

/// A settings file while its sections are parsed.
pub(crate) struct Reader<'a> {
    file: &'a str,
    ini: Ini,
    errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    /// Returns a file's name, as used in error messages, and its text.
    pub(crate) fn read_file(path: &Path) -> Result<(String, String), SettingsErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok((file, text)),
            Err(error) => {
                let message = error.to_string();
                Err(SettingsErrors(vec![SettingsError::File { file, message }]))
            }
        }
    }

    /// Parses a file's text; `file` is the name used in error messages.
    pub(crate) fn new(file: &'a str, text: &str) -> Result<Self, SettingsErrors> {
        let ini = Ini::load_from_str(text).map_err(|e| {
            let message = e.to_string();
            SettingsErrors(vec![SettingsError::File {
                file: file.to_owned(),
                message,
            }])
        })?;
        Ok(Self {
            file,
            ini,
            errors: Vec::new(),
        })
    }

    /// Returns all errors. Sections that were not parsed count as unknown.
    pub(crate) fn finish(mut self) -> Vec<SettingsError> {
        self.reject_unknown_sections();
        self.errors
    }

    /// Parses one section with `read`.
    pub(crate) fn section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        let values = self.values(name);
        let errors = &mut self.errors;
        let mut section = Section {
            file: self.file,
            name,
            values,
            allowed_keys: Vec::new(),
            errors,
        };
        let value = read(&mut section);
        section.finish();
        value
    }

    /// Removes a section from the file and returns its values. Duplicate keys
    /// and sections are recorded as errors.
    fn values(&mut self, name: &'static str) -> BTreeMap<String, String> {
        let mut values = BTreeMap::new();
        let mut duplicates = BTreeSet::new();
        for (number, pairs) in self.ini.section_all(Some(name)).enumerate() {
            if number > 0 {
                duplicates.insert(String::new());
            }
            for (key, value) in pairs.iter() {
                if values.insert(key.to_owned(), value.to_owned()).is_some() {
                    duplicates.insert(key.to_owned());
                }
            }
        }
        self.ini.delete(Some(name));
        self.errors
            .extend(duplicates.into_iter().map(|key| SettingsError::Duplicate {
                file: self.file.to_owned(),
                section: name.to_owned(),
                key,
            }));
        values
    }

    fn reject_unknown_sections(&mut self) {
        for (name, pairs) in self.ini.iter() {
            for (key, value) in pairs.iter() {
                self.errors.push(SettingsError::Unknown {
                    file: self.file.to_owned(),
                    section: name.unwrap_or_default().to_owned(),
                    key: key.to_owned(),
                    value: value.to_owned(),
                    allowed: "the sections that `radishhavend print-defaults` shows".to_owned(),
                });
            }
        }
    }
}

impl Settings {
    /// Loads the settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let (file, text) = Reader::read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Parses settings; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let mut reader = Reader::new(file, text)?;
        let node = reader.section("node", NodeConfig::read);
        let peers = reader.section("peers", PeersConfig::read);
        let platform = reader.section("platform", PlatformConfig::read);
        let log = reader.section("log", LogConfig::read);
        let callers = reader.section("callers", CallersConfig::read);
        let admission = reader.section("admission", read_admission);
        let directory = reader.section("directory", read_directory);
        let membership = reader.section("membership", read_membership);
        let once = reader.section("once", read_once);
        let health = reader.section("health", read_health);
        let recovery = reader.section("recovery", read_recovery);
        let lease = reader.section("lease", read_lease);
        let orders = reader.section("orders", read_orders);
        let flow = reader.section("flow", read_flow);
        let hedge = reader.section("hedge", read_hedge);
        let retry = reader.section("retry", read_retry);
        let routing = reader.section("routing", read_routing);
        let address = node.as_ref().map(|node| node.operators);
        let operators = reader.section("operators", |s| OperatorsConfig::read(s, address));
        let dissemination = reader.section("dissemination", read_dissemination);
        let snapshots = reader.section("snapshots", read_snapshots);
        let watch = reader.section("watch", read_watch);
        let interval = platform.as_ref().map(|platform| platform.vms_read_interval);
        let vm_list = reader.section("vm_list", |section| read_vm_list(section, interval));
        let errors = reader.finish();
        match (node, peers, platform, operators) {
            (Some(node), Some(peers), Some(platform), Some(operators)) if errors.is_empty() => {
                Ok(Self {
                    node,
                    peers,
                    platform,
                    log,
                    callers,
                    admission,
                    directory,
                    membership,
                    once,
                    health,
                    recovery,
                    flow,
                    hedge,
                    retry,
                    lease,
                    orders,
                    routing,
                    operators,
                    dissemination,
                    snapshots,
                    watch,
                    vm_list,
                })
            }
            _ => Err(SettingsErrors(errors)),
        }
    }
}

/// Parses `yes` or `no`.
pub(crate) fn parse_yes_no(value: &str) -> Option<bool> {
    match value {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}
