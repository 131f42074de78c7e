//! Keeps requests that crash servers away from them.
//!
//! A request may crash each server that begins to run it, and so may each prompt
//! with a certain part. A node sees that a server crashed while a request had no
//! answer yet; the request may as well be a bystander. What such requests have in
//! common, a [`CrashCause`], is quarantined when two servers crashed on requests
//! with it and no request with it was answered meanwhile. The nodes exchange what
//! they have seen, since such requests come to all of them. See
//! `docs/design/quarantine.md`.

mod answers;
mod evidence;
mod report;
mod reporting;
mod selection;
mod suspects;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;

use self::{
    answers::Answers,
    evidence::{CountedSuspect, Evidence},
    suspects::{KnownSuspect, OwnSuspect, Suspects},
};
pub use self::{
    report::{CrashReport, ReportedQuarantine, Suspect},
    reporting::{MAX_REPORTED_ANSWERS, MAX_REPORTED_CAUSES},
    suspects::MAX_SUSPECTS,
};
use super::{crash_cause::CrashCause, notices::Incarnation, state::Gateway};
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
const MAX_DISPROVED: usize = 2_048;
/// Work of a review that is done with each report and each crash: the number of
/// causes, suspects and reported quarantines.
const FREE_REVIEW_WORK: usize = 256;
/// Time to the next review for each unit of work beyond [`FREE_REVIEW_WORK`]. A
/// review takes a small fraction of it, so that reviews can't keep a node busy however
/// much evidence there is.
const REVIEW_GAP: Duration = Duration::from_micros(16);
/// Longest time to the next review: about the interval of reports.
const MAX_REVIEW_GAP: Duration = Duration::from_millis(250);
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
    answers: Answers,
    /// Suspect requests of this node.
    suspects: Suspects,
    /// Suspect requests of this node that don't count yet, because it reaches no server
    /// of the service.
    doubtful: Suspects,
    /// Causes of suspects whose servers went on, and when that was last found.
    disproved: BTreeMap<CrashCause, Timestamp>,
    quarantined: BTreeMap<CrashCause, Quarantined>,
    /// The requests under suspicion at any node. Answers to others are not kept.
    watched: BTreeSet<CrashCause>,
    /// The causes whose answers are reported, the most important ones first.
    suspected: Vec<CrashCause>,
    /// Before this time, the evidence is not reviewed again.
    next_review: Timestamp,
    /// Number of causes for which the evidence or the reports had no room.
    left_out: usize,
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
                self.answers.record(*cause, now);
            }
        }
    }

    /// Records what a peer has reported about answers. They are kept, because the
    /// peer reports them only while the cause is under suspicion.
    fn record_peer_answers(&mut self, now: Timestamp, answered: &BTreeMap<CrashCause, u64>) {
        for (cause, age_ms) in answered {
            let at = now - Duration::from_millis(*age_ms);
            self.answers.record(*cause, at);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.suspects
            .retain(|own| now.since(own.at) < REQUEST_MEMORY);
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
        let answers = &self.quarantine.answers;
        let own = OwnSuspect::new(now, suspect, |cause| answers.last(now, cause).is_some());
        self.quarantine.doubtful.push(own);
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
        for own in self.quarantine.doubtful.take() {
            if self.goes_on(own.at, &own.suspect) {
                continue;
            }
            let row = self.servers.get(&own.suspect.server);
            let service = row.map(|row| &row.entry.service);
            let is_doubtful = now.since(own.at) < DOUBT_TIME
                && service.is_some_and(|service| self.has_lost_all_links(now, service));
            if is_doubtful {
                self.quarantine.doubtful.push(own);
            } else {
                let answers = &self.quarantine.answers;
                let suspects = &mut self.quarantine.suspects;
                suspects.push_over(own, |suspect| answers.clear(now, suspect));
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
    fn disprove(&mut self, now: Timestamp, causes: BTreeSet<CrashCause>) {
        let mut suspects = std::mem::take(&mut self.quarantine.suspects);
        suspects
            .retain(|own| now.since(own.at) < DISPROOF_TIME || !self.goes_on(own.at, &own.suspect));
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
            && evidence.crashes_on(cause).len() < MIN_CRASHES
    }

    /// Returns whether this node has recorded a crash of the server's current run.
    pub fn has_crashed(&self, server: &VmId) -> bool {
        let Some(row) = self.servers.get(server) else {
            return false;
        };
        let incarnation = Incarnation::from(&row.entry);
        let mut suspects = self.quarantine.suspects.iter().map(|own| &own.suspect);
        suspects.any(|s| s.server == *server && s.incarnation == incarnation)
    }

    /// Returns the time until requests with these causes may reach servers again, or
    /// `None` if they may now.
    pub fn quarantine_left(&self, now: Timestamp, causes: &[CrashCause]) -> Option<Duration> {
        let known = &self.quarantine.quarantined;
        if known.is_empty() {
            return None;
        }
        let quarantined = causes.iter().filter_map(|cause| known.get(cause));
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

    /// Returns the number of causes for which the evidence or the reports of this node
    /// have no room at a time.
    pub fn crash_causes_left_out(&self) -> usize {
        self.quarantine.left_out
    }

    /// Returns the suspects of this node and of the recent reports, the latest ones if
    /// there are too many.
    fn known_suspects(&self, now: Timestamp) -> Vec<KnownSuspect<'_>> {
        let of_peers = self.fresh_reports(now);
        let of_peers = of_peers.map(|(received_at, report)| (received_at, &report.crashes));
        suspects::latest(&self.quarantine.suspects, of_peers)
    }

    /// Collects the evidence of this node and of the recent reports.
    fn evidence(&self, now: Timestamp, suspects: &[KnownSuspect<'_>]) -> Evidence {
        // All causes of this node's suspects count, so that one of them is found as soon
        // as a peer reports it too.
        let (own, mut of_peers): (Vec<KnownSuspect<'_>>, Vec<KnownSuspect<'_>>) =
            suspects.iter().copied().partition(|known| known.is_own);
        // The evidence leaves out the last ones if there are too many crashes.
        of_peers.sort_by_key(|known| Reverse(known.at));
        let own_causes: usize = own.iter().map(KnownSuspect::count).sum();
        let room = evidence::MAX_CAUSES.saturating_sub(own_causes);
        let share = selection::fair_share(of_peers.iter().map(KnownSuspect::count), room);
        let counted = own.iter().chain(&of_peers).map(|known| {
            let at = known.at;
            let share = if known.is_own { usize::MAX } else { share };
            let mut causes = known.select(share, now);
            causes.retain(|cause| now.since(at) < cause.memory());
            let crash = (&known.suspect.server, &known.suspect.incarnation);
            CountedSuspect { crash, at, causes }
        });
        Evidence::new(counted, |cause| self.quarantine.answers.last(now, cause))
    }

    /// Applies what a peer has reported about crashes.
    pub(super) fn apply_crash_report(&mut self, now: Timestamp, report: &CrashReport) {
        self.quarantine.record_peer_answers(now, &report.answered);
    }

    /// Quarantines causes and releases them, as the evidence of all nodes demands. If
    /// there is much evidence, it is reviewed only after some time since the last
    /// review.
    pub fn review_quarantine(&mut self, now: Timestamp) {
        self.quarantine.expire(now);
        self.review_doubtful(now);
        if now < self.quarantine.next_review {
            return;
        }
        let (disproved, counted): (Vec<KnownSuspect<'_>>, Vec<KnownSuspect<'_>>) = self
            .known_suspects(now)
            .into_iter()
            .partition(|known| self.goes_on(known.at, known.suspect));
        let disproved = disproved.iter().flat_map(|known| &known.suspect.causes);
        let disproved = disproved.take(MAX_DISPROVED).copied().collect();
        let evidence = self.evidence(now, &counted);
        let left_out = self.count_left_out(&counted, &evidence);
        self.disprove(now, disproved);
        self.quarantine.left_out = left_out;
        let quarantined = self.quarantine.quarantined.keys();
        let requests = quarantined.copied().chain(evidence.requests());
        self.quarantine.watched = requests.collect();
        let reported = self.reported_quarantines(now);
        let (causes, suspects) = evidence.size();
        let work = causes + suspects + reported.len();
        let gap = REVIEW_GAP * work.saturating_sub(FREE_REVIEW_WORK) as u32;
        self.quarantine.next_review = now + gap.min(MAX_REVIEW_GAP);
        self.adopt_quarantines(now, &evidence, &reported);
        self.release_answered(now, &evidence);
        self.accuse_causes(now, &evidence);
        self.quarantine.suspected = self.suspected_causes(&evidence, &reported);
    }

    /// Quarantines the causes that the evidence accuses.
    fn accuse_causes(&mut self, now: Timestamp, evidence: &Evidence) {
        // Fewer crashes accuse only causes that were quarantined before.
        let quarantined = &self.quarantine.quarantined;
        let causes = evidence.causes().filter(|(cause, crashes)| {
            crashes.len() >= MIN_CRASHES || quarantined.contains_key(cause)
        });
        // Causes without an answer come first: they account for the crashes on the
        // causes beside them.
        let (answered, unanswered): (Vec<CrashCause>, Vec<CrashCause>) = causes
            .map(|(cause, _)| cause)
            .partition(|cause| evidence.answered.contains_key(cause));
        for causes in [unanswered, answered] {
            let accused: BTreeMap<CrashCause, Quarantined> = causes
                .into_iter()
                .filter_map(|cause| Some((cause, self.accuse(now, evidence, cause)?)))
                .collect();
            // A request does not account for its parts unless they were answered:
            // the next request with a deadly part is another one.
            let accused_parts: BTreeSet<CrashCause> = accused
                .keys()
                .filter(|cause| matches!(cause, CrashCause::Part(_)))
                .copied()
                .collect();
            // Of two parts of a prompt, fewer sound ones share the later.
            let preceding = evidence.preceding(&accused_parts);
            for (cause, quarantined) in accused {
                if !preceding.contains(&cause) {
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
                let later = evidence.crashes(|at| at >= ended.until);
                let again = evidence.crashes_on(cause) & later;
                crashes = ended.crashes + again.len();
                ended.crashes + 1
            }
            None if evidence.answered.contains_key(&cause) => MIN_CRASHES_IF_ANSWERED,
            None if crashes < MIN_CRASHES => return None,
            None if evidence.is_ambiguous(cause) => MIN_CRASHES_IF_AMBIGUOUS,
            None => MIN_CRASHES,
        };
        (crashes >= needed).then(|| Quarantined::new(now, cause, crashes))
    }

    /// Returns the quarantines of the peers, the longest one of each cause.
    fn reported_quarantines(&self, now: Timestamp) -> BTreeMap<CrashCause, Quarantined> {
        let mut longest: BTreeMap<CrashCause, Quarantined> = BTreeMap::new();
        for (received_at, report) in self.fresh_reports(now) {
            for (cause, reported) in &report.crashes.quarantined {
                let until = received_at + Duration::from_millis(reported.left_ms);
                let crashes = reported.crashes;
                let known = longest.get(cause);
                if known.is_none_or(|known| known.until < until) {
                    longest.insert(*cause, Quarantined { until, crashes });
                }
            }
        }
        longest
    }

    /// Adopts the quarantines of the peers.
    fn adopt_quarantines(
        &mut self,
        now: Timestamp,
        evidence: &Evidence,
        reported: &BTreeMap<CrashCause, Quarantined>,
    ) {
        for (cause, quarantined) in reported {
            let own = self.quarantine.quarantined.get(cause);
            let is_longer = own.is_none_or(|own| own.until < quarantined.until);
            let is_current = now < quarantined.until;
            if is_longer
                && is_current
                && !self.is_bystander(now, evidence, *cause)
                && !self.is_disproved(evidence, *cause)
            {
                self.quarantine.insert(*cause, *quarantined);
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
        let is_answered = self.quarantine.answers.last(now, cause).is_some();
        let is_ambiguous = evidence.crashes_on(cause).len() < MIN_CRASHES_IF_AMBIGUOUS
            && evidence.is_ambiguous(cause);
        is_ambiguous || (is_answered && crashes < MIN_CRASHES_IF_ANSWERED)
    }
}
