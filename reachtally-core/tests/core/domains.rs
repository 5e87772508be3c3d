//! Tests of failure domains: membership, replication of the configuration, and the lease and orders of the steward.

use std::time::Duration;

use reachtally_core::declare::{Adapter, Kind, Model, Object};
use reachtally_core::fold::{Edit, EditChange};
use reachtally_core::lease::{DomainRecord, Domains, LEASE, LEASE_MARGIN};
use reachtally_core::life::Refusal;
use reachtally_core::member::MEMBER_TIMEOUT;
use reachtally_core::systems::gossip::PAUSE_THRESHOLD;
use reachtally_core::systems::steward::{Order, STOP_IDLE_TIME};
use reachtally_core::{Incarnation, Limits};
use reachtally_standin::fabric::{End, Fabric};

use crate::setup::*;

/// The domain of each daemon. All engines are in `d1`.
const DOMAINS: [&str; 5] = ["d1", "d1", "d1", "d2", "d2"];

fn joined() -> Fabric {
    let mut fabric = fabric(DOMAINS.len());
    fabric.join(&DOMAINS);
    fabric.run_for(8 * SECOND);
    fabric
}

fn stewards(fabric: &Fabric, domain: &str) -> Vec<usize> {
    let daemons = 0..fabric.nodes.len();
    let is_acting_steward = |daemon: &usize| {
        let paused = fabric.nodes[*daemon].paused_until > fabric.now;
        DOMAINS[*daemon] == domain && !paused && fabric.nodes[*daemon].world.is_steward(fabric.now)
    };
    daemons.filter(is_acting_steward).collect()
}

fn live(fabric: &Fabric, daemon: usize) -> Vec<String> {
    let members = fabric.nodes[daemon].world.live_members(fabric.now);
    members.map(|member| member.box_name.clone()).collect()
}

fn new_model(fabric: &mut Fabric, name: &str) {
    fabric.declare(vec![Object::Model(Model {
        name: name.to_owned(),
        layers: 4,
    })]);
}

fn offsets(fabric: &Fabric) -> Vec<u64> {
    fabric
        .nodes
        .iter()
        .map(|node| node.world.config.next())
        .collect()
}

#[test]
fn daemons_know_only_members_of_their_own_domain() {
    let fabric = joined();
    assert_eq!(live(&fabric, 0), ["b1", "b2"]);
    assert_eq!(live(&fabric, 4), ["b3"]);
}

#[test]
fn silent_daemon_is_no_member_after_the_timeout() {
    let mut fabric = joined();
    let resume = fabric.now + 1000 * SECOND;
    fabric.pause(1, resume);
    fabric.run_for(MEMBER_TIMEOUT + 5 * SECOND);
    assert_eq!(live(&fabric, 0), ["b2"]);
}

#[test]
fn daemon_without_the_log_gets_the_configuration_from_peers() {
    let mut fabric = joined();
    fabric.log.cut.insert(1);
    new_model(&mut fabric, "new");
    let published_at = fabric.now;
    fabric.run_for(Duration::from_millis(100));
    assert_eq!(offsets(&fabric), [2, 2, 2, 2, 2]);
    assert!(fabric.now.since(published_at) < SECOND);
}

#[test]
fn isolated_domain_serves_with_its_last_configuration_and_catches_up() {
    let mut fabric = joined();
    fabric.log.cut.extend([0, 1, 2]);
    new_model(&mut fabric, "new");
    fabric.run_for(30 * SECOND);
    assert_eq!(offsets(&fabric), [1, 1, 1, 2, 2]);
    let key = fabric.ask(0, completion(5));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, key, 5);
    fabric.reconnect_log();
    fabric.run_for(SECOND);
    assert_eq!(offsets(&fabric), [2, 2, 2, 2, 2]);
}

