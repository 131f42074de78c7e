//! The store returns from an older copy: what was read in an earlier era
//! confirms nothing and is never mixed with what is read in a later one.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{
    HOST, KEY, PLAIN, configuration, empty_engines, gateway, gateway_config, id, ms, name, server,
};
use radishhaven_cases::{INVARIANT_CASES, check};
use radishhaven_core::{
    gateway::{
        Gateway, StoreEra, StorePosition,
        freshness::ConfigurationRead,
        peers::{ReportRecipient, Source},
    },
    time::Timestamp,
};

fn position(era: u64, offset: u64) -> StorePosition {
    let era = StoreEra(era);
    StorePosition { era, offset }
}

fn read(era: u64, sent: Timestamp, written: bool) -> ConfigurationRead {
    let era = StoreEra(era);
    ConfigurationRead { era, sent, written }
}

/// A gateway whose configuration was confirmed in era 1 at 1,000 ms.
fn confirmed() -> Gateway {
    let mut gateway = gateway(ms(0), BTreeMap::new());
    gateway.record_configuration_read(ms(1_000), read(1, ms(1_000), true));
    gateway
}

/// A gateway that has just started and has read version 1 in an era.
fn started(now: Timestamp, era: u64) -> Gateway {
    let mut gateway = Gateway::new(gateway_config(), 7);
    gateway.set_configuration(configuration(1));
    gateway.record_configuration_read(now, read(era, now, false));
    gateway
}

fn accepts_key(gateway: &Gateway, now: Timestamp) -> bool {
    gateway.route(now, HOST, "/log/1", Some(KEY)).is_ok()
}

/// Sends the report of a peer.
fn report_to(gateway: &mut Gateway, now: Timestamp, peer: &Gateway) {
    let report = peer.report(now, true, None, ReportRecipient::Hub);
    gateway.apply_report(now, id("peer"), Source::Hub, report);
}

fn age_at(gateway: &Gateway, now: u64) -> u128 {
    let age = gateway.confirmation_age(ms(now));
    age.expect("a confirmation").as_millis()
}

/// The copy may lack a configuration that takes a key away.
#[test]
fn copy_confirms_nothing_until_the_configuration_can_be_written_again() {
    let mut gateway = confirmed();
    gateway.record_configuration_read(ms(2_000), read(2, ms(1_990), false));
    assert_eq!(age_at(&gateway, 2_000), 1_000);
    gateway.record_configuration_read(ms(4_200), read(2, ms(4_190), false));
    assert_eq!(age_at(&gateway, 4_200), 3_200);
    gateway.record_configuration_read(ms(4_400), read(2, ms(4_390), false));
    assert_eq!(age_at(&gateway, 4_400), 10);
}

#[test]
fn configuration_written_in_the_new_era_confirms_at_once() {
    let mut gateway = confirmed();
    gateway.record_configuration_read(ms(2_000), read(2, ms(1_990), false));
    gateway.record_configuration_read(ms(2_300), read(2, ms(2_100), true));
    assert_eq!(age_at(&gateway, 2_300), 200);
}

#[test]
fn late_answer_of_an_earlier_era_confirms_nothing() {
    let mut gateway = confirmed();
    gateway.record_configuration_read(ms(2_000), read(2, ms(1_990), false));
    gateway.record_configuration_read(ms(2_100), read(1, ms(2_050), true));
    assert_eq!(age_at(&gateway, 2_100), 1_100);
}

/// Guards against keys that a lost configuration had revoked: a node that never
/// read that configuration hears from its peers that there is one.
#[test]
fn older_configuration_than_that_of_a_peer_is_not_confirmed() {
    let mut ahead = gateway(ms(0), BTreeMap::new());
    ahead.set_configuration(configuration(9));
    let report = ahead.report(ms(900), true, None, ReportRecipient::Hub);
    let mut behind = confirmed();
    behind.apply_report(ms(1_100), id("ahead"), Source::Hub, report);
    behind.record_configuration_read(ms(2_000), read(1, ms(1_990), true));
    behind.confirm_configuration(ms(2_000));
    assert_eq!(age_at(&behind, 2_000), 1_000);
    assert!(behind.route(ms(6_000), HOST, "/log/1", Some(KEY)).is_err());
    behind.set_configuration(configuration(9));
    behind.record_configuration_read(ms(6_000), read(1, ms(5_990), true));
    assert!(behind.route(ms(6_000), HOST, "/log/1", Some(KEY)).is_ok());
}

/// Guards against a key that a lost configuration had revoked: a node that starts while the
/// store is back from the copy can't know how long ago it returned.
#[test]
fn node_that_starts_in_a_later_era_confirms_nothing_until_the_configuration_can_be_written() {
    let mut gateway = started(ms(1_000), 1);
    assert!(!accepts_key(&gateway, ms(1_000)));
    gateway.record_configuration_read(ms(3_200), read(1, ms(3_100), false));
    assert!(!accepts_key(&gateway, ms(3_200)));
    let public = gateway.route(ms(3_200), HOST, "/open/1", None);
    assert!(public.is_ok(), "a public route needs no confirmation");
    gateway.record_configuration_read(ms(3_500), read(1, ms(3_400), false));
    assert!(
        accepts_key(&gateway, ms(3_500)),
        "it does not wait for ever"
    );
    assert!(accepts_key(&started(ms(1_000), 0), ms(1_000)));
}

