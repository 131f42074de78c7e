//! Faults and changes that are applied to a deployment under load.

use radishhaven_core::ids::{FailureDomain, VmId};
use radishhaven_standin::{
    deployment::{Deployment, DeploymentError, EnginePlan},
    engine::EngineFault,
    log::LogFault,
    service::ServiceFault,
};

/// A fault or a change of the deployment.
#[derive(Debug, Clone)]
pub enum Incident {
    /// Kills these engines.
    Kill(Vec<EnginePlan>),
    /// Injects a fault into these engines.
    Fault(Vec<EnginePlan>, EngineFault),
    /// Marks these engines as leaving in the VM list.
    Leave(Vec<EnginePlan>),
    /// Kills a node.
    KillNode(VmId),
    /// Starts a node without state, at another address than before.
    StartNode(VmId, FailureDomain),
    /// Replaces the faults of the log; an empty list clears them.
    Log(Vec<LogFault>),
    /// Injects a fault into all servers of the plain service.
    Service(ServiceFault),
}

impl Incident {
    /// Applies the incident to a running deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if a node cannot be started.
    pub fn apply(&self, deployment: &mut Deployment) -> Result<(), DeploymentError> {
        match self {
            Self::Kill(engines) => {
                for engine in engines {
                    if let Some(running) = deployment.engines.remove(&engine.vm) {
                        running.kill();
                    }
                }
            }
            Self::Fault(engines, fault) => {
                for engine in engines {
                    if let Some(running) = deployment.engines.get(&engine.vm) {
                        running.state.set_faults(vec![fault.clone()]);
                    }
                }
            }
            Self::Leave(engines) => engines.iter().for_each(|e| deployment.mark_leaving(&e.vm)),
            Self::KillNode(vm) => {
                if let Some(running) = deployment.nodes.remove(vm) {
                    running.kill();
                }
            }
            Self::StartNode(vm, domain) => deployment.start_node(vm, domain)?,
            Self::Log(faults) => deployment.log.state.set_faults(faults.clone()),
            Self::Service(fault) => {
                for service in deployment.services.values() {
                    service.state.set_faults(vec![fault.clone()]);
                }
            }
        }
        Ok(())
    }

    /// Returns the engines that complete no requests after the incident.
    pub fn failed_engines(&self) -> &[EnginePlan] {
        match self {
            Self::Kill(engines) | Self::Fault(engines, _) | Self::Leave(engines) => engines,
            _ => &[],
        }
    }
}