#[test]
fn daemon_far_behind_adopts_a_snapshot_of_a_peer() {
    let mut fabric = joined();
    fabric.log.cut.insert(1);
    fabric.partitioned_daemons.insert(1);
    for n in 0..600 {
        new_model(&mut fabric, &format!("m{n}"));
    }
    fabric.run_for(2 * SECOND);
    assert_eq!(offsets(&fabric)[1], 1);
    fabric.partitioned_daemons.clear();
    fabric.run_for(10 * SECOND);
    assert_eq!(offsets(&fabric)[1], 601);
    assert_eq!(fabric.nodes[1].world.config, fabric.nodes[0].world.config);
}

#[test]
fn snapshots_are_written_and_not_ahead_of_the_log() {
    let mut fabric = joined();
    for n in 0..450 {
        new_model(&mut fabric, &format!("m{n}"));
    }
    fabric.run_for(2 * SECOND);
    let snapshots = &fabric.log.snapshots;
    assert!(snapshots.len() >= 2, "{}", snapshots.len());
    let last = snapshots
        .iter()
        .max_by_key(|config| config.next())
        .expect("a snapshot exists");
    let mut other = fabric.nodes[3].world.config.clone();
    assert!(!other.adopt(last.clone()), "a snapshot is ahead of the log");
    assert!(last.next() >= 400);
}

#[test]
fn each_domain_has_one_steward_that_confirms_the_configuration() {
    let mut fabric = joined();
    assert_eq!(stewards(&fabric, "d1").len(), 1);
    assert_eq!(stewards(&fabric, "d2").len(), 1);
    new_model(&mut fabric, "new");
    fabric.run_for(5 * SECOND);
    let domains = fabric.nodes[0].world.domains();
    assert_eq!(domains.get("d1").confirmed, 2);
    assert_eq!(domains.get("d2").confirmed, 2);
}

#[test]
fn isolated_domain_is_reported_as_behind() {
    let mut fabric = joined();
    fabric.run_for(5 * SECOND);
    fabric.log.cut.extend([3, 4]);
    new_model(&mut fabric, "new");
    fabric.run_for(10 * SECOND);
    let domains = fabric.nodes[0].world.domains();
    assert_eq!(domains.get("d1").confirmed, 2);
    assert_eq!(domains.get("d2").confirmed, 1);
}

#[test]
fn paused_steward_is_replaced_and_does_not_act_on_resume() {
    let mut fabric = joined();
    let first = stewards(&fabric, "d1")[0];
    let resume = fabric.now + 60 * SECOND;
    fabric.pause(first, resume);
    for _ in 0..65 {
        fabric.run_for(SECOND);
        assert!(
            stewards(&fabric, "d1").len() <= 1,
            "more than one steward at once"
        );
    }
    let second = stewards(&fabric, "d1");
    assert_eq!(second.len(), 1);
    assert_ne!(second[0], first);
}

#[test]
fn lease_expires_during_a_log_outage_and_no_steward_acts() {
    let mut fabric = joined();
    fabric.log.down = true;
    fabric.run_for(LEASE);
    assert!(stewards(&fabric, "d1").is_empty());
    fabric.reconnect_log();
    fabric.run_for(30 * SECOND);
    assert_eq!(stewards(&fabric, "d1").len(), 1);
}

#[test]
fn lease_is_granted_only_after_the_previous_one_expired_by_the_log_clock() {
    let mut domains = Domains::default();
    let lease = |holder| DomainRecord::Lease {
        domain: "d".to_owned(),
        holder: Incarnation(holder),
        seq: 0,
    };
    let lasts = LEASE.as_millis() as u64;
    domains.fold(0, 0, &lease(1));
    domains.fold(1, lasts - 1, &lease(2));
    let held = domains.get("d").lease.expect("lease is held");
    assert_eq!((held.holder, held.fence), (Incarnation(1), 0));
    domains.fold(2, lasts - 1, &lease(1));
    domains.fold(3, 2 * lasts - 2, &lease(2));
    assert_eq!(
        domains.get("d").lease.expect("lease is held").holder,
        Incarnation(1)
    );
    domains.fold(4, 2 * lasts - 1, &lease(2));
    let held = domains.get("d").lease.expect("lease is held");
    assert_eq!((held.holder, held.fence), (Incarnation(2), 4));
    // A holder whose lease has expired gets a new fence like any other.
    domains.fold(5, 5 * lasts, &lease(2));
    assert_eq!(domains.get("d").lease.expect("lease is held").fence, 5);
}

