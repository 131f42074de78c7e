//! Exports KV cache while a request runs, and bounds what is kept.
//!
//! An export runs beside the steps and delays none. When it is due, and why
//! it is seldom due, is in `docs/design/recovery.md`.

use super::{
    Context,
    completion::{completion, completion_mut, session_ref},
};
use crate::{
    engine::{KvCache, SessionRef},
    ids::RequestKey,
    message::{Action, AttemptError},
    tables::{StageSession, Work},
};

/// Asks for the exports that are due; runs after each token.
pub(super) fn run(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let every = cx.cfg.recovery.export_every_tokens;
    let most = cx.cfg.recovery.max_kept_positions;
    let due: Vec<usize> = (0..work.chain.len())
        .filter(|stage| is_due(&work.chain[*stage], every, most))
        .collect();
    for stage in due {
        export(cx, key, stage);
    }
}

fn is_due(session: &StageSession, every: u32, most: u32) -> bool {
    let exported = session.export.as_ref().map_or(0, |cache| cache.next.0);
    let since = session.next.0.saturating_sub(exported);
    let interval = every > 0 && since >= every;
    let unexported = session.inputs.end().0.saturating_sub(exported);
    let full = session.inputs.values.len() * 2 >= most as usize && unexported * 2 >= most;
    !session.exporting && (interval || (full && !session.inputs.values.is_empty()))
}

fn export(cx: &mut Context<'_>, key: RequestKey, stage: usize) {
    let within = cx.cfg.retry.max_step_timeout;
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    work.chain[stage].exporting = true;
    let Some(row) = cx.tables.requests.get(key) else {
        return;
    };
    let Work::Completion(work) = &row.work else {
        return;
    };
    let session = &work.chain[stage];
    cx.out.push(Action::Export {
        key,
        address: session.stage.address,
        session: session_ref(row, session),
        timeout: within,
    });
    cx.tables.counters.exports += 1;
}

/// Takes the end of an export; one of a session that is gone is dropped.
pub(super) fn done(
    cx: &mut Context<'_>,
    key: RequestKey,
    session: &SessionRef,
    result: Result<KvCache, AttemptError>,
) {
    let most = cx.cfg.recovery.max_kept_positions;
    let known = cx.tables.requests.get(key);
    if known.is_none_or(|row| row.id != session.request) {
        cx.tables.counters.stale_replies += 1;
        return;
    }
    let Some(work) = completion_mut(cx, key) else {
        return;
    };
    let (model, version) = (work.model.clone(), work.version.clone());
    let exporting = |s: &&mut StageSession| s.attempt == session.attempt && s.exporting;
    let Some(found) = work.chain.iter_mut().find(exporting) else {
        cx.tables.counters.stale_replies += 1;
        return;
    };
    found.exporting = false;
    let Ok(cache) = result else { return };
    let fits = found.stage.layers == cache.layers && cache.next <= found.next;
    let whole = cache.state.len() == usize::from(cache.layers.count());
    if fits && whole && cache.model == model && cache.version == version {
        found.export = Some(cache);
        trim(found, most);
    }
}

/// Drops kept inputs beyond the bound: first those that an export covers.
///
/// When that is not enough, nothing is kept, and a failure of the stage
/// recomputes the positions from the prompt.
pub(super) fn trim(session: &mut StageSession, most: u32) {
    let most = most as usize;
    if session.inputs.values.len() <= most {
        return;
    }
    if let Some(exported) = session.export.as_ref().map(|cache| cache.next) {
        session.inputs.drop_before(exported.min(session.next));
    }
    if session.inputs.values.len() > most {
        session.inputs.drop_before(session.next);
    }
}
