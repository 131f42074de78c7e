//! Keeps requests that crash servers away from them.
//!
//! A request may crash each server that begins to run it, and so may each prompt
//! with a certain part. A node sees that a server crashed while a request had no
//! answer yet; the request may as well be a bystander. What such requests have in
//! common, a [`CrashCause`], is quarantined when two servers crashed on requests
//! with it and no request with it was answered meanwhile. The nodes exchange what
//! they have seen, since such requests come to all of them. See
//! `docs/design/quarantine.md`.

mod evidence;
mod report;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::Serialize;

use self::evidence::Evidence;
pub use self::report::{CrashReport, ReportedQuarantine, Suspect};
use super::{crash_cause::CrashCause, notices::Incarnation, peers::NodeReport, state::Gateway};
use crate::{ids::VmId, time::Timestamp};

/// Crashes on requests with a cause after which it is quarantined.
const MIN_CRASHES: u32 = 2;
/// The same for a request if another one was at all the same crashes. One of them
/// is a bystander, which is answered when it comes again.
const MIN_CRASHES_IF_AMBIGUOUS: u32 = 3;
/// The same for a cause that was answered before. It is the likelier bystander of
/// one beside it.
const MIN_CRASHES_IF_ANSWERED: u32 = 4;
/// Time for which crashes speak against a part of a prompt, and answers for it.
const PART_MEMORY: Duration = Duration::from_secs(60);
/// The same for a request, which may come again rarely.
const REQUEST_MEMORY: Duration = Duration::from_secs(600);
/// Duration of a quarantine after [`MIN_CRASHES`]. It doubles with each further
/// crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(60);
/// Maximum number of these doublings.
const MAX_DOUBLINGS: u32 = 8;
/// Maximum duration of the quarantine of a part of prompts.
const MAX_PART_QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time by which progress must follow a crash to show that there was none. Ages of
/// reports are too low by their transit.
const PROGRESS_MARGIN: Duration = Duration::from_millis(300);
/// Time after which a suspect counts although this node reaches no server of the
/// service, unless the server goes on.
const DOUBT_TIME: Duration = Duration::from_millis(600);
/// Time for which a suspect is reported although its server goes on, so that the other
/// nodes find this out too and release its causes.
const DISPROOF_TIME: Duration = Duration::from_secs(2);
/// Maximum number of causes that are remembered as disproved.
const MAX_DISPROVED: usize = 256;
/// Maximum number of causes of which it is known when they were last answered.
const MAX_ANSWERED: usize = 8_192;
/// Maximum number of suspect requests that a node keeps, and that a report
/// contains.
pub const MAX_SUSPECTS: usize = 32;
/// Maximum number of quarantined causes.
pub const MAX_QUARANTINED: usize = 64;

impl CrashCause {
    /// Returns the time for which crashes speak against the cause, and answers for
    /// it.
    fn memory(self) -> Duration {
        match self {
            Self::Part(_) => PART_MEMORY,
            Self::Request(_) => REQUEST_MEMORY,
        }
    }

    /// Returns the duration of the quarantine after this number of crashes.
    fn quarantine_time(self, crashes: u32) -> Duration {
        let doublings = crashes.saturating_sub(MIN_CRASHES).min(MAX_DOUBLINGS);
        let time = QUARANTINE_TIME * 2_u32.pow(doublings);
        match self {
            Self::Part(_) => time.min(MAX_PART_QUARANTINE_TIME),
            Self::Request(_) => time,
        }
    }
}

/// The quarantine of a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Quarantined {
    /// When it ends.
    pub until: Timestamp,
    /// Number of servers that crashed on requests with the cause.
    pub crashes: u32,
}

impl Quarantined {
    fn new(now: Timestamp, cause: CrashCause, crashes: u32) -> Self {
        let until = now + cause.quarantine_time(crashes);
        Self { until, crashes }
    }

    /// Returns whether the next crash renews the quarantine at once.
    fn is_remembered(&self, now: Timestamp, cause: CrashCause) -> bool {
        let time = match cause {
            CrashCause::Part(_) => PART_MEMORY,
            CrashCause::Request(_) => REQUEST_MEMORY.max(cause.quarantine_time(self.crashes)),
        };
        now < self.until + time
    }
}

