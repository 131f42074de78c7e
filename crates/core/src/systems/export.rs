//! Exports the KV cache of running requests and limits the kept inputs.
//!
//! An export runs beside the steps and doesn't delay them.
//! `docs/design/recovery.md` describes when an export is due and why exports are rare.

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

/// Requests the exports that are due. Runs after each token.
pub(super) fn run(cx: &mut Context<'_>, key: RequestKey) {
    let Some(work) = completion(cx, key) else {
        return;
    };
    let every = cx.cfg.recovery.export_every_tokens;
    let max_kept = cx.cfg.recovery.max_kept_positions;
    let due: Vec<usize> = (0..work.chain.len())
        .filter(|stage| is_due(&work.chain[*stage], every, max_kept))
        .collect();
    for stage in due {
        export(cx, key, stage);
    }
}

/// Returns whether an export is due: after `every` positions, or when the kept inputs
/// and the positions since the last export both reach half of `max_kept`.
fn is_due(session: &StageSession, every: u32, max_kept: u32) -> bool {
    let exported = session.export.as_ref().map_or(0, |cache| cache.next.0);
    let since = session.next.0.saturating_sub(exported);
    let interval = every > 0 && since >= every;
    let unexported = session.inputs.end().0.saturating_sub(exported);
    let full = session.inputs.values.len() * 2 >= max_kept as usize && unexported * 2 >= max_kept;
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

/// Handles the end of an export. The export of a session that was replaced or has
/// ended is dropped.
pub(super) fn export_done(
    cx: &mut Context<'_>,
    key: RequestKey,
    session: &SessionRef,
    result: Result<KvCache, AttemptError>,
) {
    let max_kept = cx.cfg.recovery.max_kept_positions;
    let row = cx.tables.requests.get(key);
    if row.is_none_or(|row| row.id != session.request) {
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
    let complete = cache.state.len() == usize::from(cache.layers.count());
    if fits && complete && cache.model == model && cache.version == version {
        found.export = Some(cache);
        trim(found, max_kept);
    }
}

/// Drops kept inputs if there are more than `max_kept`: first those that an export
/// covers.
///
/// If that is not enough, it drops all of them, and after a failure of the stage
/// the positions are recomputed from the prompt.
pub(super) fn trim(session: &mut StageSession, max_kept: u32) {
    let max_kept = max_kept as usize;
    if session.inputs.values.len() <= max_kept {
        return;
    }
    if let Some(exported) = session.export.as_ref().map(|cache| cache.next) {
        session.inputs.drop_before(exported.min(session.next));
    }
    if session.inputs.values.len() > max_kept {
        session.inputs.drop_before(session.next);
    }
}