#[test]
fn only_the_lease_holder_confirms_and_the_confirmed_offset_never_falls() {
    let mut domains = Domains::default();
    let confirm = |holder, config_next| DomainRecord::Confirm {
        domain: "d".to_owned(),
        holder: Incarnation(holder),
        config_next,
    };
    let lease = DomainRecord::Lease {
        domain: "d".to_owned(),
        holder: Incarnation(1),
        seq: 0,
    };
    domains.fold(0, 0, &lease);
    domains.fold(1, 1, &confirm(2, 9));
    assert_eq!(domains.get("d").confirmed, 0);
    domains.fold(2, 2, &confirm(1, 5));
    domains.fold(3, 3, &confirm(1, 4));
    assert_eq!(domains.get("d").confirmed, 5);
}

fn declare_adapter(fabric: &mut Fabric) {
    fabric.declare(vec![Object::Adapter(Adapter {
        name: "tiles".to_owned(),
        model: MODEL.to_owned(),
    })]);
}

fn loaded(fabric: &Fabric, url: &str) -> bool {
    fabric.engines[url].state.report().loaded.contains("tiles")
}

#[test]
fn declared_adapter_is_loaded_on_every_engine_and_unloaded_when_removed() {
    let mut fabric = joined();
    declare_adapter(&mut fabric);
    fabric.run_for(5 * SECOND);
    let urls: Vec<String> = fabric.engines.keys().cloned().collect();
    for url in &urls {
        assert!(loaded(&fabric, url), "{url}");
    }
    let base = fabric.config().revision(Kind::Adapter, "tiles");
    fabric.publish(vec![Edit {
        kind: Kind::Adapter,
        name: "tiles".to_owned(),
        base,
        change: EditChange::Remove,
    }]);
    fabric.run_for(5 * SECOND);
    for url in &urls {
        assert!(!loaded(&fabric, url), "{url}");
    }
    // Only the steward of the domain of the engines sends orders, each once.
    let steward = stewards(&fabric, "d1")[0];
    assert!(fabric.orders.iter().all(|(daemon, ..)| *daemon == steward));
    assert_eq!(fabric.orders.len(), 2 * urls.len());
}

#[test]
fn restarted_engine_gets_its_load_order_again() {
    let mut fabric = joined();
    declare_adapter(&mut fabric);
    fabric.run_for(5 * SECOND);
    let url = engine_url(0, 0);
    restart_empty(&mut fabric, &url);
    assert!(!loaded(&fabric, &url));
    fabric.run_for(5 * SECOND);
    assert!(loaded(&fabric, &url));
}

#[test]
fn no_orders_to_targets_without_fence_checks_during_a_log_outage() {
    let mut fabric = joined();
    fabric.log.down = true;
    fabric.run_for(LEASE - LEASE_MARGIN);
    let before = fabric.orders.len();
    let url = engine_url(0, 0);
    restart_empty(&mut fabric, &url);
    fabric.run_for(60 * SECOND);
    assert_eq!(fabric.orders.len(), before);
}

fn stop(fabric: &mut Fabric, name: &str) {
    let base = fabric.config().revision(Kind::Engine, name);
    fabric.publish(vec![Edit {
        kind: Kind::Engine,
        name: name.to_owned(),
        base,
        change: EditChange::Stop(true),
    }]);
}

fn stopped(fabric: &Fabric, url: &str) -> bool {
    fabric
        .orders
        .iter()
        .any(|(_, to, _, order)| to == url && *order == Order::Stop)
}

