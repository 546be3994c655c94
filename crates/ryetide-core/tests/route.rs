//! Tests of matching a request to its route and organisation.

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use ryetide_core::{
    ids::{OrganisationName, ServiceName},
    route::{RouteError, RouteKind, RouteOrganisation, RouteRule, RouteTable, ServiceShare},
    units::{Revision, TierRank},
};

fn rule(name: &str, prefix: &str, anonymous: bool) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: None,
        patience: None,
        tier: TierRank(2),
        attempts: 1,
        anonymous,
        shares: vec![ServiceShare { service: ServiceName::from("desk"), weight: 1 }],
    }
}

fn organisation(name: &str, tier: Option<u8>, key: &str) -> RouteOrganisation {
    RouteOrganisation {
        name: OrganisationName::from(name),
        tier: tier.map(TierRank),
        quota: None,
        keys: vec![key.to_owned()],
    }
}

fn table() -> RouteTable {
    RouteTable::builder(Revision(3))
        .route(rule("all", "/", true))
        .route(rule("orders", "/orders/", false))
        .route(rule("old-orders", "/orders/old/", false))
        .organisation(organisation("asha", Some(0), "key-a"))
        .organisation(organisation("bina", None, "key-b"))
        .build()
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let found = |path| table.find("desk.example", path, Some("key-a")).unwrap().route.name.clone();
    assert_eq!(found("/orders/old/7"), "old-orders");
    assert_eq!(found("/orders/7"), "orders");
    assert_eq!(found("/orders"), "all");
}

#[test]
fn host_matching_ignores_case_and_port() {
    let table = table();
    assert!(table.find("DESK.Example:8080", "/x", None).is_ok());
    assert_eq!(table.find("other.example", "/x", None).unwrap_err(), RouteError::NoRoute);
}

#[test]
fn missing_or_unknown_keys_are_refused_except_on_anonymous_routes() {
    let table = table();
    for key in [None, Some("key-c")] {
        assert_eq!(table.find("desk.example", "/orders/7", key).unwrap_err(), RouteError::BadKey);
        assert!(table.find("desk.example", "/else", key).is_ok());
    }
}

#[test]
fn the_organisations_tier_takes_precedence_over_the_routes() {
    let table = table();
    let tier = |key| table.find("desk.example", "/orders/7", Some(key)).unwrap().tier();
    assert_eq!(tier("key-a"), TierRank(0));
    assert_eq!(tier("key-b"), TierRank(2));
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = rule("split", "/", true);
    let share = |name: &str, weight| ServiceShare { service: ServiceName::from(name), weight };
    split.shares = vec![share("old", 9), share("new", 1), share("off", 0)];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..10_000 {
        *counts.entry(split.pick_service(&mut rng).unwrap().to_string()).or_insert(0_u32) += 1;
    }
    assert!((8_800..9_200).contains(&counts["old"]), "{counts:?}");
    assert!(!counts.contains_key("off"), "{counts:?}");
}
