//! The systems that run over a node's tables, one file for each.
//!
//! Each has one entry function that takes the shared [`Context`], and
//! [`dispatch`] says which system takes which event.

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

/// What every system works on.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The node's settings.
    pub cfg: &'a Configs,
    /// The node's tables.
    pub tables: &'a mut Tables,
    /// Source of random choices, seeded by the node's owner.
    pub rng: &'a mut StdRng,
    /// What is to be done.
    pub out: &'a mut Vec<Action>,
}

/// What a subscription to a moment stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Timer {
    /// A request's deadline.
    Deadline(RequestKey),
    /// The next adjustment of the limits.
    Limits,
    /// The end of the time that a request may wait for room.
    Waiting(RequestKey),
    /// The next round of membership's probes.
    Heartbeat,
    /// The next look at leases and engines.
    Orders,
    /// The next look at watched engines.
    Watch,
    /// The end of the time for which a node may be suspect.
    Suspicion(VmId),
    /// A question for running a request at most once.
    Once(once::OnceTimer),
    /// The moment to ask a peer for records, if they did not come.
    CatchUp,
    /// The end of the time in which peers should say their revisions.
    JoinRound,
    /// The end of the time within which the node should have become ready.
    JoinOverdue,
    /// The next look at whether a snapshot is due.
    SnapshotCheck,
    /// This node's turn to write a snapshot.
    Snapshot,
    /// The next retry or hedge of a call.
    Call(RequestKey),
    /// The bound on an exchange with an engine, or the end of a wait.
    Exchange {
        /// The request.
        key: RequestKey,
        /// The exchange.
        step: StepId,
    },
}

/// Hands an event to the system that takes it, after all due subscriptions.
pub fn dispatch(cx: &mut Context<'_>, event: Event) {
    dissemination::wake(cx);
    // Requests arrive from callers and from peers, so every event needs the tokens.
    cx.tables.tokens.refresh(&cx.tables.config);
    while let Some(timer) = cx.tables.timers.pop_due(cx.now) {
        expire(cx, timer);
    }
    match event {
        Event::Tick => {}
        Event::Submit { key, submission } => admission::run(cx, key, *submission),
        Event::CallerGone { key } => {
            if !once::caller_gone(cx, key) {
                answer::abandon(cx, key);
            }
        }
        Event::Inquire { key, id } => once::status(cx, key, id),
        Event::StepDone { key, step, result } => completion::step_done(cx, key, step, result),
        Event::ImportDone { key, step, result } => completion::import_done(cx, key, step, result),
        Event::ExportDone {
            key,
            session,
            result,
        } => export::done(cx, key, &session, result),
        Event::CallDone {
            key,
            attempt,
            result,
        } => calls::done(cx, key, attempt, result),
        Event::ConfigRecords {
            first,
            end,
            records,
        } => {
            platform::apply_records(cx, first, end, records);
        }
        Event::Taken { key, parts } => flow::taken(cx, key, parts),
        Event::ConfigReadFailed => dissemination::read_failed(cx),
        Event::LeaseRecords {
            first,
            end,
            records,
        } => orders::records(cx, first, end, &records),
        Event::Held { vm, held } => orders::held(cx, &vm, held),
        Event::Watched {
            vm,
            address,
            reading,
        } => watch::apply_reading(cx, &vm, address, reading),
        Event::VmList(list) => vm_list::apply_read(cx, list),
        Event::VmListSame => vm_list::apply_unchanged_read(cx),
        Event::Peer { from, message } if membership::accepts(cx, &from) => {
            let vm = from.vm.clone();
            peer_message(cx, from, message);
            dissemination::heard(cx, &vm);
        }
        // A message of an ended life.
        Event::Peer { .. } => {}
        Event::PeerUnreachable { vm } => {
            once::unreachable(cx, &vm);
            dissemination::unreachable(cx, &vm);
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
            drain::run(cx);
            membership::announce(cx);
        }
    }
    limits::pump(cx);
    once::deliver(cx);
}

fn peer_message(cx: &mut Context<'_>, from: Sender, message: PeerMessage) {
    match message {
        PeerMessage::Gossip(gossip) => membership::apply_gossip(cx, &from, gossip),
        PeerMessage::Once(message) => once::message(cx, from, message),
        PeerMessage::Config(message) => dissemination::message(cx, &from.vm, message),
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
        Timer::Orders => orders::round(cx),
        Timer::Watch => watch::round(cx),
        Timer::Suspicion(vm) => membership::suspicion_expired(cx, &vm),
        Timer::Once(timer) => once::expire(cx, timer),
        Timer::CatchUp => dissemination::catch_up_due(cx),
        Timer::JoinRound => dissemination::join_round(cx),
        Timer::JoinOverdue => dissemination::join_overdue(cx),
        Timer::SnapshotCheck => snapshots::check(cx),
        Timer::Snapshot => snapshots::write(cx),
        Timer::Deadline(key) => answer::deadline(cx, key),
        Timer::Limits => limits::tick(cx),
        Timer::Waiting(key) => limits::waited(cx, key),
        Timer::Call(key) => calls::due(cx, key),
        Timer::Exchange { key, step } => completion::exchange_due(cx, key, step),
    }
}
