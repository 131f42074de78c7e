//! The systems that operate on a node's tables, one module for each.
//!
//! Each system takes the shared [`Context`]; [`dispatch`] routes every event to
//! its system.

pub mod admission;
pub mod answer;
mod backoff;
pub mod calls;
pub mod completion;
pub mod directory;
pub mod dissemination;
pub mod drain;
pub mod export;
pub mod flow;
pub mod health;
mod hedge;
pub mod limits;
pub mod membership;
pub mod once;
pub mod orders;
pub mod platform;
pub mod recovery;
pub mod routing;
pub mod snapshots;
pub mod vm_list;
pub mod watch;

use rand::rngs::StdRng;

use crate::{
    configs::Configs,
    ids::{RequestKey, StepId, VmId},
    message::{Action, Event},
    peer::{PeerMessage, Sender},
    tables::Tables,
    time::Timestamp,
};

/// The state that every system works on.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The node's settings.
    pub cfg: &'a Configs,
    /// The node's tables.
    pub tables: &'a mut Tables,
    /// The source of random choices, seeded by the node's owner.
    pub rng: &'a mut StdRng,
    /// The actions to carry out.
    pub out: &'a mut Vec<Action>,
}

/// The purpose of a timer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestKey),
    /// The next adjustment of the concurrency limits.
    Limits,
    /// The maximum time that a request may be queued.
    QueueTimeout(RequestKey),
    /// The next round of membership probes.
    Heartbeat,
    /// The next check of leases and engines.
    Orders,
    /// The next check of watched engines.
    Watch,
    /// The end of a node's suspicion period.
    Suspicion(VmId),
    /// A timeout of the at-most-once protocol.
    Once(once::OnceTimer),
    /// The time to query a peer for records, unless they have arrived.
    CatchUp,
    /// The end of the time in which peers should report their revisions.
    JoinRound,
    /// The time by which the node should have become ready.
    JoinOverdue,
    /// The next check whether a snapshot is due.
    SnapshotCheck,
    /// The time at which this node writes a snapshot.
    Snapshot,
    /// The next retry or hedge of a call.
    Call(RequestKey),
    /// The timeout of an exchange with an engine, or the end of a backoff.
    Exchange {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
    },
}

/// Routes an event to its system, after all timers that are due.
pub fn dispatch(cx: &mut Context<'_>, event: Event) {
    dissemination::detect_pause(cx);
    // Requests arrive from callers and from peers, so any event may need the
    // current tokens.
    cx.tables.tokens.refresh(&cx.tables.config);
    while let Some(timer) = cx.tables.timers.pop_due(cx.now) {
        expire(cx, timer);
    }
    match event {
        Event::Tick => {}
        Event::Submit { key, submission } => admission::run(cx, key, *submission),
        Event::CallerDisconnected { key } => {
            if !once::caller_gone(cx, key) {
                answer::abandon(cx, key);
            }
        }
        Event::StatusQuery { key, id } => once::status(cx, key, id),
        Event::StepDone { key, step, result } => completion::step_done(cx, key, step, result),
        Event::ImportDone { key, step, result } => completion::import_done(cx, key, step, result),
        Event::ExportDone {
            key,
            session,
            result,
        } => export::export_done(cx, key, &session, result),
        Event::CallDone {
            key,
            attempt,
            result,
        } => calls::attempt_done(cx, key, attempt, result),
        Event::ConfigRecords {
            first,
            end,
            records,
        } => {
            platform::apply_records(cx, first, end, records);
        }
        Event::ChunksRead { key, chunks } => flow::parts_read(cx, key, chunks),
        Event::ConfigReadFailed => dissemination::log_read_failed(cx),
        Event::LeaseRecords {
            first,
            end,
            records,
        } => orders::apply_lease_records(cx, first, end, &records),
        Event::HoldingsRead { vm, held } => orders::apply_engine_state(cx, &vm, held),
        Event::WatchedRead {
            vm,
            address,
            reading,
        } => watch::apply_reading(cx, &vm, address, reading),
        Event::VmList(list) => vm_list::apply_read(cx, list),
        Event::VmListUnchanged => vm_list::apply_unchanged_read(cx),
        Event::Peer { from, message } if membership::accepts(cx, &from) => {
            let vm = from.vm.clone();
            peer_message(cx, from, message);
            dissemination::check_peer_revision(cx, &vm);
        }
        // Messages of ended incarnations are ignored.
        Event::Peer { .. } => {}
        Event::PeerUnreachable { vm } => {
            once::unreachable(cx, &vm);
            dissemination::peer_unreachable(cx, &vm);
            vm_list::peer_unreachable(cx, &vm);
        }
        Event::Start => {
            membership::round(cx);
            orders::start(cx);
            watch::start(cx);
            dissemination::start(cx);
            snapshots::start(cx);
            limits::tick(cx);
        }
        Event::Drain => {
            drain::start(cx);
            membership::announce(cx);
        }
    }
    limits::run_waiting(cx);
    once::record_replies(cx);
}

fn peer_message(cx: &mut Context<'_>, from: Sender, message: PeerMessage) {
    match message {
        PeerMessage::Gossip(gossip) => membership::apply_gossip(cx, &from, gossip),
        PeerMessage::Once(message) => once::message(cx, from, message),
        PeerMessage::Config(message) => dissemination::handle_message(cx, &from.vm, message),
        PeerMessage::Watch(message) => watch::apply_message(cx, &message),
        PeerMessage::Vms(message) => vm_list::apply_message(cx, &from, message),
    }
}

fn expire(cx: &mut Context<'_>, timer: Timer) {
    match timer {
        Timer::Heartbeat => {
            membership::round(cx);
            vm_list::round(cx);
        }
        Timer::Orders => orders::run_round(cx),
        Timer::Watch => watch::round(cx),
        Timer::Suspicion(vm) => membership::suspicion_expired(cx, &vm),
        Timer::Once(timer) => once::expire(cx, timer),
        Timer::CatchUp => dissemination::run_catch_up(cx),
        Timer::JoinRound => dissemination::end_join_round(cx),
        Timer::JoinOverdue => dissemination::report_overdue_join(cx),
        Timer::SnapshotCheck => snapshots::check(cx),
        Timer::Snapshot => snapshots::write(cx),
        Timer::Deadline(key) => answer::deadline_passed(cx, key),
        Timer::Limits => limits::tick(cx),
        Timer::QueueTimeout(key) => limits::queue_timeout(cx, key),
        Timer::Call(key) => calls::timer_due(cx, key),
        Timer::Exchange { key, step } => completion::exchange_due(cx, key, step),
    }
}