#[test]
fn write_in_a_later_era_confirms_at_a_node_that_has_just_started() {
    let mut gateway = started(ms(1_000), 1);
    gateway.set_configuration(configuration(2));
    gateway.record_configuration_read(ms(1_400), read(1, ms(1_300), true));
    assert!(accepts_key(&gateway, ms(1_400)));
}

/// Guards against refusing keys at each start of a node because the store has once returned
/// from a copy.
#[test]
fn peer_with_the_same_version_confirms_it_at_a_node_that_has_just_started() {
    let mut peer = confirmed();
    peer.record_configuration_read(ms(9_000), read(1, ms(9_000), false));
    let mut gateway = started(ms(10_000), 1);
    report_to(&mut gateway, ms(10_200), &peer);
    assert!(accepts_key(&gateway, ms(10_200)));
    assert_eq!(age_at(&gateway, 10_200), 1_200, "as old as at the peer");
}

/// Guards against taking a peer's word for a version that it could not confirm lately, or
/// for another one.
#[test]
fn peer_with_an_old_confirmation_or_another_version_confirms_nothing() {
    let mut gateway = started(ms(10_000), 1);
    report_to(&mut gateway, ms(10_200), &confirmed());
    assert!(!accepts_key(&gateway, ms(10_200)), "9.2 s old");
    let mut newer = confirmed();
    newer.set_configuration(configuration(9));
    newer.record_configuration_read(ms(10_200), read(1, ms(10_200), false));
    report_to(&mut gateway, ms(10_300), &newer);
    gateway.record_configuration_read(ms(13_000), read(1, ms(12_900), false));
    assert!(!accepts_key(&gateway, ms(13_000)));
    assert!(gateway.is_left_behind(ms(13_000)), "the peer checks keys");
}

/// Guards against a confirmation by a copy that counts on after a peer has named a newer
/// version.
#[test]
fn newer_version_of_a_peer_ends_a_confirmation_that_may_rest_on_a_copy() {
    let mut gateway = confirmed();
    gateway.record_configuration_read(ms(2_000), read(2, ms(1_990), false));
    gateway.record_configuration_read(ms(4_400), read(2, ms(4_390), false));
    assert!(accepts_key(&gateway, ms(4_400)));
    let mut newer = confirmed();
    newer.set_configuration(configuration(9));
    report_to(&mut gateway, ms(4_500), &newer);
    assert!(!accepts_key(&gateway, ms(4_500)));
    assert!(gateway.route(ms(4_500), HOST, "/open/1", None).is_ok());
    gateway.set_configuration(configuration(9));
    gateway.record_configuration_read(ms(4_700), read(2, ms(4_600), true));
    assert!(accepts_key(&gateway, ms(4_700)));
}

/// Guards against the same at a leaf, which reads the configuration in a new era only when
/// its hub names a newer one.
#[test]
fn newer_version_of_a_peer_ends_a_confirmation_by_a_hub_in_a_later_era() {
    let mut hub = confirmed();
    hub.record_configuration_read(ms(2_000), read(2, ms(1_990), false));
    hub.record_configuration_read(ms(4_400), read(2, ms(4_390), false));
    let mut leaf = confirmed();
    leaf.record_registry_read(ms(2_000), position(2, 3));
    let view = hub.store_view(ms(4_500), None);
    leaf.apply_store_view(ms(4_510), ms(4_490), view);
    assert!(accepts_key(&leaf, ms(4_510)));
    let mut newer = confirmed();
    newer.set_configuration(configuration(9));
    report_to(&mut leaf, ms(4_600), &newer);
    assert!(!accepts_key(&leaf, ms(4_600)));
}

/// Guards against refusing keys at each new version until it was read.
#[test]
fn newer_version_of_a_peer_does_not_end_a_confirmation_that_proves_its_age() {
    let mut gateway = confirmed();
    let mut newer = confirmed();
    newer.set_configuration(configuration(9));
    report_to(&mut gateway, ms(1_200), &newer);
    assert!(accepts_key(&gateway, ms(1_200)));
    assert!(!accepts_key(&gateway, ms(1_000 + 4_600)));
}

/// Load pattern: the store refuses a part of the nodes. Their callers are sent to
/// the others at once; if no node can check keys, they return spread over time.
#[test]
fn caller_uses_another_node_only_if_that_one_can_check_keys() {
    let mut node = confirmed();
    let mut peer = confirmed();
    let now = ms(7_000);
    assert!(!node.is_left_behind(now), "no node is known to be better");
    assert!(node.retry_after_unconfirmed(now) >= Duration::from_millis(700));
    peer.record_configuration_read(ms(6_900), read(1, ms(6_890), false));
    let report = peer.report(ms(6_950), true, None, ReportRecipient::Hub);
    node.apply_report(ms(7_000), id("peer"), Source::Hub, report);
    assert!(node.is_left_behind(now));
    assert!(node.retry_after_unconfirmed(now) <= Duration::from_millis(100));
    assert!(!node.is_left_behind(ms(12_000)), "the report is too old");
    node.record_configuration_read(ms(7_010), read(1, ms(7_000), false));
    assert!(!node.is_left_behind(ms(7_010)));
}

