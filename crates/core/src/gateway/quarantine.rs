//! Keeps prompts that crash engines away from them.
//!
//! A part of a prompt may crash each engine that begins to answer it. A node sees
//! that an engine crashed while a request had no event yet; the request may as well
//! be a bystander. A part is quarantined when two engines crashed on requests with
//! it and no request with it was answered meanwhile. The nodes exchange what they
//! have seen, since requests with the part come to all of them. See
//! `docs/design/quarantine.md`.

mod evidence;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use self::evidence::Evidence;
use super::{notices::Incarnation, peers::NodeReport, prompt::PromptPart, state::Gateway};
use crate::{ids::VmId, time::Timestamp};

/// Crashes on requests with a part after which it is quarantined.
const MIN_CRASHES: u32 = 2;
/// The same for a part that was answered before. It is the likelier bystander of
/// a part beside it.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Time for which an answer speaks for the parts of its prompt.
const ANSWERED_TIME: Duration = Duration::from_secs(60);
/// Time for which a crash speaks against the parts of a prompt.
const CRASH_TIME: Duration = Duration::from_secs(60);
/// Duration of a quarantine after [`MIN_CRASHES`]. It doubles with each further
/// crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Maximum number of parts of which it is known when they were last answered.
const MAX_ANSWERED_PARTS: usize = 8_192;
/// Maximum number of suspect requests that a node keeps, and that a report
/// contains.
const MAX_SUSPECTS: usize = 24;
/// Maximum number of quarantined parts.
const MAX_QUARANTINED: usize = 64;

/// A request that had no event when an engine of its path crashed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// The engine.
    pub engine: VmId,
    /// The run of the engine that ended.
    pub incarnation: Incarnation,
    /// The parts of the prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

/// What a node reports to its peers about parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// Requests that may have crashed their engines.
    pub suspects: Vec<Suspect>,
    /// Milliseconds since a request with the part was answered, for each part
    /// that is under suspicion.
    pub answered: BTreeMap<PromptPart, u64>,
    /// The quarantined parts.
    pub quarantined: BTreeMap<PromptPart, ReportedQuarantine>,
}

/// A quarantine in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedQuarantine {
    /// Milliseconds until it ends.
    pub left_ms: u64,
    /// Number of engines that crashed on requests with the part.
    pub crashes: u32,
}

/// The quarantine of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quarantined {
    /// When it ends.
    pub until: Timestamp,
    /// Number of engines that crashed on requests with the part.
    pub crashes: u32,
}

impl Quarantined {
    fn new(now: Timestamp, crashes: u32) -> Self {
        let doublings = crashes.saturating_sub(MIN_CRASHES).min(8);
        let time = QUARANTINE_TIME * 2_u32.pow(doublings);
        let until = now + time.min(MAX_QUARANTINE_TIME);
        Self { until, crashes }
    }
}

/// A part of a prompt that has been put under quarantine or released from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The part.
    pub part: PromptPart,
    /// Its quarantine, or `None` if it was released.
    pub quarantined: Option<Quarantined>,
}

