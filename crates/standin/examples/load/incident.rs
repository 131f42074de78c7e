//! What happens to a deployment while it is under load.

use radishhaven_core::ids::{FailureDomain, VmId};
use radishhaven_standin::{
    deployment::{Deployment, DeploymentError, EnginePlan},
    engine::EngineFault,
    log::LogFault,
    service::ServiceFault,
};

/// Something that happens to the deployment.
#[derive(Debug, Clone)]
pub enum Incident {
    /// These engines are lost.
    Kill(Vec<EnginePlan>),
    /// These engines fail in a way.
    Fault(Vec<EnginePlan>, EngineFault),
    /// The VM list shows these engines as leaving.
    Leave(Vec<EnginePlan>),
    /// A node is lost.
    KillNode(VmId),
    /// A node comes back empty, at another address.
    StartNode(VmId, FailureDomain),
    /// The log fails in these ways only.
    Log(Vec<LogFault>),
    /// All servers of the plain service fail in a way.
    Service(ServiceFault),
}

impl Incident {
    /// Makes it happen.
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

    /// Returns the engines that complete nothing any more.
    pub fn lost(&self) -> &[EnginePlan] {
        match self {
            Self::Kill(engines) | Self::Fault(engines, _) | Self::Leave(engines) => engines,
            _ => &[],
        }
    }
}
