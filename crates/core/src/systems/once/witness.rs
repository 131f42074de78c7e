//! Records intents and seals ids as a witness of other homes.

use super::{own_instance, send};
use crate::{
    ids::Incarnation,
    once::{Instance, IntendAnswer, OnceMessage, SealAnswer},
    systems::Context,
};

/// Handles a message that addresses this node as a witness.
pub fn message(cx: &mut Context<'_>, from: Instance, message: OnceMessage) {
    let cfg = &cx.cfg.once;
    let (retention, max) = (cfg.outcome_retention, cfg.max_witnessed as usize);
    cx.tables.once.witness.drop_old(cx.now, retention, max);
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

/// Returns whether this process is the witness that an id names. After a
/// restart it is not: the records and seals are only in memory.
fn is_named(cx: &Context<'_>, witness: Incarnation) -> bool {
    own_instance(cx).incarnation == witness
}
