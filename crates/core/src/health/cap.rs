//! The cap on how many servers of one group may be ejected at the same time.

use crate::configs::HealthConfig;

/// A live server of the group for which an ejection is decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupMember<K> {
    /// Identifies the server.
    pub key: K,
    /// Whether it is ejected or receives only probes.
    pub ejected: bool,
    /// Its health score; a higher score is worse.
    pub score: f64,
}

/// The decision about a server that should be ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectDecision<K> {
    /// The server is ejected.
    Eject,
    /// The server is ejected, and this one, which has a lower score, is
    /// readmitted in exchange.
    Swap(K),
    /// The server is kept in service.
    Keep,
}

/// Returns how many of `live` servers may be ejected, which is never all of
/// them.
pub fn max_ejected(cfg: &HealthConfig, live: usize) -> usize {
    let max = live * cfg.max_ejected_percent as usize / 100;
    max.min(live.saturating_sub(1))
}

/// Decides whether to eject a live server with this score, given the other live
/// servers of its group.
pub fn decide_ejection<K: Copy>(
    cfg: &HealthConfig,
    score: f64,
    others: &[GroupMember<K>],
) -> EjectDecision<K> {
    let max = max_ejected(cfg, others.len() + 1);
    let ejected = others.iter().filter(|member| member.ejected);
    if ejected.clone().count() < max {
        return EjectDecision::Eject;
    }
    let best = ejected.min_by(|a, b| a.score.total_cmp(&b.score));
    match best {
        Some(best) if max > 0 && best.score < score => EjectDecision::Swap(best.key),
        _ => EjectDecision::Keep,
    }
}

/// Returns the ejected servers to readmit, lowest score first, so that the cap
/// holds again after other servers left the group.
pub fn excess_ejections<K: Copy>(cfg: &HealthConfig, live: &[GroupMember<K>]) -> Vec<K> {
    let mut ejected: Vec<_> = live.iter().filter(|member| member.ejected).collect();
    let excess = ejected.len().saturating_sub(max_ejected(cfg, live.len()));
    ejected.sort_by(|a, b| a.score.total_cmp(&b.score));
    ejected[..excess].iter().map(|member| member.key).collect()
}
