//! What this node reports to its peers about crashes.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CrashReport, MAX_SUSPECTS, MIN_CRASHES, Quarantined, ReportedQuarantine, Suspect,
    evidence::{self, Evidence},
    selection,
    suspects::{self, KnownSuspect},
};
use crate::{
    gateway::{CrashCause, peers::NodeReport, state::Gateway},
    time::Timestamp,
};

/// Maximum number of causes of all suspects in a report.
pub const MAX_REPORTED_CAUSES: usize = 512;
/// Maximum number of causes of which a report says when they were answered.
pub const MAX_REPORTED_ANSWERS: usize = 256;

impl Gateway {
    /// Returns this node's report about crashes, with the evidence of the
    /// reports that it covers and the time at which each was received.
    pub(in crate::gateway) fn crash_report(
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
        let covered = covered.iter();
        let covered = covered.map(|(received_at, report)| (*received_at, &report.crashes));
        let mut known = suspects::latest(&self.quarantine.suspects, covered);
        let answers = &self.quarantine.answers;
        known.sort_by_cached_key(|known| (answers.clear(now, known.suspect), now.since(known.at)));
        known.truncate(MAX_SUSPECTS);
        let share = reported_share(&known);
        let reported = known.iter().map(|known| Suspect {
            server: known.suspect.server.clone(),
            incarnation: known.suspect.incarnation.clone(),
            causes: known.select(share, now),
            age_ms: now.since(known.at).as_millis() as u64,
        });
        reported.collect()
    }

    fn reported_answers(&self, now: Timestamp) -> BTreeMap<CrashCause, u64> {
        let causes = self.quarantine.suspected.iter();
        let answered = causes.filter_map(|cause| {
            let age = now.since(self.quarantine.answers.last(now, *cause)?);
            Some((*cause, age.as_millis() as u64))
        });
        answered.take(MAX_REPORTED_ANSWERS).collect()
    }

    /// Returns the causes for which it matters whether they were answered, the most
    /// important ones first: those in quarantine at any node, those of several crashes,
    /// and those that were answered last.
    pub(super) fn suspected_causes(
        &self,
        evidence: &Evidence,
        reported: &BTreeMap<CrashCause, Quarantined>,
    ) -> Vec<CrashCause> {
        let own = self.quarantine.quarantined.keys();
        let mut causes: BTreeSet<CrashCause> = own.chain(reported.keys()).copied().collect();
        let mut ranked: Vec<CrashCause> = causes.iter().copied().collect();
        let accused = evidence
            .causes()
            .filter(|(_, set)| set.len() >= MIN_CRASHES);
        let accused = accused.map(|(cause, _)| cause);
        ranked.extend(accused.filter(|cause| causes.insert(*cause)));
        let mut answered: Vec<(CrashCause, Timestamp)> = evidence
            .answered
            .iter()
            .filter(|(cause, _)| !causes.contains(cause))
            .map(|(cause, at)| (*cause, *at))
            .collect();
        answered.sort_unstable_by_key(|(_, at)| std::cmp::Reverse(*at));
        ranked.extend(answered.into_iter().map(|(cause, _)| cause));
        // Each cause is looked up for each report.
        ranked.truncate(2 * MAX_REPORTED_ANSWERS);
        ranked
    }

    /// Returns the number of causes of these suspects for which the evidence has no room,
    /// or of this node's own ones for which a report has none.
    pub(super) fn count_left_out(&self, known: &[KnownSuspect<'_>], evidence: &Evidence) -> usize {
        let all: usize = known.iter().map(KnownSuspect::count).sum();
        let (counted, _) = evidence.size();
        let own: Vec<KnownSuspect<'_>> = self.quarantine.suspects.iter().map(Into::into).collect();
        let share = reported_share(&own);
        let unreported = own.iter().map(|own| own.count().saturating_sub(share));
        let unreported: usize = unreported.sum();
        match all > evidence::MAX_CAUSES {
            true => unreported.max(all - counted),
            false => unreported,
        }
    }
}

/// Returns the largest number of causes of each of these suspects in a report.
fn reported_share(suspects: &[KnownSuspect<'_>]) -> usize {
    let counts = suspects.iter().map(KnownSuspect::count);
    selection::fair_share(counts, MAX_REPORTED_CAUSES)
}
