//! The objects that operators configure.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ids::{
    AdapterId, FailureDomain, LayerRange, ModelId, OrganisationId, PipelineId, Priority, ServiceId,
    VersionId, VmId,
};

/// An organisation, its rights and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// SHA-256 of its bearer token, in hex.
    pub token_sha256: String,
    /// The highest priority that its requests may ask for.
    pub priority: Priority,
    /// Requests that may run at one time, over all nodes.
    pub max_in_flight: u32,
    /// Weight of its share when there isn't enough for all.
    pub share: u32,
}

/// A model and its depth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub id: ModelId,
    /// Number of layers.
    pub layers: u16,
}

/// A pipeline: what callers name as the model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Its name.
    pub id: PipelineId,
    /// The model that it runs.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The adapters that its backend servers must carry.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// The operations that are idempotent; all others run at most once.
    #[serde(default)]
    pub idempotent: BTreeSet<String>,
}

/// What a backend server carries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Workload {
    /// A range of layers of a model.
    Layers {
        /// The model.
        model: ModelId,
        /// Its version.
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

/// A backend server and what operators decided for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Its VM.
    pub id: VmId,
    /// What it carries.
    pub carries: Workload,
    /// Whether it refuses orders that carry an old fencing token.
    #[serde(default)]
    pub checks_tokens: bool,
}

/// A link between two failure domains, in one direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Where it begins.
    pub from: FailureDomain,
    /// Where it ends.
    pub to: FailureDomain,
    /// One-way time in microseconds.
    pub one_way_us: u64,
}

/// How backend servers are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// By predicted completion.
    #[default]
    Predicted,
    /// By the fewest requests in flight from this node; a baseline.
    LeastInFlight,
    /// In turn; a baseline.
    RoundRobin,
}

/// Choices that hold for the whole deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deployment {
    /// How backend servers are chosen.
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
    /// Choices for the whole deployment.
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
    /// All kinds, in the order of their names' keys.
    pub const ALL: [Kind; 7] = [
        Kind::Organisation,
        Kind::Model,
        Kind::Pipeline,
        Kind::Service,
        Kind::Backend,
        Kind::Link,
        Kind::Deployment,
    ];

    /// Returns the kind's word in keys and in the operators' language.
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

/// Names an object: its kind and its own name, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// The kind.
    pub kind: Kind,
    /// The name; a link's name is `from>to`, the deployment's is `all`.
    pub name: String,
}

/// Says that a text names no kind of object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is no object: write KIND/NAME with KIND one of \
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
    /// Returns the object's key.
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
