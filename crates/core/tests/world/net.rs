//! Faults and delays of the network and of the service.

use std::time::Duration;

use radishhaven_core::{
    ids::{Incarnation, VmId},
    message::{AttemptError, Event},
    peer::{PeerMessage, Sender},
};
use rand::Rng;

use super::{Call, NODES, ScheduledEvent, World, result, setup};

/// Probability of each fault, in units of 1/256.
#[derive(Debug, Clone, Copy)]
pub struct FaultRates {
    pub lost: u8,
    pub delayed: u8,
    pub duplicated: u8,
    pub answer_lost: u8,
    pub not_sent: u8,
}

impl World {
    pub(super) fn draw_fault(&mut self, rate: u8) -> bool {
        self.rng.random::<u8>() < rate
    }

    pub(super) fn delay(&mut self) -> Duration {
        let delayed = self.rates.delayed;
        if self.draw_fault(delayed) {
            return Duration::from_millis(self.rng.random_range(50..2_500));
        }
        Duration::from_micros(self.rng.random_range(100..3_000))
    }

    /// Cuts the connection between two nodes for a while.
    pub fn partition(&mut self, a: usize, b: usize, time: Duration) {
        let until = self.now + time;
        self.partitions.insert((a.min(b), a.max(b)), until);
    }

    pub(super) fn send_to_peer(
        &mut self,
        n: usize,
        incarnation: Incarnation,
        to: &VmId,
        message: PeerMessage,
    ) {
        let Some(m) = (0..NODES).find(|&m| setup::vm(m) == *to) else {
            return;
        };
        let partition = self.partitions.get(&(n.min(m), n.max(m)));
        let is_partitioned = partition.is_some_and(|until| *until > self.now);
        if is_partitioned || self.processes[m].is_none() {
            if self.rng.random_ratio(1, 2) {
                let event = Event::PeerUnreachable { vm: to.clone() };
                let at = self.now + Duration::from_millis(5);
                self.schedule(at, ScheduledEvent::ToProcess(n, incarnation, event));
            }
            return;
        }
        let heartbeat = matches!(message, PeerMessage::Gossip(_));
        let (lost, duplicated) = (self.rates.lost, self.rates.duplicated);
        if !heartbeat && self.draw_fault(lost) {
            return;
        }
        let copies = if self.draw_fault(duplicated) { 2 } else { 1 };
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
            self.schedule(at, ScheduledEvent::ToNode(m, event));
        }
    }

    pub(super) fn send_call(&mut self, call: Call) {
        let not_sent = self.rates.not_sent;
        if self.draw_fault(not_sent) {
            return self.end_call(&call, Err(AttemptError::NotSent));
        }
        let at = self.now + self.delay();
        self.schedule(at, ScheduledEvent::Call(call));
    }

    /// Runs a call that has reached the service. Each such call counts as a start.
    pub(super) fn run_call(&mut self, call: Call) {
        let starts = self.observed.starts.entry(call.id.clone()).or_default();
        *starts += 1;
        let run = *starts;
        let answer_lost = self.rates.answer_lost;
        let answer = if self.draw_fault(answer_lost) {
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
        self.schedule(
            at,
            ScheduledEvent::ToProcess(call.node, call.incarnation, event),
        );
    }
}