/// The parts of prompts that crash engines, and the evidence for and against.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When a request with the part was last answered, at this node or at a peer
    /// that reported it.
    answered: BTreeMap<PromptPart, Timestamp>,
    /// Suspect requests of this node, with the time of the crash.
    suspects: VecDeque<(Timestamp, Suspect)>,
    quarantined: BTreeMap<PromptPart, Quarantined>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    fn record_answered(&mut self, now: Timestamp, parts: &[PromptPart]) {
        for part in parts {
            self.answered.insert(*part, now);
        }
        self.limit_answered(now);
    }

    fn limit_answered(&mut self, now: Timestamp) {
        if self.answered.len() > MAX_ANSWERED_PARTS {
            self.answered
                .retain(|_, at| now.since(*at) < ANSWERED_TIME / 2);
        }
        while self.answered.len() > MAX_ANSWERED_PARTS {
            self.answered.pop_first();
        }
    }

    /// Keeps a suspect request. If there are too many, those are dropped first whose
    /// parts were all answered lately.
    fn record_suspect(&mut self, now: Timestamp, suspect: Suspect) {
        if self.suspects.iter().any(|(_, known)| *known == suspect) {
            return;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            let is_cleared = |(_, suspect): &(Timestamp, Suspect)| self.is_cleared(now, suspect);
            let cleared = self.suspects.iter().position(is_cleared);
            self.suspects.remove(cleared.unwrap_or_default());
        }
        self.suspects.push_back((now, suspect));
    }

    fn is_cleared(&self, now: Timestamp, suspect: &Suspect) -> bool {
        let mut parts = suspect.parts.iter();
        parts.all(|part| self.last_answered(now, *part).is_some())
    }

    /// Returns when a part was last answered, if that still speaks for it.
    fn last_answered(&self, now: Timestamp, part: PromptPart) -> Option<Timestamp> {
        let answered = self.answered.get(&part).copied();
        answered.filter(|at| now.since(*at) < ANSWERED_TIME)
    }

    /// Records what a peer has reported about answers. They are kept, because the
    /// peer reports them only while the part is under suspicion.
    fn record_peer_answers(&mut self, now: Timestamp, answered: &BTreeMap<PromptPart, u64>) {
        for (part, age_ms) in answered {
            let at = now - Duration::from_millis(*age_ms);
            let known = self.answered.entry(*part).or_insert(at);
            *known = at.max(*known);
        }
        self.limit_answered(now);
    }

    fn expire(&mut self, now: Timestamp) {
        self.suspects.retain(|(at, _)| now.since(*at) < CRASH_TIME);
        self.quarantined.retain(|_, quarantined| {
            // The next crash renews the quarantine at once.
            now < quarantined.until + CRASH_TIME
        });
    }

    /// Puts a part under quarantine, or extends its quarantine. If there are too
    /// many already, it is left out.
    fn insert(&mut self, part: PromptPart, quarantined: Quarantined) {
        let is_full = self.quarantined.len() >= MAX_QUARANTINED;
        if is_full && !self.quarantined.contains_key(&part) {
            return;
        }
        let previous = self.quarantined.insert(part, quarantined);
        if previous.is_none_or(|previous| previous.crashes < quarantined.crashes) {
            self.changes.push(QuarantineChange {
                part,
                quarantined: Some(quarantined),
            });
        }
    }

    fn release(&mut self, part: PromptPart) {
        if self.quarantined.remove(&part).is_some() {
            self.changes.push(QuarantineChange {
                part,
                quarantined: None,
            });
        }
    }
}

impl Gateway {
    /// Records that a request with these parts of a prompt was answered, or that its
    /// answer is under way.
    pub fn record_prompt_answered(&mut self, now: Timestamp, parts: &[PromptPart]) {
        self.quarantine.record_answered(now, parts);
        if parts
            .iter()
            .any(|part| self.quarantine.quarantined.contains_key(part))
        {
            self.review_quarantine(now);
        }
    }

    /// Records that an engine crashed before the first event of a request on whose
    /// path it was.
    pub fn record_prompt_crash(&mut self, now: Timestamp, engine: &VmId, parts: &[PromptPart]) {
        let Some(row) = self.servers.get(engine) else {
            return;
        };
        let suspect = Suspect {
            engine: engine.clone(),
            incarnation: Incarnation::from(&row.entry),
            parts: parts.to_vec(),
            age_ms: 0,
        };
        self.quarantine.record_suspect(now, suspect);
        self.review_quarantine(now);
    }

    /// Returns whether this node has recorded a crash of the engine's current run.
    pub fn has_crashed(&self, engine: &VmId) -> bool {
        let Some(row) = self.servers.get(engine) else {
            return false;
        };
        let incarnation = Incarnation::from(&row.entry);
        let mut suspects = self.quarantine.suspects.iter();
        suspects.any(|(_, s)| s.engine == *engine && s.incarnation == incarnation)
    }