/// A cause that has been put under quarantine or released from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The cause.
    pub cause: CrashCause,
    /// Its quarantine, or `None` if it was released.
    pub quarantined: Option<Quarantined>,
}

/// The causes of crashes, and the evidence for and against them.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When a request with the cause was last answered, at this node or at a peer
    /// that reported it.
    answered: BTreeMap<CrashCause, Timestamp>,
    /// Suspect requests of this node, with the time of the crash.
    suspects: VecDeque<(Timestamp, Suspect)>,
    /// Suspect requests of this node that don't count yet, because it reaches no server
    /// of the service.
    doubtful: VecDeque<(Timestamp, Suspect)>,
    /// Causes of suspects whose servers went on, and when that was last found.
    disproved: BTreeMap<CrashCause, Timestamp>,
    quarantined: BTreeMap<CrashCause, Quarantined>,
    /// The requests under suspicion at any node. Answers to others are not kept.
    watched: BTreeSet<CrashCause>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    fn record_answered(&mut self, now: Timestamp, causes: &[CrashCause]) {
        for cause in causes {
            let is_kept = match cause {
                CrashCause::Part(_) => true,
                CrashCause::Request(_) => self.watched.contains(cause),
            };
            if is_kept {
                self.answered.insert(*cause, now);
            }
        }
        self.limit_answered(now);
    }

    fn limit_answered(&mut self, now: Timestamp) {
        if self.answered.len() > MAX_ANSWERED {
            self.answered
                .retain(|cause, at| now.since(*at) < cause.memory() / 2);
        }
        while self.answered.len() > MAX_ANSWERED {
            self.answered.pop_first();
        }
    }

    /// Keeps a suspect request. If there are too many, those are dropped first whose
    /// causes were all answered lately.
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

    /// Keeps a suspect request that does not count yet.
    fn doubt(&mut self, at: Timestamp, suspect: Suspect) {
        let is_known = self.doubtful.iter().any(|(_, known)| *known == suspect);
        if !is_known && self.doubtful.len() < MAX_SUSPECTS {
            self.doubtful.push_back((at, suspect));
        }
    }

    fn is_cleared(&self, now: Timestamp, suspect: &Suspect) -> bool {
        let mut causes = suspect.causes.iter();
        causes.all(|cause| self.last_answered(now, *cause).is_some())
    }

    /// Returns when a cause was last answered, if that still speaks for it.
    fn last_answered(&self, now: Timestamp, cause: CrashCause) -> Option<Timestamp> {
        let answered = self.answered.get(&cause).copied();
        answered.filter(|at| now.since(*at) < cause.memory())
    }

    /// Records what a peer has reported about answers. They are kept, because the
    /// peer reports them only while the cause is under suspicion.
    fn record_peer_answers(&mut self, now: Timestamp, answered: &BTreeMap<CrashCause, u64>) {
        for (cause, age_ms) in answered {
            let at = now - Duration::from_millis(*age_ms);
            let known = self.answered.entry(*cause).or_insert(at);
            *known = at.max(*known);
        }
        self.limit_answered(now);
    }

    fn expire(&mut self, now: Timestamp) {
        self.suspects
            .retain(|(at, _)| now.since(*at) < REQUEST_MEMORY);
        self.quarantined
            .retain(|cause, quarantined| quarantined.is_remembered(now, *cause));
    }

    /// Puts a cause under quarantine, or extends its quarantine. If there are too
    /// many already, it is left out.
    fn insert(&mut self, cause: CrashCause, quarantined: Quarantined) {
        let is_full = self.quarantined.len() >= MAX_QUARANTINED;
        if is_full && !self.quarantined.contains_key(&cause) {
            return;
        }
        let previous = self.quarantined.insert(cause, quarantined);
        if previous.is_none_or(|previous| previous.crashes < quarantined.crashes) {
            self.changes.push(QuarantineChange {
                cause,
                quarantined: Some(quarantined),
            });
        }
    }

    fn release(&mut self, cause: CrashCause) {
        if self.quarantined.remove(&cause).is_some() {
            self.changes.push(QuarantineChange {
                cause,
                quarantined: None,
            });
        }
    }
}

