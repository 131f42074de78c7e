//! The VM list of the platform, whose changes become visible after a delay.

use std::{
    collections::VecDeque,
    fs, io,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use radishhaven_proto::platform::{VMS_PATH, VmList};
use serde::{Deserialize, Serialize};
use volo_http::{body::BodyConversion, request::Request, response::Response};

use crate::{
    control::{FAULTS_PATH, Faults},
    runtime::RequestHandler,
    wire::{self, WireError},
};

/// `POST`: replaces the list by the [`VmList`] in the body. An empty body reloads
/// the file.
pub const SET_VMS_PATH: &str = "/standin/vms";

/// Settings of [`VmListService`].
#[derive(Debug, Clone, Default)]
pub struct VmListCfg {
    /// Delay in milliseconds until a change becomes visible.
    pub lag_ms: u64,
    /// File that contains a [`VmList`] as JSON.
    pub file: Option<PathBuf>,
}

/// An error on reading a VM list.
#[derive(Debug, thiserror::Error)]
pub enum VmListError {
    /// The settings specify no file.
    #[error("no file is set to read the VM list from")]
    NoFile,
    /// The file cannot be read.
    #[error("cannot read the VM list: {0}")]
    Read(#[from] io::Error),
    /// The text is not a valid VM list.
    #[error("not a VM list: {0}")]
    Json(#[from] serde_json::Error),
}

/// A fault of the VM list service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum VmListFault {
    /// Every request returns status 503.
    Outage,
    /// The visible list stays the same; changes become visible after the fault ends.
    Freeze,
}

#[derive(Debug, Default)]
struct Inner {
    visible: VmList,
    pending: VecDeque<(Instant, VmList)>,
}

/// Serves the VM list of the platform.
#[derive(Debug)]
pub struct VmListService {
    cfg: VmListCfg,
    faults: Faults<VmListFault>,
    inner: Mutex<Inner>,
}

impl VmListService {
    /// Creates a service whose `list` is visible immediately.
    pub fn new(cfg: VmListCfg, list: VmList) -> Self {
        let inner = Inner {
            visible: list,
            pending: VecDeque::new(),
        };
        Self {
            cfg,
            faults: Faults::new(),
            inner: Mutex::new(inner),
        }
    }

    /// Creates a service from the file in the settings, visible immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if no file is set or it contains no valid VM list.
    pub fn from_file(cfg: VmListCfg) -> Result<Self, VmListError> {
        let list = read_file(&cfg)?;
        Ok(Self::new(cfg, list))
    }

    /// Replaces the list; the change becomes visible after the configured delay.
    pub fn set(&self, list: VmList) {
        let visible_at = Instant::now() + Duration::from_millis(self.cfg.lag_ms);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.pending.push_back((visible_at, list));
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Vec<VmListFault>) {
        // Applies changes due before a freeze, so that they are visible during it.
        self.visible();
        self.faults.set(faults);
    }

    /// Applies the changes that are due and returns the visible list.
    pub fn visible(&self) -> VmList {
        let now = Instant::now();
        let frozen = self.faults.any(|f| *f == VmListFault::Freeze);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        while !frozen && inner.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = inner.pending.pop_front() {
                inner.visible = list;
            }
        }
        inner.visible.clone()
    }

    async fn respond_set(&self, req: Request) -> Response {
        let Ok(buf) = req.into_body().into_vec().await else {
            return WireError::IncompleteBody.into();
        };
        match self.parse(&buf) {
            Ok(list) => {
                self.set(list);
                wire::empty(StatusCode::OK)
            }
            Err(e) => wire::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }

    fn parse(&self, buf: &[u8]) -> Result<VmList, VmListError> {
        if buf.is_empty() {
            return read_file(&self.cfg);
        }
        Ok(serde_json::from_slice(buf)?)
    }
}

fn read_file(cfg: &VmListCfg) -> Result<VmList, VmListError> {
    let path = cfg.file.as_ref().ok_or(VmListError::NoFile)?;
    Ok(serde_json::from_slice(&fs::read(path)?)?)
}

impl RequestHandler for VmListService {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        match (req.method(), req.uri().path()) {
            (_, FAULTS_PATH) => {
                self.visible();
                self.faults.respond(req).await
            }
            (&Method::POST, SET_VMS_PATH) => self.respond_set(req).await,
            _ if self.faults.any(|f| *f == VmListFault::Outage) => {
                wire::empty(StatusCode::SERVICE_UNAVAILABLE)
            }
            (&Method::GET, VMS_PATH) => wire::ok(&self.visible()),
            _ => wire::empty(StatusCode::NOT_FOUND),
        }
    }
}
