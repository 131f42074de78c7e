//! A node that reaches neither the log nor its peers, and the number of nodes
//! that write the same snapshot.

use super::*;

/// A node whose peers are on the VM list but unresponsive, and whose log is
/// unavailable.
pub struct IsolatedNode {
    pub node: Node,
    now: Timestamp,
    /// The round of the last revision query.
    round: u64,
    queries: Vec<VmId>,
}

impl IsolatedNode {
    pub fn new(peers: usize) -> Self {
        let mut isolated = Self {
            node: node(0, 1, 1),
            now: Timestamp::from_millis(10),
            round: 0,
            queries: Vec::new(),
        };
        let mut list = list();
        let first = list.vms[0].clone();
        list.vms = (0..=peers)
            .map(|n| Vm {
                vm: vm(n),
                ..first.clone()
            })
            .collect();
        isolated.handle(Event::Start);
        isolated.handle(Event::VmList(list));
        isolated.handle(Event::ConfigReadFailed);
        isolated
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            if let Action::Peer { to, message, .. } = action
                && let PeerMessage::Config(ConfigMessage::QueryRevision { round }) = message
            {
                self.round = round;
                self.queries.push(to);
            }
        }
    }

    /// Makes the log respond that it is empty.
    pub fn read_log(&mut self) {
        self.handle(Event::ConfigRecords {
            first: 0,
            end: 0,
            records: Vec::new(),
        });
    }

    /// Pauses the process for long enough that it must join again.
    pub fn pause(&mut self) {
        let pause = self.node.configs().dissemination.rejoin_after;
        self.now = self.now + pause + Duration::from_millis(1);
        self.handle(Event::Tick);
    }

    /// Returns the number of queries since the last call.
    pub fn take_query_count(&mut self) -> usize {
        std::mem::take(&mut self.queries).len()
    }

    pub fn advance_round(&mut self) -> usize {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        self.take_query_count()
    }

    /// Makes one of the peers that were queried last respond with its revision.
    pub fn respond(&mut self, revision: u64) {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        let queried = self.queries.first().cloned().expect("a peer was queried");
        let from = Sender {
            vm: queried,
            incarnation: Incarnation(1),
        };
        let message = PeerMessage::Config(ConfigMessage::Revision {
            round: self.round,
            revision: Revision(revision),
        });
        self.queries.clear();
        self.handle(Event::Peer { from, message });
    }
}

/// Simulates `rounds` due snapshots. For each, returns how many of `nodes` nodes
/// write it before they see the one that was written first, which takes 200 ms.
pub fn count_snapshot_writers(nodes: usize, rounds: usize) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(9);
    let spread = Duration::from_secs(30);
    let round = |rng: &mut StdRng| {
        let mut delays: Vec<Duration> = (0..nodes)
            .map(|_| crate::systems::snapshots::write_delay(rng.random(), spread))
            .collect();
        delays.sort();
        let seen = delays[0] + Duration::from_millis(200);
        delays.iter().filter(|delay| **delay < seen).count()
    };
    (0..rounds).map(|_| round(&mut rng)).collect()
}
