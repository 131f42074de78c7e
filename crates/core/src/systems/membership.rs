//! Lets nodes hear of each other.

use super::{Context, Timer};
use crate::{
    message::Action,
    peer::{Heartbeat, Sender},
    platform::Vm,
    tables::MemberRow,
};

/// Sends heartbeats and subscribes to the next round; runs at the first event
/// and at each round after.
pub fn round(cx: &mut Context<'_>) {
    let next = cx.now + cx.cfg.membership.heartbeat;
    cx.tables.timers.subscribe(next, Timer::Heartbeat);
    let said = Heartbeat {
        revision: cx.tables.config.revision(),
        digest: cx.tables.config.digest().short(),
        draining: cx.tables.draining.is_some(),
        open_requests: u32::try_from(cx.tables.requests.len()).unwrap_or(u32::MAX),
    };
    let own = &cx.cfg.identity.vm;
    let send = |vm: &Vm| {
        let address = vm.peer_address?;
        let message = crate::peer::PeerMessage::Heartbeat(said.clone());
        Some(Action::Peer {
            to: vm.vm.clone(),
            address,
            message,
        })
    };
    let others = cx.tables.vms.nodes().filter(|vm| vm.vm != *own);
    cx.out.extend(others.filter_map(send));
}

/// Takes in a heartbeat.
pub fn heard(cx: &mut Context<'_>, from: Sender, said: Heartbeat) {
    let row = MemberRow {
        incarnation: from.incarnation,
        heard: cx.now,
        said,
    };
    cx.tables.members.heard(from.vm, row);
}
