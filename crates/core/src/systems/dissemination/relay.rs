//! Gives records to peers that lack them, and asks for those that are lacking.

use rand::seq::IteratorRandom;

use super::{Context, adopt, fold, join, readers, send};
use crate::{
    config::{LogRecord, SnapshotPart},
    ids::{Revision, VmId},
    language::DigestMatch,
    peer::ConfigMessage,
    platform::Record,
    systems::Timer,
    tables::LogState,
};

/// Most records in one message.
const MAX_RECORDS: usize = 256;
/// Bytes of records after which a message is closed.
const MAX_BYTES: usize = 1024 * 1024;
/// Time within which a peer should answer, in rounds of catching up.
const ASK_ROUNDS: u32 = 5;

/// Gives what was just read from the log to the nodes that rely on this one.
pub(super) fn push(cx: &mut Context<'_>, before: Revision) {
    if cx.tables.config.revision() == before {
        return;
    }
    for vm in readers::followers(cx) {
        give(cx, &vm, before);
    }
}

/// Gives records from a revision on, or a snapshot if they are not kept.
pub(super) fn give(cx: &mut Context<'_>, to: &VmId, from: Revision) {
    let end = cx.tables.config.revision();
    let digest = cx.tables.history.digest(from);
    let records = cx.tables.history.since(from, MAX_RECORDS, MAX_BYTES);
    match digest {
        Some(digest) if from == end || !records.is_empty() => {
            cx.tables.follow.counters.records_to_peers += records.len() as u64;
            let message = ConfigMessage::Records {
                from,
                digest,
                end,
                records,
            };
            send(cx, to, message);
        }
        _ if from < end => give_snapshot(cx, to),
        _ => {}
    }
}

fn give_snapshot(cx: &mut Context<'_>, to: &VmId) {
    let end = cx.tables.config.revision();
    // What came after it must still be kept.
    let recent = |(at, _): &(Revision, Vec<String>)| {
        *at == end || !cx.tables.history.since(*at, 1, 0).is_empty()
    };
    let relayed = cx.tables.follow.relayed.take().filter(recent);
    let (at, bodies) = relayed.unwrap_or_else(|| {
        let parts = cx.tables.config.snapshot();
        (end, parts.iter().map(SnapshotPart::to_body).collect())
    });
    for body in &bodies {
        let body = body.clone();
        send(cx, to, ConfigMessage::Snapshot { body });
    }
    cx.tables.follow.relayed = Some((at, bodies));
}

/// Takes records of a peer, if they follow from what this node has.
pub(super) fn take(
    cx: &mut Context<'_>,
    from: &VmId,
    begin: Revision,
    digest: u64,
    end: Revision,
    records: &[Record],
) {
    answered(cx, from);
    let known = |r: &Record| cx.tables.history.get(r.offset).is_some_and(|own| own != r);
    let differs = cx.tables.history.compare(begin, digest) == DigestMatch::Differs;
    if differs || records.iter().any(known) {
        cx.tables.follow.counters.divergences += 1;
        return;
    }
    let mut folded = 0;
    if cx.tables.history.compare(begin, digest) == DigestMatch::Same {
        folded = fold(cx, records);
        cx.tables.follow.counters.records_from_peers += folded;
    }
    if let Some(join) = &mut cx.tables.follow.join {
        join.heard.insert(from.clone(), end);
    }
    if cx.tables.config.revision() < end {
        // Only an answer that helped is followed by the next question at once.
        match folded {
            0 => catch_up_soon(cx),
            _ => catch_up(cx),
        }
    }
    join::finish(cx);
}

/// Takes a part of a snapshot from the peer that was asked.
pub(super) fn take_snapshot(cx: &mut Context<'_>, from: &VmId, body: &str) {
    if cx
        .tables
        .follow
        .ask
        .as_ref()
        .is_none_or(|(vm, _)| vm != from)
    {
        return;
    }
    let Ok(LogRecord::Snapshot(part)) = LogRecord::parse(body) else {
        cx.tables.follow.counters.snapshots_refused += 1;
        return;
    };
    match cx.tables.follow.peer_snapshot.add(part) {
        Ok(None) => {}
        Ok(Some(config)) => {
            answered(cx, from);
            adopt(cx, config);
            // The log may hold another history than the peer.
            cx.tables.follow.verify = true;
            catch_up_soon(cx);
            join::finish(cx);
        }
        Err(_) => cx.tables.follow.counters.snapshots_refused += 1,
    }
}

fn answered(cx: &mut Context<'_>, from: &VmId) {
    let ask = &mut cx.tables.follow.ask;
    if ask.as_ref().is_some_and(|(vm, _)| vm == from) {
        *ask = None;
    }
}

/// Asks another peer, if the one that was asked can't be reached.
pub(super) fn unreachable(cx: &mut Context<'_>, vm: &VmId) {
    if cx
        .tables
        .follow
        .ask
        .as_ref()
        .is_some_and(|(asked, _)| asked == vm)
    {
        cx.tables.follow.ask = None;
        catch_up_soon(cx);
    }
}

/// Waits a moment for records to come by themselves, then asks.
pub(super) fn catch_up_soon(cx: &mut Context<'_>) {
    if !std::mem::replace(&mut cx.tables.follow.catch_up, true) {
        let at = cx.now + cx.cfg.dissemination.catch_up;
        cx.tables.timers.subscribe(at, Timer::CatchUp);
    }
}

/// Asks a peer; runs when the moment has passed.
pub fn catch_up_due(cx: &mut Context<'_>) {
    cx.tables.follow.catch_up = false;
    catch_up(cx);
}

/// Asks one of the peers that hold a newer revision.
pub(super) fn catch_up(cx: &mut Context<'_>) {
    if cx
        .tables
        .follow
        .ask
        .as_ref()
        .is_some_and(|(_, until)| cx.now < *until)
    {
        catch_up_soon(cx);
        return;
    }
    let own = cx.tables.config.revision();
    let members = cx.tables.members.iter();
    let members = members.map(|(vm, row)| (vm, row.said.revision));
    let join = cx.tables.follow.join.iter();
    let joining = join.flat_map(|join| join.heard.iter().map(|(vm, r)| (vm, *r)));
    let newer = members
        .chain(joining)
        .filter(|(_, revision)| *revision > own);
    let Some(peer) = newer.map(|(vm, _)| vm.clone()).choose(cx.rng) else {
        return;
    };
    let until = cx.now + cx.cfg.dissemination.catch_up * ASK_ROUNDS;
    cx.tables.follow.ask = Some((peer.clone(), until));
    send(cx, &peer, ConfigMessage::QueryRecords { from: own });
    catch_up_soon(cx);
}

/// Tells whether this node relies on peers, because the log gives nothing.
pub(super) fn log_is_out(state: LogState) -> bool {
    matches!(
        state,
        LogState::Unreachable | LogState::Shorter | LogState::OtherHistory
    )
}
