//! An entry node on its own runtime, which can be killed, paused or drained alone.

use std::sync::mpsc;

use radishhavend::{host::RunningNode, settings::Settings};
use tokio::runtime::Runtime;

use super::DeploymentError;
use crate::cpu::MAX_THREAD_NAME_BYTES;

/// Number of worker threads of an entry node.
const WORKER_THREADS: usize = 2;

/// A running entry node, killed when it is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    /// The node.
    pub node: RunningNode,
    runtime: Option<Runtime>,
}

impl NodeProcess {
    /// Starts a node.
    ///
    /// Its threads are named after the VM, so that [`crate::cpu`] can measure
    /// their processor time.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the node cannot be started.
    pub fn start(settings: Settings) -> Result<Self, DeploymentError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(thread_name(settings.node.vm.as_str()))
            .enable_all()
            .build()?;
        // Runs on a new thread, since blocking inside the caller's runtime would panic.
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

    /// Blocks all threads of the node until the returned guard is dropped.
    ///
    /// This simulates a process stopped by SIGSTOP: the sockets stay open.
    pub fn pause(&self) -> PauseGuard {
        let (stopped_tx, stopped_rx) = mpsc::channel();
        let release_senders = (0..WORKER_THREADS).filter_map(|_| {
            let (release_tx, release_rx) = mpsc::channel::<()>();
            let stopped_tx = stopped_tx.clone();
            self.runtime.as_ref()?.spawn(async move {
                // Blocks the worker thread until the guard drops its sender.
                let _ = stopped_tx.send(());
                let _ = release_rx.recv();
            });
            Some(release_tx)
        });
        let guard = PauseGuard {
            _release_senders: release_senders.collect(),
        };
        drop(stopped_tx);
        for () in stopped_rx.iter().take(WORKER_THREADS) {}
        guard
    }

    /// Kills the node at once, as if its VM had failed.
    pub fn kill(self) {
        drop(self);
    }

    /// Shuts the node down gracefully and returns whether all requests ended.
    pub async fn drain(self) -> bool {
        self.node.drain().await
    }
}

/// Keeps the threads of a node blocked until it is dropped.
#[derive(Debug)]
pub struct PauseGuard {
    _release_senders: Vec<mpsc::Sender<()>>,
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