#[test]
fn planned_stop_waits_for_running_requests() {
    let mut fabric = joined();
    // The request runs on a daemon that is not the steward.
    let daemon = (0..3).find(|daemon| !stewards(&fabric, "d1").contains(daemon));
    let daemon = daemon.expect("two daemons are not stewards");
    let key = fabric.ask(daemon, completion(400));
    fabric.run_for(SECOND);
    let serving = fabric.nodes[daemon]
        .world
        .serving(key, 1)
        .expect("request runs")
        .to_owned();
    let url = format!("http://{serving}");
    stop(&mut fabric, &serving);
    fabric.run_for(8 * SECOND);
    assert_eq!(end(&fabric, daemon, key), None, "the request has not ended");
    assert!(!stopped(&fabric, &url));
    fabric.run_for(20 * SECOND);
    assert!(matches!(
        end(&fabric, daemon, key),
        Some(End::Completed { .. })
    ));
    assert!(stopped(&fabric, &url));
    let ended_at = fabric.nodes[daemon].answered[&key]
        .ended_at
        .expect("request has ended");
    assert!(fabric.now.since(ended_at) >= STOP_IDLE_TIME);
}

#[test]
fn planned_stop_waits_for_daemons_that_have_not_confirmed_the_drain() {
    let mut fabric = joined();
    let steward = stewards(&fabric, "d1")[0];
    let other = (0..3)
        .find(|daemon| *daemon != steward)
        .expect("two daemons are not stewards");
    fabric.log.cut.insert(other);
    fabric.partitioned_daemons.insert(other);
    stop(&mut fabric, "e10");
    fabric.run_for(15 * SECOND);
    assert!(!stopped(&fabric, &engine_url(1, 0)));
    // Once the daemon is no longer a member, it does not delay the stop.
    fabric.run_for(MEMBER_TIMEOUT);
    assert!(stopped(&fabric, &engine_url(1, 0)));
}

#[test]
fn resumed_daemon_admits_nothing_until_its_configuration_is_compared() {
    let mut fabric = joined();
    let resume = fabric.now + PAUSE_THRESHOLD + 10 * SECOND;
    fabric.pause(0, resume);
    fabric.run_for(5 * SECOND);
    // Messages sent before the cut arrive when it resumes, and prove nothing.
    fabric.log.cut.insert(0);
    fabric.partitioned_daemons.insert(0);
    fabric.run_until(resume);
    let refused = fabric.ask(0, completion(2));
    assert_eq!(
        end(&fabric, 0, refused),
        Some(&End::NotRun(Refusal::Paused))
    );
    // Without any contact it resumes with its own configuration after a delay.
    fabric.run_for(3 * SECOND);
    let served = fabric.ask(0, completion(2));
    fabric.run_for(5 * SECOND);
    assert_complete(&fabric, served, 2);
    assert!(world(&fabric).counters.pauses_noticed >= 1);
}

#[test]
fn new_daemon_gets_the_configuration_during_a_log_outage() {
    let mut fabric = joined();
    new_model(&mut fabric, "new");
    fabric.run_for(SECOND);
    fabric.log.down = true;
    fabric.restart(1, 77, &Limits::default());
    fabric.rejoin(1);
    assert_eq!(offsets(&fabric)[1], 0);
    fabric.run_for(15 * SECOND);
    assert_eq!(offsets(&fabric)[1], 2);
}

#[test]
fn resumed_daemon_uses_the_new_configuration_at_once() {
    let mut fabric = joined();
    let resume = fabric.now + PAUSE_THRESHOLD + 10 * SECOND;
    fabric.pause(0, resume);
    fabric.run_for(SECOND);
    fabric.drain(Kind::Engine, "e00", true);
    fabric.run_until(resume);
    fabric.run_for(SECOND / 10);
    let key = fabric.ask(0, completion(2));
    assert_eq!(world(&fabric).serving(key, 0), Some("e01"));
}
