//! Starts the gateway's listeners and tasks, and shuts them down gracefully on
//! a signal.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use radishhaven_core::gateway::caller_usage::Origin;
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{Signal, SignalKind, signal},
};

use super::{
    GatewayHost, GatewaySettings, GatewayStartError, caller_account,
    connections::{self, Shared},
    directory, dump, ingress, links, members, metrics, peer_forwarding, peers, placer, store_sync,
};

/// Time until the directories of all nodes leave a node out that shuts down.
const DIRECTORY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a shutdown checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of ports that are tried if any free one may be used.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Time for which the process stays up after [`DrainSchedule::exit`], to send the
/// last bytes of responses.
///
/// [`DrainSchedule::exit`]: radishhaven_core::gateway::drain::DrainSchedule::exit
const FLUSH_TIME: Duration = Duration::from_millis(100);

fn listen_for(kind: SignalKind) -> Result<Signal, GatewayStartError> {
    signal(kind).map_err(GatewayStartError::Signal)
}

/// Binds the address for peers for reports and for forwarded requests, and replaces
/// it by the bound one. If its port is zero, one is chosen that is free for both.
async fn bind_peer_sockets(
    address: &mut SocketAddr,
) -> Result<(UdpSocket, TcpListener), GatewayStartError> {
    let requested = *address;
    let mut attempts = if requested.port() == 0 {
        MAX_PORT_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts -= 1;
        *address = requested;
        let socket = peers::bind(address).await?;
        match connections::listen(address) {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if attempts == 0 => return Err(error),
            Err(_) => {}
        }
    }
}

impl GatewayHost {
    /// Serves until SIGTERM or SIGINT, and returns whether every request ended.
    ///
    /// `reload` reads the settings again on SIGHUP. Only their validity is
    /// logged: new values apply after a restart.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound or a signal handler can't
    /// be installed.
    pub async fn run(
        settings: GatewaySettings,
        reload: impl Fn() -> Result<GatewaySettings, String>,
    ) -> Result<bool, GatewayStartError> {
        let mut sigterm = listen_for(SignalKind::terminate())?;
        let mut sigint = listen_for(SignalKind::interrupt())?;
        let mut sighup = listen_for(SignalKind::hangup())?;
        let host = Self::start(settings).await?;
        loop {
            tokio::select! {
                _ = sigterm.recv() => break,
                _ = sigint.recv() => break,
                _ = sighup.recv() => match reload() {
                    Ok(_) => info!("the settings were reloaded and are valid; they apply after a restart"),
                    Err(error) => error!("the reloaded settings are invalid; keeping the current ones", kv: { error }),
                },
            }
        }
        Ok(host.shut_down().await)
    }

    /// Starts a gateway on the current runtime. Ports that are zero in the
    /// settings are replaced by the bound ones.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound.
    pub async fn start(mut settings: GatewaySettings) -> Result<Arc<Self>, GatewayStartError> {
        let node = &mut settings.node;
        let caller_listener = connections::listen(&mut node.callers)?;
        let readiness_listener = connections::listen(&mut node.readiness)?;
        let directory_listener = connections::listen(&mut node.directory)?;
        let metrics_listener = connections::listen(&mut node.metrics)?;
        let (socket, peer_listener) = bind_peer_sockets(&mut node.peers).await?;
        info!("the gateway starts", kv: {
            vm = node.vm.as_str(),
            failure_domain = node.failure_domain.as_str(),
            callers = node.callers.to_string(),
            store = settings.store.address.to_string(),
        });
        let host = Arc::new(Self::new(settings));
        let shared_host = host.clone();
        let shared = |origin| Shared {
            closing: host.closing.clone(),
            account: host.callers.clone(),
            origin,
        };
        tokio::spawn(connections::serve(
            caller_listener,
            shared(Origin::Callers),
            move |req| ingress::handle(shared_host.clone(), req),
        ));
        let shared_host = host.clone();
        tokio::spawn(connections::serve(
            readiness_listener,
            shared(Origin::Others),
            move |req| std::future::ready(directory::readiness(&shared_host, &req)),
        ));
        let shared_host = host.clone();
        tokio::spawn(connections::serve(
            directory_listener,
            shared(Origin::Others),
            move |req| std::future::ready(directory::resolve(&shared_host, &req)),
        ));
        let shared_host = host.clone();
        tokio::spawn(connections::serve(
            metrics_listener,
            shared(Origin::Others),
            move |req| {
                std::future::ready(match req.uri().path() {
                    dump::DUMP_PATH => dump::render(&shared_host),
                    _ => metrics::render(&shared_host),
                })
            },
        ));
        tokio::spawn(store_sync::configuration::run(host.clone()));
        tokio::spawn(store_sync::registry::run(host.clone()));
        tokio::spawn(members::run(host.clone()));
        tokio::spawn(placer::run(host.clone()));
        tokio::spawn(peers::run(host.clone(), socket));
        tokio::spawn(peer_forwarding::serve(host.clone(), peer_listener));
        tokio::spawn(links::run(host.clone()));
        tokio::spawn(caller_account::run(host.clone()));
        Ok(host)
    }

    /// Announces the shutdown to callers and peers, keeps serving requests that
    /// still arrive, and returns when none is open or the time for the shutdown
    /// is over. Returns whether every request ended.
    pub async fn shut_down(&self) -> bool {
        let started_at = self.now();
        self.begin_drain();
        info!("shutting down gracefully", kv: { open = self.open_requests() });
        let max_time = self.drain_schedule().exit();
        let max_cached = directory::max_cache_time(&self.settings.bounds);
        let min_time = (max_cached + DIRECTORY_DELAY).min(max_time);
        loop {
            let elapsed = self.now().since(started_at);
            let idle = self.open_requests() == 0;
            if (idle && elapsed >= min_time) || elapsed >= max_time {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.closing.begin();
        let time_left = max_time.saturating_sub(self.now().since(started_at)) + FLUSH_TIME;
        let closed = tokio::time::timeout(time_left, self.closing.ended()).await;
        let all_ended = self.open_requests() == 0 && closed.is_ok();
        self.set_stopping();
        info!("stopped", kv: { all_requests_ended = all_ended, open = self.open_requests() });
        all_ended
    }
}
