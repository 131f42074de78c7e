//! Runs each stand-in on its own Tokio runtime, so that it can be killed alone.

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

/// Maximum number of retries to bind a fixed port while its previous user closes it.
const BIND_RETRIES: u32 = 100;
/// Delay between two attempts to bind a fixed port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Handles the HTTP requests of a stand-in.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn respond(self: Arc<Self>, req: Request) -> impl Future<Output = Response> + Send;

    /// Runs background work for the lifetime of the stand-in.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// An error on starting a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("cannot bind {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The runtime cannot be created, or the listener cannot be registered with it.
    #[error("cannot create the runtime or register the listener: {0}")]
    Runtime(#[from] io::Error),
}

/// Handle to a running stand-in, which stops when the handle is dropped.
pub struct ServerHandle<S> {
    /// The address that the stand-in listens on.
    pub addr: SocketAddr,
    /// The state of the stand-in, to read records and set faults from this process.
    pub state: Arc<S>,
    runtime: Option<Runtime>,
}

impl<S: RequestHandler> ServerHandle<S> {
    /// Starts a stand-in; port 0 selects an ephemeral port.
    ///
    /// Binding a fixed port is retried for a short time, because a killed
    /// stand-in closes its sockets on another thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the runtime cannot be
    /// created.
    pub fn start(bind: SocketAddr, state: S) -> Result<Self, StartError> {
        let listener =
            bind_listener(bind).map_err(|source| StartError::Bind { addr: bind, source })?;
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
    /// Stops the stand-in at once, closing its sockets and cancelling its tasks.
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
        f.debug_struct("ServerHandle")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

struct HandlerService<S>(Arc<S>);

impl<S: RequestHandler> Service<ServerContext, Request> for HandlerService<S> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(self.0.clone().respond(req).await)
    }
}

async fn serve<S: RequestHandler>(listener: tokio::net::TcpListener, state: Arc<S>) {
    let incoming = DefaultIncoming::from(listener);
    // The server runs until its runtime shuts down, so no error is handled here.
    let _ = Server::new(HandlerService(state)).run(incoming).await;
}

fn bind_listener(bind: SocketAddr) -> io::Result<TcpListener> {
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