fn node(at: StorePosition) -> Gateway {
    let mut node = gateway(ms(0), empty_engines());
    node.record_registry_read(ms(0), at);
    node
}

/// Offsets are given out again in a new era, so equal offsets mean nothing.
#[test]
fn views_of_two_eras_are_not_mixed() {
    let mut hub = node(position(1, 10));
    let mut leaf = node(position(1, 10));
    hub.record_registry_read(ms(100), position(2, 5));
    hub.set_server(ms(150), &name(3), None);
    hub.record_registry_read(ms(200), position(2, 10));
    assert_eq!(
        hub.store_view(ms(300), Some(position(1, 10))).registry,
        None
    );
    let view = hub.store_view(ms(300), Some(position(2, 5)));
    assert!(view.registry.is_some());
    let effects = leaf.apply_store_view(ms(310), ms(290), view);
    assert_eq!(effects.changes, [], "the leaf is in an earlier era");
    assert_eq!(leaf.registry_end(), Some(position(1, 10)));
}

#[test]
fn leaf_in_a_later_era_ignores_its_hub() {
    let mut hub = node(position(1, 10));
    hub.set_server(ms(100), &name(3), None);
    hub.record_registry_read(ms(100), position(1, 14));
    let view = hub.store_view(ms(150), Some(position(1, 10)));
    let mut leaf = node(position(2, 3));
    let effects = leaf.apply_store_view(ms(160), ms(140), view);
    assert_eq!(effects.changes, []);
    assert_eq!(leaf.registry_end(), Some(position(2, 3)));
}

#[test]
fn removed_server_is_remembered_until_it_registers_again() {
    let entry = server(1, PLAIN, "centro");
    let mut gateway = gateway(ms(0), BTreeMap::from([(name(1), entry.clone())]));
    assert!(!gateway.servers().was_removed(&name(1), &entry));
    gateway.set_servers(ms(10), BTreeMap::new());
    assert!(gateway.servers().was_removed(&name(1), &entry));
    let mut restarted = entry.clone();
    restarted.started_ms = Some(2);
    assert!(!gateway.servers().was_removed(&name(1), &restarted));
    gateway.set_server(ms(20), &name(1), Some(entry.clone()));
    assert!(!gateway.servers().was_removed(&name(1), &entry));
}

#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Restore,
    Restart,
    Read { delay: u8, from_start: bool },
    Write,
    Wait { ms: u16 },
}

/// For any history of restores, writes, restarts of the process and late answers, the
/// confirmation is never younger than the newest configuration that the store holds or has
/// lost.
#[test]
fn no_history_confirms_a_configuration_that_was_replaced() {
    check(0x5eed, INVARIANT_CASES, |steps: Vec<Step>| {
        let mut gateway = confirmed();
        let (mut now, mut era) = (ms(1_000), 1);
        // Versions in the store, and the latest one that was acknowledged.
        let (mut stored, mut acknowledged) = (1, 1);
        // When the lost versions are written again, and the reads before that.
        let mut rewrite_at: Option<Timestamp> = None;
        let mut has_read_era = true;
        let mut replaced_at: Option<Timestamp> = None;
        for step in steps {
            match step {
                Step::Wait { ms } => now = now + Duration::from_millis(u64::from(ms) % 2_000),
                Step::Restore => {
                    (era, has_read_era) = (era + 1, false);
                    stored = 1;
                    // Operators write again within two seconds.
                    rewrite_at = (acknowledged > 1).then(|| now + Duration::from_millis(2_000));
                }
                Step::Restart => {
                    gateway = Gateway::new(gateway_config(), 7);
                    (replaced_at, has_read_era) = (None, false);
                }
                Step::Write => {
                    acknowledged += 1;
                    stored = acknowledged;
                    rewrite_at = None;
                    replaced_at.get_or_insert(now);
                }
                Step::Read { delay, from_start } => {
                    if rewrite_at.is_some_and(|at| now >= at) {
                        (stored, rewrite_at) = (acknowledged, None);
                    }
                    let sent = now;
                    now = now + Duration::from_millis(delay.into());
                    if gateway.set_configuration(configuration(stored)) {
                        replaced_at = (stored < acknowledged).then_some(sent);
                    }
                    let written = has_read_era && !from_start && stored == acknowledged;
                    gateway.record_configuration_read(now, read(era, sent, written));
                    has_read_era = true;
                    if stored == acknowledged {
                        replaced_at = None;
                    }
                }
            }
            if let (Some(replaced_at), Some(age)) = (replaced_at, gateway.confirmation_age(now)) {
                let confirmed_at = now - age;
                assert!(
                    confirmed_at <= replaced_at + Duration::from_millis(1),
                    "confirmed at {confirmed_at:?}, replaced at {replaced_at:?}"
                );
            }
        }
    });
}
