//! What the network and the service do to messages and calls.

use std::time::Duration;

use radishhaven_core::{
    ids::{Incarnation, VmId},
    message::{AttemptError, Event},
    peer::{PeerMessage, Sender},
};
use rand::Rng;

use super::{Call, Happening, NODES, World, result, setup};

/// How often faults strike, out of 256.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    pub lost: u8,
    pub late: u8,
    pub doubled: u8,
    pub answer_lost: u8,
    pub not_sent: u8,
}

impl World {
    pub(super) fn strikes(&mut self, rate: u8) -> bool {
        self.rng.random::<u8>() < rate
    }

    pub(super) fn delay(&mut self) -> Duration {
        let late = self.rates.late;
        if self.strikes(late) {
            return Duration::from_millis(self.rng.random_range(50..2_500));
        }
        Duration::from_micros(self.rng.random_range(100..3_000))
    }

    /// Cuts the link between two nodes for a while.
    pub fn cut(&mut self, a: usize, b: usize, time: Duration) {
        let until = self.now + time;
        self.cuts.insert((a.min(b), a.max(b)), until);
    }

    pub(super) fn carry(
        &mut self,
        n: usize,
        incarnation: Incarnation,
        to: &VmId,
        message: PeerMessage,
    ) {
        let Some(m) = (0..NODES).find(|&m| setup::vm(m) == *to) else {
            return;
        };
        let cut = self.cuts.get(&(n.min(m), n.max(m)));
        let is_cut = cut.is_some_and(|until| *until > self.now);
        if is_cut || self.processes[m].is_none() {
            if self.rng.random_ratio(1, 2) {
                let event = Event::PeerUnreachable { vm: to.clone() };
                let at = self.now + Duration::from_millis(5);
                self.schedule(at, Happening::ToProcess(n, incarnation, event));
            }
            return;
        }
        let heartbeat = matches!(message, PeerMessage::Gossip(_));
        let (lost, doubled) = (self.rates.lost, self.rates.doubled);
        if !heartbeat && self.strikes(lost) {
            return;
        }
        let copies = if self.strikes(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let from = Sender {
                vm: setup::vm(n),
                incarnation,
            };
            let event = Event::Peer {
                from,
                message: message.clone(),
            };
            let at = self.now + self.delay();
            self.schedule(at, Happening::ToNode(m, event));
        }
    }

    pub(super) fn carry_call(&mut self, call: Call) {
        let not_sent = self.rates.not_sent;
        if self.strikes(not_sent) {
            return self.end_call(&call, Err(AttemptError::NotSent));
        }
        let at = self.now + self.delay();
        self.schedule(at, Happening::Call(call));
    }

    /// The service starts a call that reaches it, each time.
    pub(super) fn serve(&mut self, call: Call) {
        let runs = self.seen.runs.entry(call.id.clone()).or_default();
        *runs += 1;
        let run = *runs;
        let answer_lost = self.rates.answer_lost;
        let answer = if self.strikes(answer_lost) {
            Err(AttemptError::Lost)
        } else {
            result(&call.id, run)
        };
        self.end_call(&call, answer);
    }

    fn end_call(&mut self, call: &Call, result: Result<serde_json::Value, AttemptError>) {
        let event = Event::CallDone {
            key: call.key,
            attempt: call.attempt,
            result,
        };
        let at = self.now + self.delay();
        self.schedule(at, Happening::ToProcess(call.node, call.incarnation, event));
    }
}
