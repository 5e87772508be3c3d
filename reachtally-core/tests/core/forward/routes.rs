//! Tests of matching requests to routes and accounts.

use std::time::Duration;

use reachtally_core::forward::routes::{
    Account, Denied, RepeatPolicy, ResponseShape, Route, Table, Urgency,
};

fn route(name: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        repeat: RepeatPolicy::Idempotent,
        shape: ResponseShape::Whole,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 1,
        services: vec![("one".into(), 90), ("two".into(), 10)],
        max_attempts: 2,
        public,
    }
}

fn table() -> Table {
    let mut table = Table::new(1);
    table.add_route("shop.example", "/", route("root", false));
    table.add_route("shop.example", "/a/", route("a", false));
    table.add_route("shop.example", "/a/b/", route("ab", true));
    table
}

fn found(table: &Table, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.to_string())
}

#[test]
fn longest_matching_path_prefix_wins() {
    let table = table();
    assert_eq!(
        found(&table, "shop.example", "/a/b/c").as_deref(),
        Some("ab")
    );
    assert_eq!(found(&table, "shop.example", "/a/bc").as_deref(), Some("a"));
    assert_eq!(found(&table, "shop.example", "/x").as_deref(), Some("root"));
    assert_eq!(found(&table, "other.example", "/a/"), None);
}

#[test]
fn host_matches_regardless_of_port_and_case() {
    let table = table();
    assert_eq!(
        found(&table, "shop.example:8080", "/a/").as_deref(),
        Some("a")
    );
    assert_eq!(found(&table, "Shop.Example", "/a/").as_deref(), Some("a"));
}

#[test]
fn keys_identify_accounts_and_public_routes_need_no_key() {
    let mut table = table();
    assert!(
        table
            .account(&route("r", false), None)
            .expect("no keys are needed")
            .is_none()
    );
    let account = Account {
        name: "acme".into(),
        priority: Some(0),
    };
    table.add_key("secret", account);
    let known = table
        .account(&route("r", false), Some("secret"))
        .expect("the key is known");
    assert_eq!(&*known.expect("the key belongs to an account").name, "acme");
    let denied = table.account(&route("r", false), Some("wrong"));
    assert_eq!(denied.err(), Some(Denied::UnknownKey));
    assert_eq!(
        table.account(&route("r", false), None).err(),
        Some(Denied::UnknownKey)
    );
    assert!(table.account(&route("r", true), Some("wrong")).is_ok());
}

#[test]
fn accounts_without_keys_deny_all_requests() {
    let mut table = table();
    table.require_keys();
    assert_eq!(
        table.account(&route("r", false), Some("any")).err(),
        Some(Denied::UnknownKey)
    );
}

#[test]
fn requests_of_a_route_are_split_by_service_weight() {
    let route = route("r", false);
    let one = (0..1000)
        .filter(|draw| &**route.service(*draw).expect("the route has two services") == "one");
    assert_eq!(one.count(), 900);
}

/// A table whose service `pool` has routes and accounts with these priorities.
fn table_with_priorities(routes: &[u8], accounts: &[Option<u8>]) -> Table {
    let mut table = Table::new(1);
    for priority in routes {
        let route = Route {
            priority: *priority,
            services: vec![("pool".into(), 1)],
            ..route("ranked", false)
        };
        table.add_route("shop.example", &format!("/{priority}/"), route);
    }
    for (number, priority) in accounts.iter().enumerate() {
        let account = Account {
            name: format!("account-{number}").into(),
            priority: *priority,
        };
        table.add_key(&format!("key-{number}"), account);
    }
    table
}

/// Guards against accounts with equal priorities that hide those of the routes: the least urgent requests were then
/// served most.
#[test]
fn route_priority_orders_requests_of_accounts_with_equal_priority() {
    let table = table_with_priorities(&[0, 1, 2], &[Some(1), Some(0)]);
    let priority = |account, route| table.priority("pool", Urgency::new(Some(account), route));
    let priorities: Vec<u8> = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2)]
        .map(|(account, route)| priority(account, route))
        .into();
    assert_eq!(priorities, [0, 1, 2, 3, 4, 5]);
    assert_eq!(table.urgencies("pool").len(), 6);
}

#[test]
fn accounts_without_a_priority_use_that_of_the_route() {
    let table = table_with_priorities(&[0, 2], &[None, Some(1)]);
    let rank = |account, route| table.rank("pool", Urgency::new(account, route));
    assert_eq!(rank(None, 0), 0);
    assert_eq!(rank(Some(1), 0), 1);
    assert_eq!(rank(Some(1), 2), 2);
    assert_eq!(rank(None, 2), 3);
}

#[test]
fn account_priority_is_passed_to_targets_if_all_routes_have_one_priority() {
    let table = table_with_priorities(&[2], &[Some(1), Some(7)]);
    let priority = |account| table.priority("pool", Urgency::new(Some(account), 2));
    assert_eq!((priority(1), priority(7)), (1, 7));
    assert_eq!(table.urgencies("elsewhere"), []);
}

/// Admission is enabled by more than one rank, so route priorities that all accounts override must not count.
#[test]
fn service_has_only_urgencies_that_its_requests_can_have() {
    let mut table = Table::new(1);
    table.add_route("shop.example", "/a/", route("a", false));
    let other = Route {
        priority: 7,
        services: vec![("three".into(), 1)],
        ..route("b", true)
    };
    table.add_route("shop.example", "/b/", other);
    let urgency = |account, route| Urgency { account, route };
    assert_eq!(table.urgencies("one"), [urgency(1, 1)]);
    assert!(table.urgencies("none").is_empty());
    let account = |priority| Account {
        name: "acme".into(),
        priority,
    };
    table.add_key("first", account(Some(0)));
    assert_eq!(table.urgencies("one"), [urgency(0, 1)]);
    assert_eq!(table.urgencies("three"), [urgency(0, 7), urgency(7, 7)]);
    table.add_key("second", account(None));
    assert_eq!(table.urgencies("one"), [urgency(0, 1), urgency(1, 1)]);
}

#[test]
fn shortest_objective_of_a_service_is_the_minimum_over_its_routes() {
    let mut table = table();
    let slow = Route {
        objective: Duration::from_secs(4),
        ..route("slow", false)
    };
    table.add_route("shop.example", "/slow/", slow);
    let shortest = table.shortest_objective("one");
    assert_eq!(shortest, Some(Duration::from_millis(300)));
    assert_eq!(table.shortest_objective("none"), None);
}
