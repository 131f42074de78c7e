//! What all nodes have seen of crashes, and which parts of prompts it accuses.

use std::collections::{BTreeMap, BTreeSet};

use super::{super::notices::Incarnation, Suspect};
use crate::{gateway::PromptPart, ids::VmId, time::Timestamp};

/// The crash of one run of an engine.
#[derive(Debug)]
pub(super) struct Crash {
    /// When it was first seen.
    pub(super) at: Timestamp,
    /// The parts of all requests that had no event.
    pub(super) parts: BTreeSet<PromptPart>,
}

/// The evidence of all nodes about the suspect parts.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    crashes: BTreeMap<(VmId, Incarnation), Crash>,
    /// When each part was last answered.
    pub(super) answered: BTreeMap<PromptPart, Timestamp>,
    /// Parts of the same prompt, the earlier one first.
    successors: BTreeSet<(PromptPart, PromptPart)>,
}

impl Evidence {
    /// Adds a request that an engine's crash left without an event.
    pub(super) fn record_crash(&mut self, at: Timestamp, suspect: &Suspect) {
        let engine = (suspect.engine.clone(), suspect.incarnation.clone());
        let crash = self.crashes.entry(engine).or_insert_with(|| Crash {
            at,
            parts: BTreeSet::new(),
        });
        crash.at = crash.at.min(at);
        crash.parts.extend(&suspect.parts);
        for (index, part) in suspect.parts.iter().enumerate() {
            let later = suspect.parts[index + 1..].iter();
            self.successors.extend(later.map(|later| (*part, *later)));
        }
    }

    /// Returns whether one of `others` comes after a part in the same prompt.
    pub(super) fn precedes_any(&self, part: PromptPart, others: &BTreeSet<PromptPart>) -> bool {
        let mut others = others.iter();
        others.any(|other| self.successors.contains(&(part, *other)))
    }

    /// Returns all parts of the requests.
    pub(super) fn parts(&self) -> BTreeSet<PromptPart> {
        let parts = self.crashes.values().flat_map(|crash| &crash.parts);
        parts.copied().collect()
    }

    /// Returns the number of engines that crashed on requests with a part, as far
    /// as `counts` returns `true` for the crash.
    pub(super) fn crashes_on(&self, part: PromptPart, counts: impl Fn(&Crash) -> bool) -> u32 {
        let crashes = self.crashes.values();
        let crashes = crashes.filter(|crash| crash.parts.contains(&part) && counts(crash));
        crashes.count() as u32
    }

    /// Returns the number of engines that crashed on requests with a part since it
    /// was last answered, without those for which the one of `others` accounts that
    /// accounts for most.
    pub(super) fn unexplained<'a>(
        &self,
        part: PromptPart,
        others: impl Iterator<Item = &'a PromptPart>,
    ) -> u32 {
        let answered = self.answered.get(&part);
        let counts = |crash: &Crash| answered.is_none_or(|answered| *answered < crash.at);
        let others = others.filter(|other| **other != part);
        let explained = others.map(|other| {
            self.crashes_on(part, |crash| counts(crash) && crash.parts.contains(other))
        });
        self.crashes_on(part, counts) - explained.max().unwrap_or(0)
    }
}
