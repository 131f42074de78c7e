//! Selects which causes of suspect requests count and are reported if there is no
//! room for all of them.
//!
//! Each request gets the same share of the room. Of a prompt that has more parts, a
//! window of them is taken that moves with time, so that each part comes in turn. A
//! part is found as soon as it is in the window of one node while another node, which
//! keeps all parts of its own suspects, has seen a crash on it too.

use std::time::Duration;

use crate::{gateway::CrashCause, time::Timestamp};

/// Time after which the next window of parts is taken: the interval of reports.
const TURN: Duration = Duration::from_millis(200);

/// Returns the largest number of causes of one request, if requests with these
/// numbers of causes share `room`.
pub(super) fn fair_share(counts: impl IntoIterator<Item = usize>, room: usize) -> usize {
    let mut counts: Vec<usize> = counts.into_iter().collect();
    counts.sort_unstable();
    let mut left = room;
    for (index, count) in counts.iter().enumerate() {
        let share = left / (counts.len() - index);
        if *count > share {
            return share;
        }
        left -= count;
    }
    usize::MAX
}

/// Returns `share` of the causes of a request: the request itself, which is the last
/// one, and the window of the parts of its prompt whose turn it is.
pub(super) fn window(causes: &[CrashCause], share: usize, now: Timestamp) -> Vec<CrashCause> {
    let Some((request, parts)) = causes.split_last() else {
        return Vec::new();
    };
    if causes.len() <= share {
        return causes.to_vec();
    }
    let size = share.saturating_sub(1);
    let turn = now.as_millis() / TURN.as_millis() as u64;
    let start = (turn as usize).wrapping_mul(size) % parts.len();
    let end = start + size;
    // What is beyond the end comes first in the prompt.
    let wrapped = &parts[..end.saturating_sub(parts.len())];
    let selected = wrapped.iter().chain(&parts[start..end.min(parts.len())]);
    selected.chain([request]).copied().collect()
}