impl Gateway {
    /// Records that a request with these causes was answered, or that its answer is
    /// under way.
    pub fn record_request_answered(&mut self, now: Timestamp, causes: &[CrashCause]) {
        self.quarantine.record_answered(now, causes);
        if causes
            .iter()
            .any(|cause| self.quarantine.quarantined.contains_key(cause))
        {
            self.review_quarantine(now);
        }
    }

    /// Records that a server crashed before the answer to a request on whose path it
    /// was.
    pub fn record_crash(&mut self, now: Timestamp, server: &VmId, causes: &[CrashCause]) {
        let Some(row) = self.servers.get(server) else {
            return;
        };
        let suspect = Suspect {
            server: server.clone(),
            incarnation: Incarnation::from(&row.entry),
            causes: causes.to_vec(),
            age_ms: 0,
        };
        self.quarantine.doubt(now, suspect);
        self.review_quarantine(now);
    }

    /// Returns whether a server made progress after it was taken for crashed.
    fn goes_on(&self, at: Timestamp, suspect: &Suspect) -> bool {
        let row = self.servers.get(&suspect.server);
        let row = row.filter(|row| Incarnation::from(&row.entry) == suspect.incarnation);
        row.is_some_and(|row| row.last_progress > at + PROGRESS_MARGIN)
    }

    /// Counts the doubtful suspects as soon as this node reaches another server of the
    /// service, or after a time in which none of the servers has gone on.
    fn review_doubtful(&mut self, now: Timestamp) {
        for (at, suspect) in std::mem::take(&mut self.quarantine.doubtful) {
            if self.goes_on(at, &suspect) {
                continue;
            }
            let row = self.servers.get(&suspect.server);
            let service = row.map(|row| &row.entry.service);
            let is_doubtful = now.since(at) < DOUBT_TIME
                && service.is_some_and(|service| self.has_lost_all_links(now, service));
            match is_doubtful {
                true => self.quarantine.doubt(at, suspect),
                false => self.quarantine.record_suspect(at, suspect),
            }
        }
    }

    /// Reviews the quarantine after a probe of a link, if suspects wait for it.
    pub(super) fn review_after_probe(&mut self, now: Timestamp) {
        if !self.quarantine.doubtful.is_empty() {
            self.review_quarantine(now);
        }
    }

    /// Remembers the causes of suspects whose servers go on, and drops those of this node
    /// after a time in which all nodes have found this out.
    fn disprove_suspects(&mut self, now: Timestamp) {
        let own = self.quarantine.suspects.iter();
        let own = own.map(|(at, suspect)| (*at, suspect));
        let of_peers = self.fresh_reports(now).flat_map(|(received_at, report)| {
            let suspects = report.crashes.suspects.iter();
            suspects.map(move |s| (received_at - Duration::from_millis(s.age_ms), s))
        });
        let disproved = own.chain(of_peers);
        let disproved = disproved.filter(|(at, suspect)| self.goes_on(*at, suspect));
        let causes: BTreeSet<CrashCause> = disproved
            .flat_map(|(_, suspect)| suspect.causes.iter().copied())
            .collect();
        let mut suspects = std::mem::take(&mut self.quarantine.suspects);
        suspects
            .retain(|(at, suspect)| now.since(*at) < DISPROOF_TIME || !self.goes_on(*at, suspect));
        self.quarantine.suspects = suspects;
        let known = &mut self.quarantine.disproved;
        known.retain(|_, at| now.since(*at) < PART_MEMORY);
        for cause in causes {
            if known.len() < MAX_DISPROVED || known.contains_key(&cause) {
                known.insert(cause, now);
            }
        }
    }

    /// Returns whether crashes on a cause were disproved, and too few are left to
    /// quarantine it.
    fn is_disproved(&self, evidence: &Evidence, cause: CrashCause) -> bool {
        self.quarantine.disproved.contains_key(&cause)
            && evidence.crashes_on(cause, |_| true) < MIN_CRASHES
    }

    /// Returns whether this node has recorded a crash of the server's current run.
    pub fn has_crashed(&self, server: &VmId) -> bool {
        let Some(row) = self.servers.get(server) else {
            return false;
        };
        let incarnation = Incarnation::from(&row.entry);
        let mut suspects = self.quarantine.suspects.iter();
        suspects.any(|(_, s)| s.server == *server && s.incarnation == incarnation)
    }

