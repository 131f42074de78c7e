//! Looks up configured objects by kind.

use super::{
    apply::Config,
    objects::{Backend, Deployment, Kind, Model, Object, Organisation, Pipeline, Service},
};
use crate::ids::{ModelId, OrganisationId, PipelineId, ServiceId, VmId};

impl Config {
    /// Returns the organisation with this ID, if it is configured.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        match self.object(Kind::Organisation, id.as_str())? {
            Object::Organisation(o) => Some(o),
            _ => None,
        }
    }

    /// Returns the pipeline with this ID, if it is configured.
    pub fn pipeline(&self, id: &PipelineId) -> Option<&Pipeline> {
        match self.object(Kind::Pipeline, id.as_str())? {
            Object::Pipeline(p) => Some(p),
            _ => None,
        }
    }

    /// Returns the model with this ID, if it is configured.
    pub fn model(&self, id: &ModelId) -> Option<&Model> {
        match self.object(Kind::Model, id.as_str())? {
            Object::Model(m) => Some(m),
            _ => None,
        }
    }

    /// Returns the plain service with this ID, if it is configured.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        match self.object(Kind::Service, id.as_str())? {
            Object::Service(s) => Some(s),
            _ => None,
        }
    }

    /// Returns the backend server on this VM, if it is configured.
    pub fn backend(&self, id: &VmId) -> Option<&Backend> {
        match self.object(Kind::Backend, id.as_str())? {
            Object::Backend(b) => Some(b),
            _ => None,
        }
    }

    /// Returns the settings of the deployment, or their defaults.
    pub fn deployment(&self) -> Deployment {
        match self.object(Kind::Deployment, "all") {
            Some(Object::Deployment(d)) => d.clone(),
            _ => Deployment::default(),
        }
    }

    /// Returns all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.objects()
            .values()
            .filter_map(|entry| match &entry.object {
                Object::Organisation(o) => Some(o),
                _ => None,
            })
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.objects()
            .values()
            .filter_map(|entry| match &entry.object {
                Object::Backend(b) => Some(b),
                _ => None,
            })
    }
}
