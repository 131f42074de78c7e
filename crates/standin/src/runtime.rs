//! Runs a stand-in on a runtime of its own, so that it can be killed alone.

use std::{
    convert::Infallible,
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use tokio::runtime::{Builder, Runtime};
use volo::{net::incoming::DefaultIncoming, service::Service};
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

/// Times that a fixed port is tried again while its last user closes it.
const BIND_RETRIES: u32 = 100;
/// Time between two tries to bind a fixed port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// What a stand-in does with a request; this is the edge of its process.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn respond(self: Arc<Self>, req: Request) -> impl Future<Output = Response> + Send;

    /// Does the work that no single request drives, for as long as it runs.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// Says why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be bound.
    #[error("cannot bind {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The runtime can't be made or can't take the listener.
    #[error("cannot make the runtime: {0}")]
    Runtime(#[from] io::Error),
}

/// A stand-in that runs until it is killed or dropped.
pub struct ServerHandle<S> {
    /// Where it serves.
    pub addr: SocketAddr,
    /// Its state, for reading records and setting faults in the same process.
    pub state: Arc<S>,
    runtime: Option<Runtime>,
}

impl<S: RequestHandler> ServerHandle<S> {
    /// Starts a stand-in; port 0 picks an ephemeral port.
    ///
    /// A fixed port is tried again for a short time, because the stand-in that
    /// was killed on it closes its sockets on another thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or the runtime can't be made.
    pub fn start(bind: SocketAddr, state: S) -> Result<Self, StartError> {
        let listener = listen(bind).map_err(|source| StartError::Bind { addr: bind, source })?;
        let addr = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let state = Arc::new(state);
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        runtime.spawn(state.clone().background());
        runtime.spawn(serve(listener, state.clone()));
        let runtime = Some(runtime);
        Ok(Self {
            addr,
            state,
            runtime,
        })
    }
}

impl<S> ServerHandle<S> {
    /// Stops the stand-in at once: its sockets close and its tasks end.
    pub fn kill(self) {
        drop(self);
    }
}

impl<S> Drop for ServerHandle<S> {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl<S> fmt::Debug for ServerHandle<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

struct Serve<S>(Arc<S>);

impl<S: RequestHandler> Service<ServerContext, Request> for Serve<S> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.0.clone().respond(req).await)
    }
}

async fn serve<S: RequestHandler>(listener: tokio::net::TcpListener, state: Arc<S>) {
    let incoming = DefaultIncoming::from(listener);
    // The listener outlives the server, so its end needs no handling here.
    let _ = Server::new(Serve(state)).run(incoming).await;
}

fn listen(bind: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = 0;
    let listener = loop {
        match TcpListener::bind(bind) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && retries < BIND_RETRIES => {
                retries += 1;
                thread::sleep(BIND_RETRY_DELAY);
            }
            other => break other?,
        }
    };
    listener.set_nonblocking(true)?;
    Ok(listener)
}
