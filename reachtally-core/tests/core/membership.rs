//! Targets that leave, are drained or are no longer declared.

use std::time::Duration;

use reachtally_core::Limits;
use reachtally_core::declare::Kind;
use reachtally_core::ids::RequestKey;

use crate::setup::*;

fn list(leaving: &str) -> Vec<(String, bool)> {
    let boxes = ["t00", "t01", "t10", "t11", "t20", "t21"];
    boxes
        .iter()
        .map(|name| ((*name).to_owned(), *name == leaving))
        .collect()
}

fn show(fabric: &mut reachtally_standin::fabric::Fabric, boxes: &[(String, bool)]) {
    let boxes: Vec<(&str, bool)> = boxes.iter().map(|(name, l)| (name.as_str(), *l)).collect();
    fabric.show_list(&boxes);
}

fn requests_at(fabric: &reachtally_standin::fabric::Fabric, url: &str) -> usize {
    fabric.engines[url].state.requests_held()
}

/// Engines of the layers `0..4`, `4..8` and `8..12`; a box that leaves is that of stage 1.
fn leave(fabric: &mut reachtally_standin::fabric::Fabric, key: RequestKey) -> String {
    let serving = world(fabric).serving(key, 1).expect("it runs").to_owned();
    show(fabric, &list(&serving.replace('e', "t")));
    serving
}

#[test]
fn a_box_that_leaves_gets_no_new_work_and_its_requests_move() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list(""));
    let running = fabric.ask(0, completion(60));
    fabric.run_for(Duration::from_millis(500));
    let left = leave(&mut fabric, running);
    let later: Vec<_> = (0..5).map(|_| fabric.ask(0, completion(30))).collect();
    fabric.run_for(Duration::from_millis(300));
    assert_eq!(requests_at(&fabric, &format!("http://{left}")), 0);
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, running, 60);
    for key in later {
        assert_whole(&fabric, key, 30);
    }
    assert_eq!(shifts(&fabric), 1);
}

#[test]
fn kv_is_imported_where_that_is_quicker_than_replay() {
    for (kv_bytes, imports) in [(16, 1), (1 << 24, 0)] {
        let limits = Limits {
            kv_bytes,
            ..Limits::default()
        };
        let mut fabric = fabric_with(1, &limits);
        show(&mut fabric, &list(""));
        let key = fabric.ask(0, completion(60));
        fabric.run_for(Duration::from_millis(500));
        leave(&mut fabric, key);
        fabric.run_for(10 * SECOND);
        assert_whole(&fabric, key, 60);
        assert_eq!(shifts(&fabric), 1);
        assert_eq!(world(&fabric).counters.restored_by_import, imports);
    }
}

#[test]
fn a_box_that_dies_while_its_kv_is_exported_costs_a_replay() {
    let limits = Limits {
        kv_bytes: 16,
        ..Limits::default()
    };
    for moment in 0..40 {
        let mut fabric = fabric_with(1, &limits);
        show(&mut fabric, &list(""));
        let key = fabric.ask(0, completion(60));
        fabric.run_for(Duration::from_millis(500));
        let left = leave(&mut fabric, key);
        fabric.run_for(Duration::from_millis(moment));
        let url = format!("http://{left}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_whole(&fabric, key, 60);
    }
}

#[test]
fn a_request_that_is_nearly_done_ends_where_it_is() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list(""));
    let key = fabric.ask(0, completion(18));
    fabric.run_for(Duration::from_millis(400));
    leave(&mut fabric, key);
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, key, 18);
    assert_eq!(shifts(&fabric), 0);
}

#[test]
fn a_box_the_list_lost_for_a_while_gets_work_again_when_it_is_back() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list("t00")[1..]);
    fabric.ask(0, completion(5));
    fabric.run_for(Duration::from_millis(50));
    assert_eq!(requests_at(&fabric, &engine_url(0, 0)), 0);
    show(&mut fabric, &list(""));
    for _ in 0..16 {
        fabric.ask(0, completion(5));
    }
    fabric.run_for(Duration::from_millis(50));
    assert!(requests_at(&fabric, &engine_url(0, 0)) > 0);
}

#[test]
fn a_drained_target_gets_no_new_work_until_it_is_undrained() {
    let mut fabric = fabric(1);
    fabric.drain(Kind::Engine, "e00", true);
    for _ in 0..4 {
        fabric.ask(0, completion(5));
    }
    fabric.run_for(Duration::from_millis(50));
    assert_eq!(requests_at(&fabric, &engine_url(0, 0)), 0);
    fabric.drain(Kind::Engine, "e00", false);
    for _ in 0..16 {
        fabric.ask(0, completion(5));
    }
    fabric.run_for(Duration::from_millis(50));
    assert!(requests_at(&fabric, &engine_url(0, 0)) > 0);
}

#[test]
fn an_engine_removed_from_the_configuration_loses_its_requests_to_its_replica() {
    let mut fabric = fabric(1);
    let key = fabric.ask(0, completion(30));
    fabric.run_for(Duration::from_millis(200));
    let url = serving(&fabric, 2);
    let name = url.replace("http://", "");
    let base = fabric.config().revision(Kind::Engine, &name);
    fabric.publish(vec![reachtally_core::fold::Edit {
        kind: Kind::Engine,
        name,
        base,
        change: reachtally_core::fold::EditChange::Remove,
    }]);
    fabric.run_for(10 * SECOND);
    let answered = &fabric.nodes[0].answered[&key];
    assert_eq!(answered.tokens.len(), 30, "{:?}", answered.end);
}
