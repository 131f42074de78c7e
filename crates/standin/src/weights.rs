//! A weight store that limits the rate at which it sends weights.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use radishhaven_core::ids::LayerRange;
use radishhaven_proto::platform::WEIGHTS_PATH;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use volo_http::{request::Request, response::Response};

use crate::{
    control::{FAULTS_PATH, Faults},
    runtime::RequestHandler,
    wire,
};

/// Transfer time of one chunk. Concurrent readers alternate chunk by chunk and so
/// share the rate.
const CHUNK_TIME: Duration = Duration::from_millis(10);

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreCfg {
    /// Rate in bytes per second, shared by all readers.
    pub bytes_per_s: u64,
    /// Size of one layer in bytes.
    pub layer_bytes: u64,
}

impl Default for WeightStoreCfg {
    fn default() -> Self {
        Self {
            bytes_per_s: 1_000_000_000,
            layer_bytes: 10_000_000,
        }
    }
}

/// A fault of the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum WeightStoreFault {
    /// Every request returns status 503.
    Outage,
}

/// The response to a read, sent once the transfer of the weights would be complete.
///
/// The weights themselves are not sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsResponse {
    /// Size of the requested weights in bytes.
    pub bytes: u64,
}

/// Serves the weights of model layers at a limited rate.
#[derive(Debug)]
pub struct WeightStore {
    cfg: WeightStoreCfg,
    faults: Faults<WeightStoreFault>,
    available_at: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Creates a store.
    pub fn new(cfg: WeightStoreCfg) -> Self {
        Self {
            cfg,
            faults: Faults::new(),
            available_at: Mutex::new(None),
        }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Vec<WeightStoreFault>) {
        self.faults.set(faults);
    }

    async fn send(&self, bytes: u64) {
        let rate = self.cfg.bytes_per_s.max(1);
        let chunk_bytes = ((rate as f64 * CHUNK_TIME.as_secs_f64()) as u64).max(1);
        let mut remaining = bytes;
        while remaining > 0 {
            let chunk = remaining.min(chunk_bytes);
            let until = self.reserve_transfer(Duration::from_secs_f64(chunk as f64 / rate as f64));
            tokio::time::sleep_until(until).await;
            remaining -= chunk;
        }
    }

    fn reserve_transfer(&self, time: Duration) -> Instant {
        let now = Instant::now();
        let mut available_at = self
            .available_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let until = available_at.map_or(now, |at| at.max(now)) + time;
        *available_at = Some(until);
        until
    }

    async fn respond_read(&self, req: Request) -> Response {
        let layers = wire::query(req.uri(), "layers").and_then(|l| l.parse::<LayerRange>().ok());
        let Some(layers) = layers else {
            return wire::WireError::Invalid("layers are written START..END").into();
        };
        let bytes = u64::from(layers.count()) * self.cfg.layer_bytes;
        self.send(bytes).await;
        if self.faults.any(|f| *f == WeightStoreFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        wire::ok(&WeightsResponse { bytes })
    }
}

impl RequestHandler for WeightStore {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        let path = req.uri().path();
        if path == FAULTS_PATH {
            return self.faults.respond(req).await;
        }
        if self.faults.any(|f| *f == WeightStoreFault::Outage) {
            return wire::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        if req.method() == Method::GET && path.starts_with(WEIGHTS_PATH) {
            return self.respond_read(req).await;
        }
        wire::empty(StatusCode::NOT_FOUND)
    }
}
