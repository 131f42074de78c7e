//! Runs non-idempotent requests at most once; see `docs/design/at-most-once.md`.
//!
//! `home` prepares and ends the requests of this node's own ids, `inquiry`
//! hands those of other homes over and finds out what became of them, and
//! `witness` records for other homes.

mod home;
mod inquiry;
mod issue;
mod reply;
mod witness;

pub use home::{assign_id, record_replies, start};
pub use inquiry::status;
pub use issue::issue_id;

use super::{Context, admission, answer};
use crate::{
    ids::RequestKey,
    message::{Action, Submission},
    once::{ForwardedDemand, IdError, Instance, IssuedId, OnceMessage, Waiter},
    outcome::NotRun,
    peer::{PeerMessage, Sender},
};

/// Bit that marks the numbers of requests which another node handed over.
const FORWARDED_KEYS: u64 = 1 << 63;

/// A subscription of this system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceTimer {
    /// Witnesses of a request of this home have not all answered.
    Witnesses(RequestKey),
    /// The home or the witnesses of a request have not answered.
    Inquiry(RequestKey),
    /// A caller has waited long enough for a request that an earlier try began.
    Waiter {
        /// The home's number of the request.
        number: u64,
        /// The caller's number inside this node.
        key: RequestKey,
    },
}

/// Takes a request at its arrival, before anything else is decided of it.
///
/// Returns it if it goes on here: it may run more than once, it has no id yet,
/// or it is new and this node is its home. Anything that is said of a request which may run
/// elsewhere must come from its home or its witnesses, also when this node
/// would reject it or is not ready. What a node that is not ready returns is
/// rejected by admission; if it is the home, that uses the id up.
pub fn on_submission(
    cx: &mut Context<'_>,
    key: RequestKey,
    mut submission: Submission,
) -> Option<Submission> {
    if admission::is_idempotent(cx, &submission) {
        return Some(submission);
    }
    submission.idempotent = Some(false);
    let Some(id) = submission.id.clone() else {
        return Some(submission);
    };
    match IssuedId::parse(&id, &cx.cfg.once.key) {
        // Whether the request needs a minted id is not known yet.
        Err(_) if !cx.tables.ready => Some(submission),
        Err(refused) => {
            refuse_id(cx, key, refused);
            None
        }
        Ok(issued) if issued.intent.home == own(cx) => {
            let demand = ForwardedDemand::from(&submission.demand);
            let waiter = Waiter::Caller(key);
            let fresh = home::arrive(cx, key, &issued, &submission, &demand, waiter);
            fresh.then_some(submission)
        }
        Ok(issued) => {
            inquiry::submit(cx, key, issued, submission);
            None
        }
    }
}

fn refuse_id(cx: &mut Context<'_>, key: RequestKey, refused: IdError) {
    let message = refused.to_string();
    answer::reject(cx, key, None, NotRun::BadRequest, message);
}

/// Takes a message of another node.
pub fn message(cx: &mut Context<'_>, from: Sender, message: OnceMessage) {
    cx.tables.counters.once_messages += 1;
    let from = Instance::from(from);
    match message {
        OnceMessage::Intend { .. } | OnceMessage::Ended { .. } | OnceMessage::Seal { .. } => {
            witness::message(cx, from, message);
        }
        OnceMessage::IntendAnswered { intent, answer } => {
            home::answered(cx, &from, &intent, answer);
        }
        OnceMessage::Forward {
            correlation_key,
            request,
        } => home::forwarded(cx, from, correlation_key, *request),
        OnceMessage::Query {
            correlation_key,
            id,
        } => home::query(cx, from, correlation_key, id),
        OnceMessage::HomeAnswered {
            correlation_key,
            id,
            answer,
        } => {
            inquiry::home_answered(cx, &from, correlation_key, &id, answer);
        }
        OnceMessage::SealAnswered {
            correlation_key,
            intent,
            answer,
        } => inquiry::seal_answered(cx, &from, correlation_key, &intent, answer),
    }
}

/// Takes note that a node can't be reached.
pub fn unreachable(cx: &mut Context<'_>, vm: &crate::ids::VmId) {
    cx.tables.once.unreachable.insert(vm.clone(), cx.now);
    cx.tables.once.chosen.retain(|witness| witness.vm != *vm);
    home::unreachable(cx, vm);
    inquiry::unreachable(cx, vm);
}

/// Takes note that a caller has gone; returns true if its request goes on
/// without it, so that a retry finds out what became of it.
pub fn caller_gone(cx: &mut Context<'_>, key: RequestKey) -> bool {
    cx.tables.once.inquiries.remove(key).is_some() || cx.tables.once.home.by_key(key).is_some()
}

/// Handles a subscription that is due.
pub fn expire(cx: &mut Context<'_>, timer: OnceTimer) {
    match timer {
        OnceTimer::Witnesses(key) => home::witnesses_due(cx, key),
        OnceTimer::Inquiry(key) => inquiry::due(cx, key),
        OnceTimer::Waiter { number, key } => home::wait_over(cx, number, key),
    }
}

/// Returns this node as other nodes name it.
fn own(cx: &Context<'_>) -> Instance {
    Instance {
        vm: cx.cfg.identity.vm.clone(),
        incarnation: cx.cfg.identity.incarnation,
    }
}

/// Sends a message, unless the VM list names no address for the node.
fn send(cx: &mut Context<'_>, vm: &crate::ids::VmId, message: OnceMessage) -> bool {
    let Some(address) = cx.tables.vms.get(vm).and_then(|vm| vm.peer_address) else {
        return false;
    };
    cx.out.push(Action::Peer {
        to: vm.clone(),
        address,
        message: PeerMessage::Once(message),
    });
    true
}
