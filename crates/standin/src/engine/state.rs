//! The state of an engine, protected by one lock.

use std::collections::{BTreeMap, VecDeque};

use radishhaven_core::ids::{FencingToken, LayerRange, ModelId, VersionId};
use radishhaven_proto::engine::{EngineRefusal, Holding, LoadReport, SessionRef, StepReply};
use tokio::time::Instant;

use super::{
    cache::PrefixCache,
    cfg::EngineCfg,
    queue::StepQueue,
    record::EngineRecord,
    session::{EndedSessions, Session},
};
use crate::control::RecordRing;

#[derive(Debug)]
pub(super) struct State {
    pub(super) holding: Holding,
    /// Counts changes of the held layers, so that completion of an outdated load is
    /// ignored.
    pub(super) generation: u64,
    /// The highest fencing token of all accepted orders.
    pub(super) newest_token: FencingToken,
    pub(super) sessions: BTreeMap<SessionRef, Session>,
    pub(super) ended: EndedSessions,
    pub(super) queue: StepQueue,
    /// Number of steps in the running batch.
    pub(super) running: usize,
    pub(super) cache: PrefixCache,
    pub(super) records: RecordRing<EngineRecord>,
    pub(super) samples: VecDeque<(Instant, LoadReport)>,
    /// Moving average of the batch time in microseconds.
    pub(super) step_us: u64,
    /// Number of runs, part of run ids.
    pub(super) runs: u64,
    /// The previous reply, for [`EngineFault::DuplicateReplyNext`](super::EngineFault).
    pub(super) last_reply: Option<StepReply>,
}

impl State {
    pub(super) fn new(cfg: &EngineCfg) -> Self {
        let holding = Holding {
            model: cfg.model.clone(),
            version: cfg.version.clone(),
            layers: cfg.layers,
            adapters: Vec::new(),
            token: FencingToken::default(),
            loading: false,
        };
        Self {
            holding,
            generation: 0,
            newest_token: FencingToken::default(),
            sessions: BTreeMap::new(),
            ended: EndedSessions::default(),
            queue: StepQueue::default(),
            running: 0,
            cache: PrefixCache::new(cfg.max_cached_prefixes),
            records: RecordRing::new(cfg.max_record_values),
            samples: VecDeque::new(),
            step_us: 0,
            runs: 0,
            last_reply: None,
        }
    }

    pub(super) fn record(&mut self, record: EngineRecord) {
        self.records.push(record.value_count(), record);
    }

    /// Returns an error unless the weights of these layers are loaded.
    pub(super) fn check_held(
        &self,
        model: &ModelId,
        version: &VersionId,
        layers: LayerRange,
    ) -> Result<(), EngineRefusal> {
        let held = &self.holding;
        let same_model = held.model == *model && held.version == *version && !held.loading;
        let inside = held.layers.start() <= layers.start() && layers.end() <= held.layers.end();
        if same_model && inside {
            Ok(())
        } else {
            Err(EngineRefusal::NotHeld)
        }
    }

    /// Ends a session. A started step still finishes and sends its reply.
    ///
    /// A queued step is dropped, and its waiters receive `refusal`.
    pub(super) fn end_session(&mut self, session: &SessionRef, refusal: &EngineRefusal) {
        self.ended.insert(session.clone());
        let Some(existing) = self.sessions.get_mut(session) else {
            return;
        };
        let queued = existing.take_queued();
        if existing.is_step_running() {
            existing.cancelled = true;
        } else {
            self.sessions.remove(session);
        }
        let Some(queued) = queued else { return };
        self.queue.remove(queued.key);
        for tx in queued.waiters {
            // The receiver is dropped if the caller has disconnected.
            let _ = tx.send(Err(*refusal));
        }
    }
}
