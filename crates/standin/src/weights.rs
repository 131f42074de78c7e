//! The rate-limited weight store.

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

/// Readers take turns for the part of the rate that this time allows.
const SLICE: Duration = Duration::from_millis(10);

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreCfg {
    /// Bytes a second, shared by all readers.
    pub bytes_per_s: u64,
    /// Bytes of one layer.
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

/// A way in which the weight store fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum WeightStoreFault {
    /// Every request is answered by 503.
    Outage,
}

/// The answer to a read: it comes when the weights would have been sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsResponse {
    /// The size of the weights that the answer stands for.
    pub bytes: u64,
}

/// The weight store.
#[derive(Debug)]
pub struct WeightStore {
    cfg: WeightStoreCfg,
    faults: Faults<WeightStoreFault>,
    free_at: Mutex<Option<Instant>>,
}

impl WeightStore {
    /// Makes a store that nobody reads from yet.
    pub fn new(cfg: WeightStoreCfg) -> Self {
        Self {
            cfg,
            faults: Faults::new(),
            free_at: Mutex::new(None),
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Vec<WeightStoreFault>) {
        self.faults.set(faults);
    }

    async fn send(&self, bytes: u64) {
        let rate = self.cfg.bytes_per_s.max(1);
        let slice = ((rate as f64 * SLICE.as_secs_f64()) as u64).max(1);
        let mut left = bytes;
        while left > 0 {
            let part = left.min(slice);
            let until = self.reserve(Duration::from_secs_f64(part as f64 / rate as f64));
            tokio::time::sleep_until(until).await;
            left -= part;
        }
    }

    fn reserve(&self, time: Duration) -> Instant {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let until = free_at.map_or(now, |at| at.max(now)) + time;
        *free_at = Some(until);
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
