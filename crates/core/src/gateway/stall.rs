//! Decides when a stream that has gone silent moves to another path.
//!
//! An engine that is dead or cut off stalls every request that passes through
//! it, and no other. The engines on a silent stream's path through which no
//! other stream made progress either are suspects.

use std::time::Duration;

use super::{paths::Path, servers::Servers};
use crate::{ids::VmId, time::Timestamp};

/// Silence of a stream from which its path's suspects are looked for: more than
/// the time in which peers tell what they see, and several times the usual
/// pause between events.
pub const FIRST_LOOK: Duration = Duration::from_millis(450);
/// Silence after which a stream moves although no engine is suspect; callers
/// leave after two seconds.
const LONGEST_GAP: Duration = Duration::from_millis(1_000);

/// Time between two looks at a silent stream.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Part of its target after which a request moves to another plain server.
const PLAIN_PATIENCE: f64 = 0.6;

/// What is to be done about a silent stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StallAction {
    /// Look again after this time.
    Wait(Duration),
    /// Go on at another path without these engines.
    Failover(Vec<VmId>),
}

/// Decides about a stream that has been silent for some time.
pub fn check_path(
    servers: &Servers,
    now: Timestamp,
    path: &Path,
    silent: Duration,
    begun: bool,
) -> StallAction {
    if silent < FIRST_LOOK {
        return StallAction::Wait(FIRST_LOOK - silent);
    }
    let quiet = |id: &VmId| match servers.get(id) {
        Some(row) => row.quiet(now) >= FIRST_LOOK,
        None => true,
    };
    let stages = path.stages.iter().map(|stage| &stage.server);
    let suspects: Vec<VmId> = stages.filter(|id| quiet(id)).cloned().collect();
    // A path without any sign of life tells nothing about which engine it is.
    let told_apart = suspects.len() < path.stages.len();
    if !suspects.is_empty() && (told_apart || silent >= LONGEST_GAP) {
        return StallAction::Failover(suspects);
    }
    // A prompt that waits for its turn at sound engines would only wait again
    // elsewhere, and be read twice.
    if begun && silent >= LONGEST_GAP {
        return StallAction::Failover(Vec::new());
    }
    StallAction::Wait(LOOK_AGAIN)
}

/// Decides about a request that may be repeated and that a plain server has
/// not answered: it moves while the answer can still be on time.
pub fn check_plain(server: &VmId, silent: Duration, target: Duration) -> StallAction {
    let patience = target.mul_f64(PLAIN_PATIENCE);
    if silent < patience {
        return StallAction::Wait(patience - silent);
    }
    StallAction::Failover(vec![server.clone()])
}
