//! The objects that operators configure.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ids::{
    AdapterId, FailureDomain, LayerRange, ModelId, OrganisationId, PipelineId, Priority, ServiceId,
    VersionId, VmId,
};

/// An organisation: its token, its priority and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The ID of the organisation.
    pub id: OrganisationId,
    /// SHA-256 of the bearer token, in hex.
    pub token_sha256: String,
    /// The highest priority that its requests may have.
    pub priority: Priority,
    /// Maximum number of its requests that run at the same time, across all
    /// nodes.
    pub max_in_flight: u32,
    /// Weight of the organisation when capacity doesn't suffice for all.
    pub share: u32,
}

/// A model and its number of layers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The ID of the model.
    pub id: ModelId,
    /// Number of layers.
    pub layers: u16,
}

/// A pipeline, which callers select as the model of a request. It names a
/// version of a model and the adapters to run it with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The ID of the pipeline.
    pub id: PipelineId,
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The adapters that backend servers must hold to serve the pipeline.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
}

/// A plain service, which answers each request with one call to one backend
/// server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The ID of the service.
    pub id: ServiceId,
    /// The idempotent operations. All others run at most once.
    #[serde(default)]
    pub idempotent: BTreeSet<String>,
}

/// What a backend server serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Workload {
    /// A range of layers of a model.
    Layers {
        /// The model.
        model: ModelId,
        /// The version of the model.
        version: VersionId,
        /// The layers.
        layers: LayerRange,
        /// The adapters.
        #[serde(default)]
        adapters: BTreeSet<AdapterId>,
    },
    /// A plain service.
    Service(ServiceId),
}

/// The configuration of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The VM that it runs on.
    pub id: VmId,
    /// What it serves.
    pub carries: Workload,
    /// Whether it refuses orders with an outdated fencing token.
    #[serde(default)]
    pub checks_tokens: bool,
}

/// The network link from one failure domain to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The failure domain that sends.
    pub from: FailureDomain,
    /// The failure domain that receives.
    pub to: FailureDomain,
    /// One-way latency in microseconds.
    pub one_way_us: u64,
}

/// The policy that selects backend servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// Selects by predicted completion time.
    #[default]
    Predicted,
    /// Selects by the fewest requests in flight from this node; a baseline for
    /// comparisons.
    LeastInFlight,
    /// Selects in rotation; a baseline for comparisons.
    RoundRobin,
}

/// Settings of the whole deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// The policy that selects backend servers.
    pub routing: RoutingPolicy,
}

/// Any configured object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// An organisation.
    Organisation(Organisation),
    /// A model.
    Model(Model),
    /// A pipeline.
    Pipeline(Pipeline),
    /// A plain service.
    Service(Service),
    /// A backend server.
    Backend(Backend),
    /// A link between failure domains.
    Link(Link),
    /// The settings of the deployment.
    Deployment(Deployment),
}

/// The kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Organisation`].
    Organisation,
    /// [`Model`].
    Model,
    /// [`Pipeline`].
    Pipeline,
    /// [`Service`].
    Service,
    /// [`Backend`].
    Backend,
    /// [`Link`].
    Link,
    /// [`Deployment`].
    Deployment,
}

impl Kind {
    /// All kinds, in the order of their variants.
    pub const ALL: [Kind; 7] = [
        Kind::Organisation,
        Kind::Model,
        Kind::Pipeline,
        Kind::Service,
        Kind::Backend,
        Kind::Link,
        Kind::Deployment,
    ];

    /// Returns the name of the kind in object keys and in the operators'
    /// language.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::Model => "model",
            Kind::Pipeline => "pipeline",
            Kind::Service => "service",
            Kind::Backend => "backend",
            Kind::Link => "link",
            Kind::Deployment => "deployment",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| KeyError(text.to_owned()))
    }
}

/// The key of an object: its kind and its name, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: Kind,
    /// The name. A link is named `from>to`, the deployment `all`.
    pub name: String,
}

/// The error returned for a text that is not an object key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not an object key: write KIND/NAME, where KIND is one of \
     organisation, model, pipeline, service, backend, link, deployment"
)]
pub struct KeyError(String);

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| KeyError(text.to_owned()))?;
        if name.is_empty() {
            return Err(KeyError(text.to_owned()));
        }
        Ok(Self {
            kind: kind.parse()?,
            name: name.to_owned(),
        })
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> Self {
        key.to_string()
    }
}

impl Object {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Object::Organisation(o) => (Kind::Organisation, o.id.to_string()),
            Object::Model(m) => (Kind::Model, m.id.to_string()),
            Object::Pipeline(p) => (Kind::Pipeline, p.id.to_string()),
            Object::Service(s) => (Kind::Service, s.id.to_string()),
            Object::Backend(b) => (Kind::Backend, b.id.to_string()),
            Object::Link(l) => (Kind::Link, format!("{}>{}", l.from, l.to)),
            Object::Deployment(_) => (Kind::Deployment, "all".to_owned()),
        };
        ObjectKey { kind, name }
    }
}
