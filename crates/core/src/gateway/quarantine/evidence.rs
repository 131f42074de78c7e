//! What all nodes have seen of crashes, and which causes it accuses.

use std::collections::{BTreeMap, BTreeSet};

use super::{super::notices::Incarnation, Suspect};
use crate::{gateway::CrashCause, ids::VmId, time::Timestamp};

/// The crash of one run of a server.
#[derive(Debug)]
pub(super) struct Crash {
    /// When it was first seen.
    pub(super) at: Timestamp,
    /// The causes of all requests that had no answer.
    pub(super) causes: BTreeSet<CrashCause>,
}

/// The evidence of all nodes about the suspect causes.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<(VmId, Incarnation), Crash>,
    /// When each cause was last answered.
    pub(super) answered: BTreeMap<CrashCause, Timestamp>,
    /// Causes of the same prompt, the earlier one first.
    successors: BTreeSet<(CrashCause, CrashCause)>,
}

impl Evidence {
    /// Adds a request that a server's crash left without an answer, and those of its
    /// causes that count.
    pub(super) fn record_crash(
        &mut self,
        at: Timestamp,
        suspect: &Suspect,
        causes: Vec<CrashCause>,
    ) {
        let server = (suspect.server.clone(), suspect.incarnation.clone());
        let crash = self.crashes.entry(server).or_insert_with(|| Crash {
            at,
            causes: BTreeSet::new(),
        });
        crash.at = crash.at.min(at);
        crash.causes.extend(&causes);
        for (index, cause) in causes.iter().enumerate() {
            let later = causes[index + 1..].iter();
            self.successors.extend(later.map(|later| (*cause, *later)));
        }
    }

    /// Returns whether one of `others` comes after a cause in the same prompt.
    pub(super) fn precedes_any(&self, cause: CrashCause, others: &BTreeSet<CrashCause>) -> bool {
        let mut others = others.iter();
        others.any(|other| self.successors.contains(&(cause, *other)))
    }

    /// Returns all causes of the requests.
    pub(super) fn causes(&self) -> BTreeSet<CrashCause> {
        let causes = self.crashes.values().flat_map(|crash| &crash.causes);
        causes.copied().collect()
    }

    /// Returns the number of servers that crashed on requests with a cause, as far
    /// as `counts` returns `true` for the crash.
    pub(super) fn crashes_on(&self, cause: CrashCause, counts: impl Fn(&Crash) -> bool) -> u32 {
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.causes.contains(&cause) && counts(crash));
        crashes.count() as u32
    }

    /// Returns whether another request, which was not answered, was at all crashes of
    /// a request.
    pub(super) fn is_ambiguous(&self, cause: CrashCause) -> bool {
        if matches!(cause, CrashCause::Part(_)) {
            return false;
        }
        let crashes = self.crashes.values();
        let mut crashes = crashes.filter(|crash| crash.causes.contains(&cause));
        let Some(first) = crashes.next() else {
            return false;
        };
        let is_other = |other: &&CrashCause| {
            matches!(other, CrashCause::Request(_))
                && **other != cause
                && !self.answered.contains_key(other)
        };
        let mut others: Vec<&CrashCause> = first.causes.iter().filter(is_other).collect();
        for crash in crashes {
            others.retain(|other| crash.causes.contains(other));
        }
        !others.is_empty()
    }

    /// Returns whether a quarantined cause may account for crashes on another one.
    ///
    /// A request accounts for a part of its prompt only if that was answered, and for
    /// a request beside it only if more servers crashed on it.
    fn may_explain(&self, other: CrashCause, cause: CrashCause) -> bool {
        match (other, cause) {
            (CrashCause::Part(_), _) => other != cause,
            (CrashCause::Request(_), CrashCause::Part(_)) => self.answered.contains_key(&cause),
            (CrashCause::Request(_), CrashCause::Request(_)) => {
                self.crashes_on(other, |_| true) > self.crashes_on(cause, |_| true)
            }
        }
    }

    /// Returns the number of servers that crashed on requests with a cause since it
    /// was last answered, without those for which the one of `others` accounts that
    /// accounts for most.
    pub(super) fn unexplained<'a>(
        &self,
        cause: CrashCause,
        others: impl Iterator<Item = &'a CrashCause>,
    ) -> u32 {
        let answered = self.answered.get(&cause);
        let counts = |crash: &Crash| answered.is_none_or(|answered| *answered < crash.at);
        let others = others.filter(|other| self.may_explain(**other, cause));
        let explained = others.map(|other| {
            self.crashes_on(cause, |crash| counts(crash) && crash.causes.contains(other))
        });
        self.crashes_on(cause, counts) - explained.max().unwrap_or(0)
    }
}