    /// Returns the time until requests with these parts may reach engines again, or
    /// `None` if they may now.
    pub fn quarantine_left(&self, now: Timestamp, parts: &[PromptPart]) -> Option<Duration> {
        let quarantined = parts
            .iter()
            .filter_map(|part| self.quarantine.quarantined.get(part));
        let until = quarantined.map(|quarantined| quarantined.until).max()?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the quarantined parts.
    pub fn quarantined_parts(&self) -> &BTreeMap<PromptPart, Quarantined> {
        &self.quarantine.quarantined
    }

    /// Returns the changes of the quarantine since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.quarantine.changes)
    }

    /// Returns this node's report about parts of prompts, with the evidence of the
    /// reports that it covers and the time at which each was received.
    pub(super) fn prompt_report(
        &self,
        now: Timestamp,
        covered: &[(Timestamp, &NodeReport)],
    ) -> PromptReport {
        let quarantined = self.quarantine.quarantined.iter();
        let quarantined = quarantined.filter(|(_, quarantined)| now < quarantined.until);
        let quarantined = quarantined.map(|(part, quarantined)| {
            let reported = ReportedQuarantine {
                left_ms: quarantined.until.since(now).as_millis() as u64,
                crashes: quarantined.crashes,
            };
            (*part, reported)
        });
        PromptReport {
            suspects: self.reported_suspects(now, covered),
            answered: self.reported_answers(now),
            quarantined: quarantined.collect(),
        }
    }

    fn reported_suspects(
        &self,
        now: Timestamp,
        covered: &[(Timestamp, &NodeReport)],
    ) -> Vec<Suspect> {
        let own = self.quarantine.suspects.iter();
        let own = own.map(|(at, suspect)| (now.since(*at), suspect));
        let of_peers = covered.iter().flat_map(|(received_at, report)| {
            let transit = now.since(*received_at);
            let suspects = report.prompts.suspects.iter();
            suspects.map(move |suspect| (transit, suspect))
        });
        let mut suspects: Vec<Suspect> = own
            .chain(of_peers)
            .map(|(age, suspect)| Suspect {
                age_ms: suspect.age_ms + age.as_millis() as u64,
                ..suspect.clone()
            })
            .collect();
        suspects.sort_by_key(|s| (self.quarantine.is_cleared(now, s), s.age_ms));
        suspects.truncate(MAX_SUSPECTS);
        suspects
    }

    fn reported_answers(&self, now: Timestamp) -> BTreeMap<PromptPart, u64> {
        let parts = self.suspect_parts().into_iter();
        let answered = parts.filter_map(|part| {
            let age = now.since(self.quarantine.last_answered(now, part)?);
            Some((part, age.as_millis() as u64))
        });
        answered.collect()
    }

    /// Returns the parts for which it matters whether they were answered.
    fn suspect_parts(&self) -> BTreeSet<PromptPart> {
        let own = self.quarantine.suspects.iter();
        let own = own.flat_map(|(_, suspect)| &suspect.parts);
        let of_peers = self.peers.values().flat_map(|peer| {
            let prompts = &peer.report().prompts;
            let suspects = prompts.suspects.iter();
            let parts = suspects.flat_map(|suspect| &suspect.parts);
            parts.chain(prompts.quarantined.keys())
        });
        let quarantined = self.quarantine.quarantined.keys();
        own.chain(of_peers).chain(quarantined).copied().collect()
    }

    /// Collects the evidence of this node and of the recent reports.
    fn evidence(&self, now: Timestamp) -> Evidence {
        let mut evidence = Evidence::default();
        let own = self.quarantine.suspects.iter();
        let own = own.map(|(at, suspect)| (*at, suspect));
        let of_peers = self.fresh_reports(now).flat_map(|(received_at, report)| {
            let suspects = report.prompts.suspects.iter();
            suspects.map(move |s| (received_at - Duration::from_millis(s.age_ms), s))
        });
        for (at, suspect) in own.chain(of_peers) {
            evidence.record_crash(at, suspect);
        }
        for part in evidence.parts() {
            if let Some(at) = self.quarantine.last_answered(now, part) {
                evidence.answered.insert(part, at);
            }
        }
        evidence
    }

    /// Applies what a peer has reported about parts of prompts.
    pub(super) fn apply_prompt_report(&mut self, now: Timestamp, report: &PromptReport) {
        self.quarantine.record_peer_answers(now, &report.answered);
    }