    /// Returns the time until requests with these causes may reach servers again, or
    /// `None` if they may now.
    pub fn quarantine_left(&self, now: Timestamp, causes: &[CrashCause]) -> Option<Duration> {
        let quarantined = causes
            .iter()
            .filter_map(|cause| self.quarantine.quarantined.get(cause));
        let until = quarantined.map(|quarantined| quarantined.until).max()?;
        (now < until).then(|| until.since(now))
    }

    /// Returns the quarantined causes.
    pub fn quarantined_causes(&self) -> &BTreeMap<CrashCause, Quarantined> {
        &self.quarantine.quarantined
    }

    /// Returns the changes of the quarantine since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.quarantine.changes)
    }

    /// Returns this node's report about crashes, with the evidence of the
    /// reports that it covers and the time at which each was received.
    pub(super) fn crash_report(
        &self,
        now: Timestamp,
        covered: &[(Timestamp, &NodeReport)],
    ) -> CrashReport {
        let quarantined = self.quarantine.quarantined.iter();
        let quarantined = quarantined.filter(|(_, quarantined)| now < quarantined.until);
        let quarantined = quarantined.map(|(cause, quarantined)| {
            let reported = ReportedQuarantine {
                left_ms: quarantined.until.since(now).as_millis() as u64,
                crashes: quarantined.crashes,
            };
            (*cause, reported)
        });
        CrashReport {
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
            let suspects = report.crashes.suspects.iter();
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

    fn reported_answers(&self, now: Timestamp) -> BTreeMap<CrashCause, u64> {
        let causes = self.suspect_causes().into_iter();
        let answered = causes.filter_map(|cause| {
            let age = now.since(self.quarantine.last_answered(now, cause)?);
            Some((cause, age.as_millis() as u64))
        });
        answered.collect()
    }

    /// Returns the causes for which it matters whether they were answered.
    fn suspect_causes(&self) -> BTreeSet<CrashCause> {
        let own = self.quarantine.suspects.iter();
        let own = own.flat_map(|(_, suspect)| &suspect.causes);
        let of_peers = self.peers.values().flat_map(|peer| {
            let reported = &peer.report().crashes;
            let suspects = reported.suspects.iter();
            let causes = suspects.flat_map(|suspect| &suspect.causes);
            causes.chain(reported.quarantined.keys())
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
            let suspects = report.crashes.suspects.iter();
            suspects.map(move |s| (received_at - Duration::from_millis(s.age_ms), s))
        });
        for (at, suspect) in own.chain(of_peers) {
            if self.goes_on(at, suspect) {
                continue;
            }
            let is_recent = |cause: &&CrashCause| now.since(at) < cause.memory();
            let causes = suspect.causes.iter().filter(is_recent);
            evidence.record_crash(at, suspect, causes.copied().collect());
        }
        for cause in evidence.causes() {
            if let Some(at) = self.quarantine.last_answered(now, cause) {
                evidence.answered.insert(cause, at);
            }
        }
        evidence
    }

    /// Applies what a peer has reported about crashes.
    pub(super) fn apply_crash_report(&mut self, now: Timestamp, report: &CrashReport) {
        self.quarantine.record_peer_answers(now, &report.answered);
    }

    /// Quarantines causes and releases them, as the evidence of all nodes demands.
    pub(super) fn review_quarantine(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        self.review_doubtful(now);
        self.disprove_suspects(now);
        let evidence = self.evidence(now);
        self.quarantine.watched = self.quarantine.quarantined.keys().copied().collect();
        self.quarantine.watched.extend(evidence.causes());
        self.adopt_quarantines(now, &evidence);
        self.release_answered(now, &evidence);
        // Causes without an answer come first: they account for the crashes on the
        // causes beside them.
        let (answered, unanswered): (Vec<CrashCause>, Vec<CrashCause>) = evidence
            .causes()
            .into_iter()
            .partition(|cause| evidence.answered.contains_key(cause));
        for causes in [unanswered, answered] {
            let accused: BTreeMap<CrashCause, Quarantined> = causes
                .into_iter()
                .filter_map(|cause| Some((cause, self.accuse(now, &evidence, cause)?)))
                .collect();
            // A request does not account for its parts unless they were answered:
            // the next request with a deadly part is another one.
            let accused_parts: BTreeSet<CrashCause> = accused
                .keys()
                .filter(|cause| matches!(cause, CrashCause::Part(_)))
                .copied()
                .collect();
            for (cause, quarantined) in accused {
                // Of two parts of a prompt, fewer sound ones share the later.
                if !evidence.precedes_any(cause, &accused_parts) {
                    self.quarantine.insert(cause, quarantined);
                }
            }
        }
    }

    /// Returns the number of servers that crashed on requests with a cause since it
    /// was last answered, without those for which another quarantined cause
    /// accounts.
    fn unexplained_crashes(&self, now: Timestamp, evidence: &Evidence, cause: CrashCause) -> u32 {
        let quarantined = self.quarantine.quarantined.iter();
        let active = quarantined.filter(|(_, quarantined)| now < quarantined.until);
        evidence.unexplained(cause, active.map(|(cause, _)| cause))
    }

    /// Returns the quarantine that the evidence demands for a cause, if it is not in
    /// force yet.
    fn accuse(
        &self,
        now: Timestamp,
        evidence: &Evidence,
        cause: CrashCause,
    ) -> Option<Quarantined> {
        let mut crashes = self.unexplained_crashes(now, evidence, cause);
        let needed = match self.quarantine.quarantined.get(&cause) {
            Some(active) if now < active.until => active.crashes + 1,
            Some(ended) => {
                let again = evidence.crashes_on(cause, |crash| crash.at >= ended.until);
                crashes = ended.crashes + again;
                ended.crashes + 1
            }
            None if evidence.answered.contains_key(&cause) => MIN_CRASHES_IF_ANSWERED,
            None if evidence.is_ambiguous(cause) => MIN_CRASHES_IF_AMBIGUOUS,
            None => MIN_CRASHES,
        };
        (crashes >= needed).then(|| Quarantined::new(now, cause, crashes))
    }

    /// Adopts the quarantines of the peers.
    fn adopt_quarantines(&mut self, now: Timestamp, evidence: &Evidence) {
        let of_peers = self.fresh_reports(now).flat_map(|(received_at, report)| {
            let quarantined = report.crashes.quarantined.iter();
            quarantined.map(move |(cause, reported)| {
                let until = received_at + Duration::from_millis(reported.left_ms);
                let crashes = reported.crashes;
                (*cause, Quarantined { until, crashes })
            })
        });
        let of_peers: Vec<(CrashCause, Quarantined)> = of_peers.collect();
        for (cause, quarantined) in of_peers {
            let own = self.quarantine.quarantined.get(&cause);
            let is_longer = own.is_none_or(|own| own.until < quarantined.until);
            let is_current = now < quarantined.until;
            let is_sound =
                self.is_bystander(now, evidence, cause) || self.is_disproved(evidence, cause);
            if is_longer && is_current && !is_sound {
                self.quarantine.insert(cause, quarantined);
            }
        }
    }

    /// Releases causes that were answered, unless servers crashed on them since, and
    /// those whose servers have not crashed.
    fn release_answered(&mut self, now: Timestamp, evidence: &Evidence) {
        let quarantined: Vec<CrashCause> = self.quarantine.quarantined.keys().copied().collect();
        for cause in quarantined {
            if self.is_bystander(now, evidence, cause) || self.is_disproved(evidence, cause) {
                self.quarantine.release(cause);
            }
        }
    }

    /// Returns whether the crashes on a cause are likely those of other causes: it
    /// was answered lately, and few crashes followed; or another request was at all
    /// of them, and there were too few to tell the two apart.
    fn is_bystander(&self, now: Timestamp, evidence: &Evidence, cause: CrashCause) -> bool {
        let crashes = self.unexplained_crashes(now, evidence, cause);
        let is_answered = self.quarantine.last_answered(now, cause).is_some();
        let is_ambiguous = evidence.is_ambiguous(cause)
            && evidence.crashes_on(cause, |_| true) < MIN_CRASHES_IF_AMBIGUOUS;
        is_ambiguous || (is_answered && crashes < MIN_CRASHES_IF_ANSWERED)
    }
}
