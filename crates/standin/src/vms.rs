//! The lagging list of live and leaving VMs.

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

/// `POST`: replaces the list, body [`VmList`]; an empty body reads the file again.
pub const SET_VMS_PATH: &str = "/standin/vms";

/// Settings of the VM list.
#[derive(Debug, Clone, Default)]
pub struct VmListCfg {
    /// Time after which a change shows, in milliseconds.
    pub lag_ms: u64,
    /// A file that holds a [`VmList`] as JSON.
    pub file: Option<PathBuf>,
}

/// Says why a VM list can't be read.
#[derive(Debug, thiserror::Error)]
pub enum VmListError {
    /// The settings name no file.
    #[error("no file is set to read the VM list from")]
    NoFile,
    /// The file can't be read.
    #[error("cannot read the VM list: {0}")]
    Read(#[from] io::Error),
    /// The text isn't a VM list.
    #[error("not a VM list: {0}")]
    Json(#[from] serde_json::Error),
}

/// A way in which the VM list fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum VmListFault {
    /// Every request is answered by 503.
    Outage,
    /// The list that was last shown stays; changes show after the fault ends.
    Freeze,
}

#[derive(Debug, Default)]
struct Inner {
    visible: VmList,
    coming: VecDeque<(Instant, VmList)>,
}

/// The VM list.
#[derive(Debug)]
pub struct VmListService {
    cfg: VmListCfg,
    faults: Faults<VmListFault>,
    inner: Mutex<Inner>,
}

impl VmListService {
    /// Makes a list that shows `list` at once.
    pub fn new(cfg: VmListCfg, list: VmList) -> Self {
        let inner = Inner {
            visible: list,
            coming: VecDeque::new(),
        };
        Self {
            cfg,
            faults: Faults::new(),
            inner: Mutex::new(inner),
        }
    }

    /// Makes a list that shows the settings' file at once.
    ///
    /// # Errors
    ///
    /// Fails when there is no file or it holds no VM list.
    pub fn from_file(cfg: VmListCfg) -> Result<Self, VmListError> {
        let list = read_file(&cfg)?;
        Ok(Self::new(cfg, list))
    }

    /// Replaces the list; the change shows after the lag.
    pub fn set(&self, list: VmList) {
        let shows_at = Instant::now() + Duration::from_millis(self.cfg.lag_ms);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.coming.push_back((shows_at, list));
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Vec<VmListFault>) {
        // What was due before a freeze has to show during it.
        self.visible();
        self.faults.set(faults);
    }

    /// Returns the list that is shown now.
    pub fn visible(&self) -> VmList {
        let now = Instant::now();
        let frozen = self.faults.any(|f| *f == VmListFault::Freeze);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        while !frozen && inner.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, list)) = inner.coming.pop_front() {
                inner.visible = list;
            }
        }
        inner.visible.clone()
    }

    async fn respond_set(&self, req: Request) -> Response {
        let Ok(buf) = req.into_body().into_vec().await else {
            return WireError::Cut.into();
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