    /// Quarantines parts and releases them, as the evidence of all nodes demands.
    pub(super) fn review_quarantine(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        let evidence = self.evidence(now);
        self.adopt_quarantines(now, &evidence);
        self.release_answered(now, &evidence);
        // Parts without an answer come first: they account for the crashes on the
        // parts beside them.
        let (answered, unanswered): (Vec<PromptPart>, Vec<PromptPart>) = evidence
            .parts()
            .into_iter()
            .partition(|part| evidence.answered.contains_key(part));
        for parts in [unanswered, answered] {
            let accused: BTreeMap<PromptPart, Quarantined> = parts
                .into_iter()
                .filter_map(|part| Some((part, self.accuse(now, &evidence, part)?)))
                .collect();
            let accused_parts: BTreeSet<PromptPart> = accused.keys().copied().collect();
            for (part, quarantined) in accused {
                // Of two parts of a prompt, fewer sound ones share the later.
                if !evidence.precedes_any(part, &accused_parts) {
                    self.quarantine.insert(part, quarantined);
                }
            }
        }
    }

    /// Returns the number of engines that crashed on requests with a part since it
    /// was last answered, without those for which another quarantined part
    /// accounts.
    fn unexplained_crashes(&self, now: Timestamp, evidence: &Evidence, part: PromptPart) -> u32 {
        let quarantined = self.quarantine.quarantined.iter();
        let active = quarantined.filter(|(_, quarantined)| now < quarantined.until);
        evidence.unexplained(part, active.map(|(part, _)| part))
    }

    /// Returns the quarantine that the evidence demands for a part, if it is not in
    /// force yet.
    fn accuse(&self, now: Timestamp, evidence: &Evidence, part: PromptPart) -> Option<Quarantined> {
        let mut crashes = self.unexplained_crashes(now, evidence, part);
        let needed = match self.quarantine.quarantined.get(&part) {
            Some(active) if now < active.until => active.crashes + 1,
            Some(ended) => {
                let again = evidence.crashes_on(part, |crash| crash.at >= ended.until);
                crashes = ended.crashes + again;
                ended.crashes + 1
            }
            None if evidence.answered.contains_key(&part) => MIN_CRASHES_IF_ANSWERED,
            None => MIN_CRASHES,
        };
        (crashes >= needed).then(|| Quarantined::new(now, crashes))
    }

    /// Adopts the quarantines of the peers.
    fn adopt_quarantines(&mut self, now: Timestamp, evidence: &Evidence) {
        let of_peers = self.fresh_reports(now).flat_map(|(received_at, report)| {
            let quarantined = report.prompts.quarantined.iter();
            quarantined.map(move |(part, reported)| {
                let until = received_at + Duration::from_millis(reported.left_ms);
                let crashes = reported.crashes;
                (*part, Quarantined { until, crashes })
            })
        });
        let of_peers: Vec<(PromptPart, Quarantined)> = of_peers.collect();
        for (part, quarantined) in of_peers {
            let own = self.quarantine.quarantined.get(&part);
            let is_longer = own.is_none_or(|own| own.until < quarantined.until);
            let is_current = now < quarantined.until;
            if is_longer && is_current && !self.is_bystander(now, evidence, part) {
                self.quarantine.insert(part, quarantined);
            }
        }
    }

    /// Releases parts that were answered, unless engines crashed on them since.
    fn release_answered(&mut self, now: Timestamp, evidence: &Evidence) {
        let quarantined: Vec<PromptPart> = self.quarantine.quarantined.keys().copied().collect();
        for part in quarantined {
            if self.is_bystander(now, evidence, part) {
                self.quarantine.release(part);
            }
        }
    }

    /// Returns whether the crashes on a part are likely those of other parts: it
    /// was answered lately, and few crashes followed.
    fn is_bystander(&self, now: Timestamp, evidence: &Evidence, part: PromptPart) -> bool {
        let crashes = self.unexplained_crashes(now, evidence, part);
        let is_answered = self.quarantine.last_answered(now, part).is_some();
        is_answered && crashes < MIN_CRASHES_IF_ANSWERED
    }
}
