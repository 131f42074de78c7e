//! Records intents and seals ids for other homes.

use super::{own, send};
use crate::{
    ids::Incarnation,
    once::{Instance, IntendAnswer, OnceMessage, SealAnswer},
    systems::Context,
};

/// Takes a message to this node as a witness.
pub fn message(cx: &mut Context<'_>, from: Instance, message: OnceMessage) {
    let cfg = &cx.cfg.once;
    let (remember, max) = (cfg.remember, cfg.max_witnessed as usize);
    cx.tables.once.witness.forget(cx.now, remember, max);
    match message {
        OnceMessage::Intend { intent, witness } => {
            if from != intent.home {
                return;
            }
            let answer = if is_named(cx, witness) {
                cx.tables.once.witness.intend(cx.now, &intent)
            } else {
                IntendAnswer::OtherIncarnation
            };
            send(cx, &from.vm, OnceMessage::IntendAnswered { intent, answer });
        }
        OnceMessage::Seal {
            correlation_key,
            intent,
            witness,
        } => {
            let answer = if is_named(cx, witness) {
                cx.tables.once.witness.seal(cx.now, &intent)
            } else {
                SealAnswer::OtherIncarnation
            };
            let message = OnceMessage::SealAnswered {
                correlation_key,
                intent,
                answer,
            };
            send(cx, &from.vm, message);
        }
        OnceMessage::Ended {
            intent,
            witness,
            recorded,
        } if from == intent.home && is_named(cx, witness) => {
            cx.tables.once.witness.ended(&intent, recorded);
        }
        _ => {}
    }
}

/// Tells whether this process is the instance that an id names; a restarted
/// witness has forgotten what it recorded and sealed.
fn is_named(cx: &Context<'_>, witness: Incarnation) -> bool {
    own(cx).incarnation == witness
}
