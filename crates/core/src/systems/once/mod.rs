//! Runs non-idempotent requests at most once; see `docs/design/at-most-once.md`.
//!
//! `issue` issues ids and chooses their witnesses. `home` prepares, dispatches
//! and ends requests whose home is this node. `inquiry` forwards requests to
//! other homes and finds out their outcome. `witness` records intents and seals
//! for other homes. `reply` sends the outcome to callers.

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

/// The bit that is set in the keys of requests that another node forwarded.
const FORWARDED_KEY_BIT: u64 = 1 << 63;

/// A timer of this system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceTimer {
    /// Sends the intent of a request again to witnesses that have not answered.
    Witnesses(RequestKey),
    /// Queries the home or the witnesses of a request again.
    Inquiry(RequestKey),
    /// Ends the wait of a caller for a request that an earlier attempt started.
    Waiter {
        /// The number of the request's id at its home.
        number: u64,
        /// The key of the waiting caller inside this node.
        key: RequestKey,
    },
}

/// Handles a submitted request before admission.
///
/// Returns the request if admission decides on it at this node: the request is
/// idempotent, it has no id yet, or it is new and this node is its home. Only
/// the home or the witnesses may answer for a request that can run elsewhere,
/// even if this node would reject it or is not ready. Admission rejects every
/// returned request while the node is not ready; at the home of the request,
/// this also uses up the id.
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
        // A node that is not ready can't decide whether the request needs an issued
        // id.
        Err(_) if !cx.tables.ready => Some(submission),
        Err(error) => {
            reject_id(cx, key, error);
            None
        }
        Ok(issued) if issued.intent.home == own_instance(cx) => {
            let demand = ForwardedDemand::from(&submission.demand);
            let waiter = Waiter::Caller(key);
            let is_new = home::register(cx, key, &issued, &submission, &demand, waiter);
            is_new.then_some(submission)
        }
        Ok(issued) => {
            inquiry::submit(cx, key, issued, submission);
            None
        }
    }
}

fn reject_id(cx: &mut Context<'_>, key: RequestKey, error: IdError) {
    let message = error.to_string();
    answer::reject(cx, key, None, NotRun::BadRequest, message);
}

/// Handles a message from another node.
pub fn message(cx: &mut Context<'_>, from: Sender, message: OnceMessage) {
    cx.tables.counters.once_messages += 1;
    let from = Instance::from(from);
    match message {
        OnceMessage::Intend { .. } | OnceMessage::Ended { .. } | OnceMessage::Seal { .. } => {
            witness::message(cx, from, message);
        }
        OnceMessage::IntendAnswered { intent, answer } => {
            home::intent_answered(cx, &from, &intent, answer);
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

/// Handles the event that a node can't be reached.
pub fn unreachable(cx: &mut Context<'_>, vm: &crate::ids::VmId) {
    cx.tables.once.unreachable.insert(vm.clone(), cx.now);
    cx.tables.once.chosen.retain(|witness| witness.vm != *vm);
    home::unreachable(cx, vm);
    inquiry::unreachable(cx, vm);
}

/// Handles the disconnect of a caller. Returns true if its request goes on
/// without it, which lets a retry find out the outcome.
pub fn caller_gone(cx: &mut Context<'_>, key: RequestKey) -> bool {
    cx.tables.once.inquiries.remove(key).is_some() || cx.tables.once.home.by_key(key).is_some()
}

/// Handles a timer that is due.
pub fn expire(cx: &mut Context<'_>, timer: OnceTimer) {
    match timer {
        OnceTimer::Witnesses(key) => home::witnesses_due(cx, key),
        OnceTimer::Inquiry(key) => inquiry::due(cx, key),
        OnceTimer::Waiter { number, key } => home::waiter_due(cx, number, key),
    }
}

/// Returns the instance of this node.
fn own_instance(cx: &Context<'_>) -> Instance {
    Instance {
        vm: cx.cfg.identity.vm.clone(),
        incarnation: cx.cfg.identity.incarnation,
    }
}

/// Sends a message to a node. Returns false if the VM list has no address of it.
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
