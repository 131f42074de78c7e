//! The requests of this node that may have crashed their servers.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use super::{CrashReport, Suspect, selection};
use crate::{gateway::CrashCause, time::Timestamp};

/// Maximum number of suspect requests that a node keeps, and that a report
/// contains.
pub const MAX_SUSPECTS: usize = 32;
/// Maximum number of causes of a suspect request: somewhat more than the parts of a
/// prompt that a request head holds.
const MAX_CAUSES_OF_REQUEST: usize = 1_344;
/// Maximum number of causes of all suspect requests that a node keeps.
const MAX_OWN_CAUSES: usize = 16 * 1024;
/// Maximum number of suspect requests of all nodes that a node considers.
const MAX_KNOWN_SUSPECTS: usize = 512;

/// A suspect request of this node.
#[derive(Debug, Clone)]
pub(super) struct OwnSuspect {
    /// When its server crashed.
    pub(super) at: Timestamp,
    /// The request with all its causes.
    pub(super) suspect: Suspect,
    /// The causes that had not been answered before the crash, and the request.
    unanswered: Vec<CrashCause>,
}

impl OwnSuspect {
    /// Returns a suspect request. Of more than [`MAX_CAUSES_OF_REQUEST`] causes the
    /// last ones are kept.
    pub(super) fn new(
        at: Timestamp,
        mut suspect: Suspect,
        is_answered: impl Fn(CrashCause) -> bool,
    ) -> Self {
        let excess = suspect.causes.len().saturating_sub(MAX_CAUSES_OF_REQUEST);
        suspect.causes.drain(..excess);
        let parts = suspect.causes.len().saturating_sub(1);
        let causes = suspect.causes.iter().enumerate();
        let unanswered = causes.filter(|(index, cause)| *index >= parts || !is_answered(**cause));
        let unanswered = unanswered.map(|(_, cause)| *cause).collect();
        Self {
            at,
            suspect,
            unanswered,
        }
    }
}

/// A suspect request of this node or of a peer, as the evidence and reports take it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownSuspect<'a> {
    /// When its server crashed.
    pub(super) at: Timestamp,
    /// The request.
    pub(super) suspect: &'a Suspect,
    /// The causes from which a window is taken if there is no room for all.
    preferred: &'a [CrashCause],
    /// Whether this node has seen the crash.
    pub(super) is_own: bool,
}

impl<'a> KnownSuspect<'a> {
    /// Returns a suspect request that a peer has reported.
    pub(super) fn of_peer(at: Timestamp, suspect: &'a Suspect) -> Self {
        let preferred = &suspect.causes;
        Self {
            at,
            suspect,
            preferred,
            is_own: false,
        }
    }

    /// Returns the number of causes.
    pub(super) fn count(&self) -> usize {
        self.suspect.causes.len()
    }

    /// Returns the causes if each request has room for `share` of them.
    pub(super) fn select(&self, share: usize, now: Timestamp) -> Vec<CrashCause> {
        match self.count() <= share {
            true => self.suspect.causes.clone(),
            false => selection::window(self.preferred, share, now),
        }
    }
}

impl<'a> From<&'a OwnSuspect> for KnownSuspect<'a> {
    fn from(own: &'a OwnSuspect) -> Self {
        Self {
            at: own.at,
            suspect: &own.suspect,
            preferred: &own.unanswered,
            is_own: true,
        }
    }
}

/// Returns the suspects of this node and of peers, with the time at which each report
/// was received. If there are too many, those of the latest crashes are returned.
pub(super) fn latest<'a>(
    own: &'a Suspects,
    reports: impl Iterator<Item = (Timestamp, &'a CrashReport)>,
) -> Vec<KnownSuspect<'a>> {
    let mut known: Vec<KnownSuspect<'a>> = own.iter().map(KnownSuspect::from).collect();
    known.extend(reports.flat_map(|(received_at, report)| {
        let suspects = report.suspects.iter().take(MAX_SUSPECTS);
        suspects.map(move |suspect| {
            let age = Duration::from_millis(suspect.age_ms);
            KnownSuspect::of_peer(received_at - age, suspect)
        })
    }));
    if known.len() > MAX_KNOWN_SUSPECTS {
        known.select_nth_unstable_by_key(MAX_KNOWN_SUSPECTS, |known| Reverse(known.at));
        known.truncate(MAX_KNOWN_SUSPECTS);
    }
    known
}

/// At most [`MAX_SUSPECTS`] suspect requests of this node.
#[derive(Debug, Default)]
pub(super) struct Suspects(VecDeque<OwnSuspect>);

impl Suspects {
    /// Adds a request, unless it is known or there is no room.
    pub(super) fn push(&mut self, own: OwnSuspect) {
        if self.has_room_for(&own) && !self.contains(&own.suspect) {
            self.0.push_back(own);
        }
    }

    fn has_room_for(&self, own: &OwnSuspect) -> bool {
        let counts = self.0.iter().map(|own| own.suspect.causes.len());
        let causes = counts.sum::<usize>() + own.suspect.causes.len();
        self.0.len() < MAX_SUSPECTS && causes <= MAX_OWN_CAUSES
    }

    /// Adds a request. While there is no room, the first one that `is_cleared` is
    /// dropped, or the oldest one.
    pub(super) fn push_over(&mut self, own: OwnSuspect, is_cleared: impl Fn(&Suspect) -> bool) {
        if self.contains(&own.suspect) {
            return;
        }
        while !self.has_room_for(&own) {
            let cleared = self.0.iter().position(|own| is_cleared(&own.suspect));
            self.0.remove(cleared.unwrap_or_default());
        }
        self.0.push_back(own);
    }

    fn contains(&self, suspect: &Suspect) -> bool {
        self.0.iter().any(|own| own.suspect == *suspect)
    }

    /// Removes all requests and returns them.
    pub(super) fn take(&mut self) -> VecDeque<OwnSuspect> {
        std::mem::take(&mut self.0)
    }

    /// Keeps the requests for which `is_kept` returns `true`.
    pub(super) fn retain(&mut self, is_kept: impl FnMut(&OwnSuspect) -> bool) {
        self.0.retain(is_kept);
    }

    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the requests, the oldest one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &OwnSuspect> {
        self.0.iter()
    }
}
