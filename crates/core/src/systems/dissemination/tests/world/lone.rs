//! One node without a log or peers that answer, and the wait before a
//! snapshot.

use super::*;

/// One node whose peers are on the VM list and whose log is out.
pub struct Lone {
    pub node: Node,
    now: Timestamp,
    /// The number of the last question.
    round: u64,
    questions: Vec<VmId>,
}

impl Lone {
    pub fn new(peers: usize) -> Self {
        let mut lone = Self {
            node: node(0, 1, 1),
            now: Timestamp::from_millis(10),
            round: 0,
            questions: Vec::new(),
        };
        let mut list = list();
        let first = list.vms[0].clone();
        list.vms = (0..=peers)
            .map(|n| Vm {
                vm: vm(n),
                ..first.clone()
            })
            .collect();
        lone.handle(Event::Start);
        lone.handle(Event::VmList(list));
        lone.handle(Event::ConfigReadFailed);
        lone
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(self.now, event) {
            if let Action::Peer { to, message, .. } = action
                && let PeerMessage::Config(ConfigMessage::QueryRevision { round }) = message
            {
                self.round = round;
                self.questions.push(to);
            }
        }
    }

    /// Lets the log answer that it is empty.
    pub fn read_log(&mut self) {
        self.handle(Event::ConfigRecords {
            first: 0,
            end: 0,
            records: Vec::new(),
        });
    }

    /// Stops the process for longer than it may go on without asking.
    pub fn pause(&mut self) {
        let pause = self.node.configs().dissemination.rejoin_after;
        self.now = self.now + pause + Duration::from_millis(1);
        self.handle(Event::Tick);
    }

    /// Returns the number of questions since it was called last.
    pub fn asked(&mut self) -> usize {
        std::mem::take(&mut self.questions).len()
    }

    pub fn pass_a_round(&mut self) -> usize {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        self.asked()
    }

    /// Lets one of the peers that were asked last say its revision.
    pub fn answer(&mut self, revision: u64) {
        self.now = self.now + self.node.configs().dissemination.join_wait;
        self.handle(Event::Tick);
        let asked = self.questions.first().cloned().expect("a question");
        let from = Sender {
            vm: asked,
            incarnation: Incarnation(1),
        };
        let message = PeerMessage::Config(ConfigMessage::Revision {
            round: self.round,
            revision: Revision(revision),
        });
        self.questions.clear();
        self.handle(Event::Peer { from, message });
    }
}

/// Draws, for each of `rounds` due snapshots, how many of `nodes` nodes write
/// before they see the first one, if that takes 200 ms.
pub fn snapshot_waits(nodes: usize, rounds: usize) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(9);
    let spread = Duration::from_secs(30);
    let round = |rng: &mut StdRng| {
        let mut waits: Vec<Duration> = (0..nodes)
            .map(|_| crate::systems::snapshots::write_delay(rng.random(), spread))
            .collect();
        waits.sort();
        let seen = waits[0] + Duration::from_millis(200);
        waits.iter().filter(|wait| **wait < seen).count()
    };
    (0..rounds).map(|_| round(&mut rng)).collect()
}
