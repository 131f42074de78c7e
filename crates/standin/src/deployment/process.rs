//! An entry node that can be killed, paused or drained alone.

use std::sync::mpsc;

use radishhavend::{host::RunningNode, settings::Settings};
use tokio::runtime::Runtime;

use super::DeploymentError;
use crate::cpu::MAX_THREAD_NAME_BYTES;

/// Threads of an entry node.
const WORKERS: usize = 2;

/// An entry node on a runtime of its own.
#[derive(Debug)]
pub struct NodeProcess {
    /// The node.
    pub node: RunningNode,
    runtime: Option<Runtime>,
}

impl NodeProcess {
    /// Starts a node on new ports of loopback.
    ///
    /// Its threads carry the VM's name, so that [`crate::cpu`] can tell their cost.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or the node can't be started.
    pub fn start(settings: Settings) -> Result<Self, DeploymentError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(thread_name(settings.node.vm.as_str()))
            .enable_all()
            .build()?;
        // The caller may be inside another runtime, which must not be blocked on.
        let started = std::thread::scope(|scope| {
            let start = || runtime.block_on(RunningNode::start(settings));
            scope
                .spawn(start)
                .join()
                .expect("starting a node doesn't panic")
        });
        Ok(Self {
            node: started?,
            runtime: Some(runtime),
        })
    }

    /// Stops all of the node's threads until what it returns is dropped, as a
    /// signal would; its sockets stay open meanwhile.
    pub fn pause(&self) -> PauseGuard {
        let (stopped, all_stopped) = mpsc::channel();
        let holds = (0..WORKERS).filter_map(|_| {
            let (hold, held) = mpsc::channel::<()>();
            let stopped = stopped.clone();
            self.runtime.as_ref()?.spawn(async move {
                // Blocks the thread on purpose, until the other end is dropped.
                let _ = stopped.send(());
                let _ = held.recv();
            });
            Some(hold)
        });
        let pause = PauseGuard {
            _holds: holds.collect(),
        };
        drop(stopped);
        for () in all_stopped.iter().take(WORKERS) {}
        pause
    }

    /// Ends the node at once, as if its VM were lost.
    pub fn kill(self) {
        drop(self);
    }

    /// Shuts the node down gracefully; returns whether every request ended.
    pub async fn drain(self) -> bool {
        self.node.drain().await
    }
}

/// Holds a node's threads while it lives.
#[derive(Debug)]
pub struct PauseGuard {
    _holds: Vec<mpsc::Sender<()>>,
}

fn thread_name(name: &str) -> String {
    name.chars().take(MAX_THREAD_NAME_BYTES).collect()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
