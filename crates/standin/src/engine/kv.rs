//! Cancels sessions, and exports and imports their KV cache.

use std::time::Duration;

use http::StatusCode;
use radishhaven_core::ids::Position;
use radishhaven_proto::engine::{EngineRefusal, KvCache, KvImport, SessionRef};

use super::{
    Engine, EngineError, EngineFault,
    record::{EngineRecord, KvRecord, SessionRecord},
    session::Session,
};
use crate::{
    reference::{LayerState, model_seed},
    wire::wall_clock_us,
};

impl Engine {
    /// Ends a session and refuses its step unless the step has started.
    pub(super) fn cancel(&self, session: SessionRef) -> StatusCode {
        let mut state = self.lock();
        state.end_session(&session, &EngineRefusal::NotRun);
        let at_us = wall_clock_us();
        state.record(EngineRecord::Cancelled(SessionRecord { session, at_us }));
        StatusCode::OK
    }

    /// Exports the KV cache of a session, which stays open.
    ///
    /// The cache includes a started step, even if its reply is still pending.
    pub(super) async fn export(&self, session: SessionRef) -> Result<KvCache, EngineError> {
        self.check_kv_fault()?;
        let cache = self.copy_cache(&session)?;
        tokio::time::sleep(self.transfer_time(cache.next)).await;
        Ok(cache)
    }

    fn copy_cache(&self, session_ref: &SessionRef) -> Result<KvCache, EngineRefusal> {
        let mut state = self.lock();
        let session = state.sessions.get(session_ref).filter(|s| !s.cancelled);
        let session = session.ok_or(EngineRefusal::NoSession)?;
        let cache = KvCache {
            model: state.holding.model.clone(),
            version: state.holding.version.clone(),
            layers: session.state.layers(),
            next: Position(session.next),
            state: session.state.values().to_vec(),
        };
        state.record(EngineRecord::KvExported(kv_record(session_ref, &cache)));
        Ok(cache)
    }

    /// Opens a session from an exported KV cache.
    ///
    /// Repeating an import has no effect, so that a caller can retry when the
    /// response was lost.
    pub(super) async fn import(&self, import: KvImport) -> Result<(), EngineError> {
        self.check_kv_fault()?;
        tokio::time::sleep(self.transfer_time(import.cache.next)).await;
        self.open_import(import)?;
        Ok(())
    }

    fn open_import(&self, import: KvImport) -> Result<(), EngineRefusal> {
        let KvImport { session, cache } = import;
        let refuse_new = self.faults.any(|f| *f == EngineFault::RefuseSessions);
        let mut state = self.lock();
        if state.ended.contains(&session) {
            return Err(EngineRefusal::NoSession);
        }
        state.check_held(&cache.model, &cache.version, cache.layers)?;
        if let Some(existing) = state.sessions.get(&session) {
            return check_same_import(existing, &cache);
        }
        if refuse_new {
            return Err(EngineRefusal::Leaving);
        }
        if state.sessions.len() >= self.cfg.max_sessions {
            return Err(EngineRefusal::Busy);
        }
        let record = kv_record(&session, &cache);
        let seed = model_seed(&cache.model, &cache.version);
        let layers = LayerState::from_values(seed, cache.layers, cache.state)
            .ok_or(EngineRefusal::NotHeld)?;
        let opened = Session::new(layers, cache.next.0, Some(cache.next));
        state.sessions.insert(session, opened);
        state.record(EngineRecord::KvImported(record));
        Ok(())
    }

    fn check_kv_fault(&self) -> Result<(), EngineError> {
        if self.faults.any(|f| *f == EngineFault::KvFails) {
            return Err(EngineError::Fault);
        }
        Ok(())
    }

    fn transfer_time(&self, next: Position) -> Duration {
        let us = self
            .cfg
            .kv_per_position_us
            .saturating_mul(u64::from(next.0));
        Duration::from_micros(self.cfg.kv_base_us.saturating_add(us))
    }
}

fn check_same_import(existing: &Session, cache: &KvCache) -> Result<(), EngineRefusal> {
    let same_position = existing.next == cache.next.0 && existing.state.layers() == cache.layers;
    if same_position && existing.state.values() == cache.state {
        return Ok(());
    }
    let next = Position(existing.next);
    Err(EngineRefusal::WrongPosition { next })
}

fn kv_record(session: &SessionRef, cache: &KvCache) -> KvRecord {
    KvRecord {
        session: session.clone(),
        layers: cache.layers,
        next: cache.next,
        state: cache.state.clone(),
        at_us: wall_clock_us(),
    }
}
