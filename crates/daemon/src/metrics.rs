//! Renders the node's counters and gauges in the OpenMetrics text format.

use std::collections::BTreeMap;

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::ConstCounter, gauge::ConstGauge},
    registry::{Registry, Unit},
};
use radishhaven_core::{
    health::Phase, node::Node, peer::MemberStatus, tables::LogState, time::Timestamp,
};

/// Renders a node's metrics at the time `now`.
///
/// # Errors
///
/// Returns an error if a value can't be encoded.
pub fn render(node: &Node, now: Timestamp) -> Result<String, std::fmt::Error> {
    let tables = node.tables();
    let counters = &tables.counters;
    let mut registry = Registry::with_prefix("radishhaven");
    let mut count = |name: &str, help: &str, value: u64| {
        registry.register(name, help, ConstCounter::new(value));
    };
    count(
        "requests_submitted",
        "Requests that arrived",
        counters.submitted,
    );
    count("tokens", "Tokens given to callers", counters.tokens);
    count("steps", "Steps sent to engines", counters.steps);
    count("retries", "Attempts beyond the first one", counters.retries);
    count(
        "holds",
        "Answers held because their callers read slowly",
        counters.holds,
    );
    count("hedges", "Second attempts of slow calls", counters.hedges);
    count(
        "hedge_wins",
        "Calls that a second attempt answered first",
        counters.hedge_wins,
    );
    count(
        "hedges_unpaid",
        "Second attempts that the budget held back",
        counters.hedges_unpaid,
    );
    count(
        "stale_replies",
        "Replies that belonged to no open attempt",
        counters.stale_replies,
    );
    count(
        "crossed_replies",
        "Replies to another question",
        counters.crossed_replies,
    );
    count(
        "step_timeouts",
        "Steps that were not answered in time",
        counters.step_timeouts,
    );
    count(
        "longer_waits",
        "Steps waited for longer, behind others at a busy engine",
        counters.longer_waits,
    );
    count(
        "imports",
        "Stages replaced from exported KV cache",
        counters.imports,
    );
    count(
        "replays",
        "Stages replaced by running kept inputs again",
        counters.replays,
    );
    count(
        "restarts",
        "Stages replaced together with those before them",
        counters.restarts,
    );
    count(
        "repeated_positions",
        "Positions run again by engines that took a stage over",
        counters.repeated_positions,
    );
    count(
        "budget_waits",
        "Retries that waited because the budget was used up",
        counters.budget_waits,
    );
    for (name, help, value) in [
        (
            "health_ejections",
            "Ejections of backend servers",
            counters.health_ejections,
        ),
        (
            "health_kept_in",
            "Times that the cap kept a backend server in",
            counters.health_kept_in,
        ),
        (
            "health_probes",
            "Requests that probed a backend server after an ejection",
            counters.health_probes,
        ),
        (
            "health_returns",
            "Returns by answered probes or by the cap",
            counters.health_returns,
        ),
    ] {
        count(name, help, value);
    }
    count(
        "once_messages",
        "Messages of nodes for running requests at most once",
        counters.once_messages,
    );
    count(
        "once_unwitnessed",
        "Requests not run because a witness did not consent",
        counters.once_unwitnessed,
    );
    count(
        "once_seals",
        "Requests whose home did not answer, so that witnesses were asked",
        counters.once_seals,
    );
    count(
        "log_failures",
        "Reads of the log that failed",
        counters.log_failures,
    );
    count(
        "config_broken_records",
        "Records that can't be read",
        tables.config.broken_records(),
    );
    let replication = &tables.replication;
    let replication_counters = &replication.counters;
    for (name, help, value) in [
        (
            "config_reverts_refused",
            "Times at which a log that would revert the node was refused",
            replication_counters.reverts_refused,
        ),
        (
            "config_divergences",
            "Digests or records of others that differ",
            replication_counters.divergences,
        ),
        (
            "config_records_from_peers",
            "Records that came from peers",
            replication_counters.records_from_peers,
        ),
        (
            "config_records_to_peers",
            "Records that were given to peers",
            replication_counters.records_sent_to_peers,
        ),
        (
            "config_snapshots_written",
            "Snapshots that this node wrote",
            replication_counters.snapshots_written,
        ),
        (
            "config_snapshots_loaded",
            "Snapshots that this node started from",
            replication_counters.snapshots_loaded,
        ),
        (
            "config_snapshots_refused",
            "Snapshots whose content is not what they say",
            replication_counters.snapshots_refused,
        ),
        (
            "config_joins",
            "Times at which peers were asked before serving",
            replication_counters.joins,
        ),
        (
            "config_joins_overdue",
            "Times at which the node said that it still does not serve",
            replication_counters.joins_overdue,
        ),
    ] {
        count(name, help, value);
    }
    let probes = &tables.probes;
    for (name, help, value) in [
        (
            "member_old_messages",
            "Messages of ended lives that were ignored",
            probes.stale_messages,
        ),
        (
            "member_own_pauses",
            "Times that this process found itself paused",
            probes.own_pauses,
        ),
        (
            "member_superseded",
            "Times that others knew a later life of this node's VM",
            probes.superseded,
        ),
    ] {
        count(name, help, value);
    }
    let watch = &tables.watch.counters;
    for (name, help, value) in [
        ("watch_reads", "Reads of watched engines", watch.reads),
        (
            "watch_doubts",
            "Reads of engines that requests waited for",
            watch.suspicion_reads,
        ),
        (
            "watch_unanswered",
            "Reads of watched engines that were not answered",
            watch.unanswered,
        ),
        (
            "watch_unknown",
            "Reports of ended lives or unknown backend servers",
            watch.unknown,
        ),
        (
            "watch_told",
            "Reports that this node made",
            watch.reports_made,
        ),
        (
            "watch_heard",
            "Reports of others that were new",
            watch.reports_applied,
        ),
        (
            "watch_old",
            "Reports of others that were old",
            watch.stale_reports,
        ),
        (
            "watch_took_over",
            "Reports that the second watcher made for the first one",
            watch.takeovers,
        ),
    ] {
        count(name, help, value);
    }
    let vm_list_counters = &tables.vm_replication.counters;
    for (name, help, value) in [
        (
            "vms_reads",
            "VM lists that the platform gave this node",
            vm_list_counters.reads,
        ),
        (
            "vms_late_reads",
            "VM lists of the platform that came after something newer",
            vm_list_counters.late_reads,
        ),
        (
            "vms_parts_taken",
            "Answers and changes of peers that were taken over",
            vm_list_counters.chunks_applied,
        ),
        (
            "vms_old_parts",
            "Answers of peers that might have been older",
            vm_list_counters.stale_chunks,
        ),
        (
            "vms_divergences",
            "Changes of peers that lead to another VM list than they name",
            vm_list_counters.divergences,
        ),
        (
            "vms_wholes_given",
            "Whole VM lists that were given to peers",
            vm_list_counters.snapshots_sent,
        ),
        (
            "vms_changes_given",
            "Changes of VMs that were given to peers",
            vm_list_counters.changes_sent,
        ),
    ] {
        count(name, help, value);
    }
    for (outcome, &value) in &counters.outcomes {
        let name = format!("outcome_{}", outcome.replace([' ', '-', '(', ')'], "_"));
        count(&name, "Answers with this outcome", value);
    }
    let mut gauge = |name: &str, help: &str, value: u64| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        registry.register_with_unit(
            name,
            help,
            Unit::Other("count".into()),
            ConstGauge::new(value),
        );
    };
    gauge(
        "requests_open",
        "Requests that run here",
        tables.requests.len() as u64,
    );
    let phases = tables.backends.iter().map(|row| row.health.phase(now));
    let mut phase_counts = BTreeMap::<Phase, u64>::new();
    for phase in phases {
        *phase_counts.entry(phase).or_default() += 1;
    }
    for (name, help, phase) in [
        (
            "backends_ejected",
            "Backend servers that get no new work",
            Phase::Ejected,
        ),
        (
            "backends_half_open",
            "Backend servers that get probes only",
            Phase::HalfOpen,
        ),
        (
            "backends_ramping",
            "Backend servers that start slowly",
            Phase::Ramping,
        ),
    ] {
        gauge(name, help, phase_counts.get(&phase).copied().unwrap_or(0));
    }
    gauge(
        "once_open",
        "Requests of this home that may run once and are open",
        tables.once.home.open_count() as u64,
    );
    gauge(
        "once_remembered",
        "Ended requests of this home that are remembered",
        tables.once.home.ended_count() as u64,
    );
    gauge(
        "once_witnessed",
        "Ids that this node remembers as a witness",
        tables.once.witness.len() as u64,
    );
    gauge(
        "config_revision",
        "Revision in force",
        tables.config.revision().0,
    );
    gauge(
        "config_lag",
        "Revisions that the newest known node is ahead",
        lag(node),
    );
    gauge(
        "config_log_following",
        "1 while the log is followed, 0 while it is out or refused",
        u64::from(replication.log == LogState::Following),
    );
    let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
    gauge(
        "vms_age_ms",
        "Milliseconds since the platform showed the VM list that is held",
        age_ms(tables.vm_replication.read_began),
    );
    gauge(
        "vms_followers",
        "Nodes that rely on this one for the VM list",
        tables.vm_replication.subscribers.len() as u64,
    );
    let log_age_ms = replication.last_log_read.map_or(now.as_millis(), age_ms);
    gauge(
        "config_log_age_ms",
        "Milliseconds since the log answered this node",
        log_age_ms,
    );
    gauge(
        "watch_share",
        "Engines that this node watches",
        tables.watch.watched.len() as u64,
    );
    gauge(
        "watch_waiting",
        "Reports that wait to be told",
        tables.watch.outbox.len() as u64,
    );
    for (name, help, status) in [
        (
            "members_alive",
            "Other nodes that live",
            MemberStatus::Alive,
        ),
        (
            "members_suspect",
            "Other nodes that may be lost",
            MemberStatus::Suspect,
        ),
        (
            "members_dead",
            "Other nodes that are lost",
            MemberStatus::Dead,
        ),
    ] {
        let members = tables.members.iter();
        let count = members.filter(|(_, row)| row.status == status).count();
        gauge(name, help, count as u64);
    }
    gauge("ready", "1 while the node serves", u64::from(tables.ready));
    let waited_ms = replication.join.as_ref().map_or(0, |join| {
        u64::try_from(now.since(join.began).as_millis()).unwrap_or(u64::MAX)
    });
    gauge(
        "ready_waited_ms",
        "Milliseconds for which the node waits to become ready; 0 while it is",
        waited_ms,
    );
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

/// Returns by how many revisions this node is behind the newest revision that
/// another node has reported.
fn lag(node: &Node) -> u64 {
    let tables = node.tables();
    let revisions = tables
        .members
        .iter()
        .map(|(_, row)| row.heartbeat.revision.0);
    let newest = revisions.max().unwrap_or_default();
    newest.saturating_sub(tables.config.revision().0)
}
