//! When requests with a cause were last answered.

use std::collections::BTreeMap;

use super::Suspect;
use crate::{gateway::CrashCause, time::Timestamp};

/// Maximum number of causes of which it is known when they were last answered.
const MAX_ANSWERED: usize = 16 * 1024;
/// Number of these that are kept when there are too many.
const KEPT_ANSWERED: usize = 12 * 1024;

/// When requests with each cause were last answered, at this node or at a peer that
/// reported it. The latest answers are kept: a part that many prompts share is
/// answered again and again.
#[derive(Debug, Default)]
pub(super) struct Answers {
    at: BTreeMap<CrashCause, Timestamp>,
}

impl Answers {
    /// Records an answer.
    pub(super) fn record(&mut self, cause: CrashCause, at: Timestamp) {
        let known = self.at.entry(cause).or_insert(at);
        *known = at.max(*known);
        if self.at.len() > MAX_ANSWERED {
            self.drop_oldest();
        }
    }

    /// Returns when a cause was last answered, if that still speaks for it.
    pub(super) fn last(&self, now: Timestamp, cause: CrashCause) -> Option<Timestamp> {
        let at = self.at.get(&cause).copied();
        at.filter(|at| now.since(*at) < cause.memory())
    }

    /// Returns whether a suspect request was answered when it came again, and so is
    /// sound. Its last cause is the request itself.
    pub(super) fn clear(&self, now: Timestamp, suspect: &Suspect) -> bool {
        let request = suspect.causes.last();
        request.is_none_or(|request| self.last(now, *request).is_some())
    }

    fn drop_oldest(&mut self) {
        let mut times: Vec<Timestamp> = self.at.values().copied().collect();
        let dropped = times.len() - KEPT_ANSWERED;
        let (_, newest_dropped, _) = times.select_nth_unstable(dropped - 1);
        let limit = *newest_dropped;
        let mut left = dropped;
        self.at.retain(|_, at| {
            let is_dropped = *at <= limit && left > 0;
            left -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
