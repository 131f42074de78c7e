//! What all nodes have seen of crashes, and which causes it accuses.
//!
//! The work to collect the evidence grows with the number of causes alone, which
//! [`MAX_CAUSES`] bounds: the crashes on a cause are a set of bits, and the order of
//! the parts of a prompt stays with the prompt.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::BitAnd,
};

use crate::{
    gateway::{CrashCause, RequestDigest},
    time::Timestamp,
};

/// Maximum number of crashes in the evidence, which are the bits of a [`CrashSet`].
pub(super) const MAX_CRASHES: usize = u128::BITS as usize;
/// Maximum number of causes of all suspect requests in the evidence. Those of this
/// node take half of it at most.
pub(super) const MAX_CAUSES: usize = 32 * 1024;

/// A set of crashes, by their numbers in the evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct CrashSet(u128);

impl CrashSet {
    fn insert(&mut self, crash: usize) {
        self.0 |= 1 << crash;
    }

    /// Returns the number of crashes.
    pub(super) fn len(self) -> u32 {
        self.0.count_ones()
    }

    fn is_empty(self) -> bool {
        self.0 == 0
    }

    fn contains_all(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

impl BitAnd for CrashSet {
    type Output = Self;

    fn bitand(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }
}

/// A suspect request as it counts in the evidence.
#[derive(Debug)]
pub(super) struct CountedSuspect<K> {
    /// What identifies the crash: the run of the server that ended.
    pub(super) crash: K,
    /// When the crash was seen.
    pub(super) at: Timestamp,
    /// The causes that count, in the order of the prompt.
    pub(super) causes: Vec<CrashCause>,
}

/// The evidence of all nodes about the suspect causes.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// When each crash was first seen.
    crashes: Vec<Timestamp>,
    /// The crashes of requests with each cause.
    by_cause: BTreeMap<CrashCause, CrashSet>,
    /// The causes of each suspect request.
    prompts: Vec<Vec<CrashCause>>,
    /// When each cause was last answered.
    pub(super) answered: BTreeMap<CrashCause, Timestamp>,
}

impl Evidence {
    /// Collects the evidence from suspect requests, the most important one first.
    /// Crashes beyond [`MAX_CRASHES`] are left out.
    pub(super) fn new<K: Ord>(
        suspects: impl IntoIterator<Item = CountedSuspect<K>>,
        last_answered: impl Fn(CrashCause) -> Option<Timestamp>,
    ) -> Self {
        let mut evidence = Self::default();
        let mut numbers: BTreeMap<K, usize> = BTreeMap::new();
        let mut pairs: Vec<(CrashCause, usize)> = Vec::new();
        for suspect in suspects {
            let next = evidence.crashes.len();
            let number = match numbers.get(&suspect.crash) {
                Some(number) => *number,
                None if next == MAX_CRASHES => continue,
                None => {
                    numbers.insert(suspect.crash, next);
                    evidence.crashes.push(suspect.at);
                    next
                }
            };
            let first_seen = &mut evidence.crashes[number];
            *first_seen = suspect.at.min(*first_seen);
            pairs.extend(suspect.causes.iter().map(|cause| (*cause, number)));
            evidence.prompts.push(suspect.causes);
        }
        pairs.sort_unstable();
        let mut sets: Vec<(CrashCause, CrashSet)> = Vec::new();
        for (cause, number) in pairs {
            match sets.last_mut() {
                Some((last, set)) if *last == cause => set.insert(number),
                _ => {
                    let mut set = CrashSet::default();
                    set.insert(number);
                    sets.push((cause, set));
                }
            }
        }
        let answered = sets
            .iter()
            .filter_map(|(cause, _)| Some((*cause, last_answered(*cause)?)));
        evidence.answered = answered.collect();
        evidence.by_cause = sets.into_iter().collect();
        evidence
    }

    /// Returns the number of causes of all requests, with repetitions, and of
    /// requests.
    pub(super) fn size(&self) -> (usize, usize) {
        let causes = self.prompts.iter().map(Vec::len).sum();
        (causes, self.prompts.len())
    }

    /// Returns all causes with the crashes of requests that have them.
    pub(super) fn causes(&self) -> impl Iterator<Item = (CrashCause, CrashSet)> {
        self.by_cause.iter().map(|(cause, set)| (*cause, *set))
    }

    /// Returns the causes that are whole requests.
    pub(super) fn requests(&self) -> impl Iterator<Item = CrashCause> {
        self.requests_with_crashes().map(|(request, _)| *request)
    }

    fn requests_with_crashes(&self) -> impl Iterator<Item = (&CrashCause, &CrashSet)> {
        // Requests follow all parts in the order of causes.
        self.by_cause.range(CrashCause::Request(RequestDigest(0))..)
    }

    /// Returns the crashes of requests with a cause.
    pub(super) fn crashes_on(&self, cause: CrashCause) -> CrashSet {
        self.by_cause.get(&cause).copied().unwrap_or_default()
    }

    /// Returns the crashes that `counts` selects by their time.
    pub(super) fn crashes(&self, counts: impl Fn(Timestamp) -> bool) -> CrashSet {
        let mut selected = CrashSet::default();
        for (number, at) in self.crashes.iter().enumerate() {
            if counts(*at) {
                selected.insert(number);
            }
        }
        selected
    }

    /// Returns the parts that come before another one of `parts` in the same prompt.
    pub(super) fn preceding(&self, parts: &BTreeSet<CrashCause>) -> BTreeSet<CrashCause> {
        let mut preceding = BTreeSet::new();
        if parts.len() < 2 {
            return preceding;
        }
        for prompt in &self.prompts {
            let mut of_prompt = prompt.iter().rev().filter(|cause| parts.contains(cause));
            if let Some(last) = of_prompt.next() {
                preceding.extend(of_prompt.filter(|cause| *cause != last));
            }
        }
        preceding
    }

    /// Returns whether another request, which was not answered, was at all crashes of
    /// a request.
    pub(super) fn is_ambiguous(&self, cause: CrashCause) -> bool {
        let crashes = self.crashes_on(cause);
        if matches!(cause, CrashCause::Part(_)) || crashes.is_empty() {
            return false;
        }
        self.requests_with_crashes().any(|(other, set)| {
            *other != cause && set.contains_all(crashes) && !self.answered.contains_key(other)
        })
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
                self.crashes_on(other).len() > self.crashes_on(cause).len()
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
        let mut crashes = self.crashes_on(cause);
        if let Some(answered) = self.answered.get(&cause) {
            crashes = crashes & self.crashes(|at| *answered < at);
        }
        if crashes.is_empty() {
            return 0;
        }
        let others = others.filter(|other| self.may_explain(**other, cause));
        let explained = others.map(|other| (crashes & self.crashes_on(*other)).len());
        crashes.len() - explained.max().unwrap_or(0)
    }
}
