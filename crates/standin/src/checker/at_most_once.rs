//! A call that is not idempotent starts at most once, over all services.

use std::collections::{BTreeMap, BTreeSet};

use radishhaven_core::ids::RequestId;

use super::{Evidence, Violation};

/// Looks for calls that are not idempotent and have several starts.
pub(super) fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut starts: BTreeMap<&RequestId, usize> = BTreeMap::new();
    for call in evidence.calls() {
        *starts.entry(&call.request).or_default() += 1;
    }
    let callers = evidence.callers.iter().filter(|c| !c.idempotent);
    let once: BTreeSet<&RequestId> = callers.filter_map(|c| c.id.as_ref()).collect();
    for request in once {
        let starts = starts.get(request).copied().unwrap_or(0);
        if starts > 1 {
            let request = request.clone();
            found.push(Violation::StartedTwice { request, starts });
        }
    }
}
