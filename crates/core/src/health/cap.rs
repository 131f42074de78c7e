//! The cap on how much of one stage or service is ejected at one time.

use crate::configs::HealthConfig;

/// A live server of the group that an ejection is decided for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupMember<K> {
    /// Names it.
    pub key: K,
    /// Whether it is ejected or gets probes only.
    pub ejected: bool,
    /// Its score.
    pub score: f64,
}

/// What becomes of a server that is to be ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectDecision<K> {
    /// It is ejected.
    Eject,
    /// It is ejected, and this one, which is less bad, comes back for it.
    Swap(K),
    /// It stays in.
    Keep,
}

/// Returns how many of `live` servers may be ejected; never all of them.
pub fn max_ejected(cfg: &HealthConfig, live: usize) -> usize {
    let most = live * cfg.max_ejected_percent as usize / 100;
    most.min(live.saturating_sub(1))
}

/// Decides for a live server with a score, given the other live ones.
pub fn decide_ejection<K: Copy>(
    cfg: &HealthConfig,
    score: f64,
    others: &[GroupMember<K>],
) -> EjectDecision<K> {
    let most = max_ejected(cfg, others.len() + 1);
    let ejected = others.iter().filter(|member| member.ejected);
    if ejected.clone().count() < most {
        return EjectDecision::Eject;
    }
    let least = ejected.min_by(|a, b| a.score.total_cmp(&b.score));
    match least {
        Some(least) if most > 0 && least.score < score => EjectDecision::Swap(least.key),
        _ => EjectDecision::Keep,
    }
}

/// Returns the servers that have to come back, the least bad first, after
/// others of their group left.
pub fn excess_ejections<K: Copy>(cfg: &HealthConfig, live: &[GroupMember<K>]) -> Vec<K> {
    let mut ejected: Vec<_> = live.iter().filter(|member| member.ejected).collect();
    let over = ejected.len().saturating_sub(max_ejected(cfg, live.len()));
    ejected.sort_by(|a, b| a.score.total_cmp(&b.score));
    ejected[..over].iter().map(|member| member.key).collect()
}
