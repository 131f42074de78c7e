//! Updates of the configuration between nodes, and what a node does that is behind.

mod gateway_fakes;

use std::{collections::BTreeMap, time::Duration};

use bolero_generator::TypeGenerator;
use gateway_fakes::{HOST, KEY, configuration, gateway, gateway_config, id, ms, position};
use radishhaven_cases::check;
use radishhaven_core::{
    gateway::{
        Configuration, Gateway, Organisation, StoreEra, StorePosition,
        config_update::{ConfigurationBase, UpdateError},
        peers::{ReportRecipient, Source},
        state::Rejection,
    },
    time::Timestamp,
};

/// Time within which a configuration must be in force.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2_000);

/// A gateway that has read this configuration from the store.
fn node(configuration: Configuration) -> Gateway {
    let mut node = Gateway::new(gateway_config(), 7);
    node.record_configuration_end(position(configuration.version));
    node.set_configuration(configuration);
    node
}

/// A gateway that other nodes ask for updates.
fn hub(configuration: Configuration) -> Gateway {
    let mut hub = node(configuration);
    hub.keep_configuration_history(true);
    hub
}

/// One change by the operators.
#[derive(Debug, Clone, TypeGenerator)]
enum Change {
    PutRoute { name: u8, priority: u8 },
    RemoveRoute { name: u8 },
    PutKey { organisation: u8, key: u8 },
    RemoveOrganisation { organisation: u8 },
    SetKeys { are_required: bool },
    RemoveServices,
    SetBodyLimit { bytes: u16 },
}

impl Change {
    fn apply(&self, cfg: &mut Configuration) {
        let template = configuration(1);
        let route_name = |name: u8| format!("route-{}", name % 6);
        let organisation_id = |number: u8| id(&format!("org-{}", number % 3));
        match *self {
            Self::PutRoute { name, priority } => {
                let mut route = template.routes.values().next().expect("a route").clone();
                route.priority = radishhaven_core::ids::Priority(priority % 4);
                cfg.routes.insert(route_name(name), route);
            }
            Self::RemoveRoute { name } => drop(cfg.routes.remove(&route_name(name))),
            Self::PutKey { organisation, key } => {
                let organisation = organisation_id(organisation);
                let keys = vec![format!("key-{key}")];
                let entry = Organisation {
                    keys,
                    priority: None,
                };
                let organisations = cfg.organisations.get_or_insert_default();
                organisations.insert(organisation, entry);
            }
            Self::RemoveOrganisation { organisation } => {
                if let Some(organisations) = &mut cfg.organisations {
                    organisations.remove(&organisation_id(organisation));
                }
            }
            Self::SetKeys { are_required: true } => {
                cfg.organisations.get_or_insert_default();
            }
            Self::SetKeys {
                are_required: false,
            } => cfg.organisations = None,
            Self::RemoveServices => cfg.services.clear(),
            Self::SetBodyLimit { bytes } => cfg.limits.max_body_bytes = bytes.into(),
        }
    }
}

/// Whatever the operators change, and however many versions a node has missed, it ends
/// with the configuration of the node that it asks.
#[test]
fn updates_lead_to_the_same_configuration() {
    check(11, 1_000, |versions: Vec<(Vec<Change>, bool)>| {
        let mut current = configuration(1);
        let (mut hub, mut leaf) = (hub(current.clone()), node(current.clone()));
        for (changes, is_followed) in versions {
            current.version += 2;
            changes.iter().for_each(|change| change.apply(&mut current));
            hub.set_configuration(current.clone());
            hub.record_configuration_end(position(current.version));
            if is_followed {
                let update = hub.configuration_update(leaf.configuration_base());
                let update = update.expect("the hub has a configuration");
                leaf.apply_configuration_update(update)
                    .expect("the update applies");
                assert_eq!(leaf.configuration(), hub.configuration());
                assert_eq!(leaf.configuration_end(), hub.configuration_end());
            }
        }
    });
}

/// Guards against the cost of sending thousands of unchanged routes to each node.
#[test]
fn update_holds_only_what_has_changed() {
    let mut hub = hub(configuration(1));
    let mut changed = configuration(2);
    let (name, _) = changed.routes.pop_first().expect("a route");
    hub.set_configuration(changed);
    hub.record_configuration_end(position(2));
    let base = node(configuration(1)).configuration_base();
    let update = hub.configuration_update(base).expect("an update");
    assert_eq!(update.base, Some(1));
    assert_eq!(update.routes, BTreeMap::from([(name, None)]));
    assert!(update.services.is_empty() && update.organisations.is_empty());
}

#[test]
fn unknown_base_gets_the_whole() {
    let mut hub = hub(configuration(5));
    hub.set_configuration(configuration(6));
    let era = StoreEra(0);
    let unknown = ConfigurationBase { version: 3, era };
    let other_era = ConfigurationBase {
        version: 5,
        era: StoreEra(1),
    };
    for base in [None, Some(unknown), Some(other_era)] {
        let update = hub.configuration_update(base).expect("an update");
        assert_eq!(update.base, None);
        let mut leaf = Gateway::new(gateway_config(), 7);
        leaf.apply_configuration_update(update)
            .expect("the whole applies");
        assert_eq!(leaf.configuration(), hub.configuration());
    }
}

/// An update that was asked for before another one was applied must change nothing.
#[test]
fn update_of_another_base_is_not_applied() {
    let mut hub = hub(configuration(1));
    hub.set_configuration(configuration(4));
    hub.record_configuration_end(position(4));
    let mut leaf = node(configuration(1));
    let late = hub.configuration_update(leaf.configuration_base());
    let late = late.expect("an update");
    leaf.set_configuration(configuration(2));
    let expected = UpdateError::OtherBase {
        expected: 1,
        active: 2,
    };
    assert_eq!(leaf.apply_configuration_update(late.clone()), Err(expected));
    let mut ahead = node(configuration(1));
    let whole = hub.configuration_update(None).expect("an update");
    ahead.set_configuration(configuration(4));
    assert!(ahead.apply_configuration_update(whole).is_err());
    assert_eq!(ahead.configuration().map(|c| c.version), Some(4));
}

/// The positions of another era are not comparable, so a node that has read the store
/// keeps its own.
#[test]
fn position_of_another_era_is_not_taken_over() {
    let mut hub = hub(configuration(7));
    let later = StorePosition {
        era: StoreEra(1),
        offset: 2,
    };
    hub.record_configuration_end(later);
    let mut leaf = node(configuration(1));
    let update = hub.configuration_update(None).expect("an update");
    leaf.apply_configuration_update(update)
        .expect("the update applies");
    assert_eq!(leaf.configuration_end(), Some(position(1)));
}

/// Sends the report of a peer.
fn report_to(node: &mut Gateway, now: Timestamp, peer: &Gateway) {
    let report = peer.report(now, true, None, ReportRecipient::Hub);
    node.apply_report(now, id("peer"), Source::Hub, report);
}

/// Guards against a node that goes on with a replaced configuration: public routes need no
/// confirmation, and keys are accepted for longer than a change may take.
#[test]
fn replaced_configuration_is_used_for_a_limited_time() {
    let mut behind = gateway(ms(0), BTreeMap::new());
    let peer = node(configuration(2));
    let route = |node: &Gateway, at| node.route(at, HOST, "/open/1", None).map(|_| ());
    for at in (0..=1_400).step_by(200) {
        report_to(&mut behind, ms(at), &peer);
    }
    assert_eq!(route(&behind, ms(1_100)), Ok(()));
    assert_eq!(route(&behind, ms(1_400)), Err(Rejection::Outdated));
    let keyed = behind.route(ms(1_400), HOST, "/log/1", Some(KEY));
    assert_eq!(keyed.map(|_| ()), Err(Rejection::Outdated));
    assert!(behind.is_left_behind(ms(1_400)), "callers use other nodes");
    behind.set_configuration(configuration(2));
    assert_eq!(route(&behind, ms(1_400)), Ok(()));
}

/// Callers have no better node if those with the newer configuration are gone.
#[test]
fn replaced_configuration_is_used_while_no_peer_has_a_newer_one() {
    let mut behind = gateway(ms(0), BTreeMap::new());
    report_to(&mut behind, ms(0), &node(configuration(2)));
    let route = behind.route(ms(4_000), HOST, "/open/1", None);
    assert!(route.is_ok(), "{route:?}");
}

/// What happens in 200 ms, beside the reads of the hub.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Tick {
    /// The operators write a new version.
    writes: bool,
    /// The leaf hears the hub.
    hears_hub: bool,
    /// The leaf can fetch an update from the hub.
    reaches_hub: bool,
    /// The leaf can read the store.
    reaches_store: bool,
}

/// A leaf that hears its hub never handles a request by a version that was replaced longer
/// ago than a change may take, whether or not it can read the store or the hub.
#[test]
fn no_history_lets_a_leaf_in_contact_use_a_replaced_configuration() {
    check(13, 2_000, |ticks: Vec<Tick>| {
        let (mut hub, mut leaf) = (hub(configuration(1)), node(configuration(1)));
        let mut written_at: BTreeMap<u64, Timestamp> = BTreeMap::from([(1, ms(0))]);
        // The latest times at which the leaf did not hear the hub.
        let mut silent_at = ms(0);
        for (number, tick) in ticks.into_iter().enumerate() {
            let now = ms(200 * (1 + number as u64));
            let newest = *written_at.keys().next_back().expect("a version");
            if tick.writes {
                written_at.insert(newest + 1, now);
            }
            if hub.set_configuration(configuration(newest)) {
                hub.record_configuration_end(position(newest));
            }
            if tick.hears_hub {
                report_to(&mut leaf, now, &hub);
            } else {
                silent_at = now;
            }
            if !leaf.has_newest_known_configuration() {
                if tick.reaches_hub {
                    let update = hub.configuration_update(leaf.configuration_base());
                    leaf.apply_configuration_update(update.expect("an update"))
                        .expect("the update applies");
                } else if tick.reaches_store {
                    leaf.set_configuration(configuration(newest));
                }
            }
            let active = leaf.configuration().map_or(0, |c| c.version);
            let replaced_at = written_at.get(&(active + 1)).copied();
            let bound = now - CONFIGURATION_TIME;
            let in_contact = silent_at < bound;
            if in_contact && replaced_at.is_some_and(|at| at <= bound) {
                let handled = leaf.route(now, HOST, "/open/1", None);
                assert!(handled.is_err(), "version {active} at {now:?}");
            }
        }
    });
}
