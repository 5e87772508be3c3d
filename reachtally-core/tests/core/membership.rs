//! Tests of targets that leave the list, are drained or are no longer declared.

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
    fabric.set_live_list(&boxes);
}

fn requests_at(fabric: &reachtally_standin::fabric::Fabric, url: &str) -> usize {
    fabric.engines[url].state.requests_held()
}

/// Engines hold the layers `0..4`, `4..8` and `8..12`. Marks the box that serves stage 1 of the request as leaving
/// and returns the name of its engine.
fn leave(fabric: &mut reachtally_standin::fabric::Fabric, key: RequestKey) -> String {
    let serving = world(fabric)
        .serving(key, 1)
        .expect("request runs")
        .to_owned();
    show(fabric, &list(&serving.replace('e', "t")));
    serving
}

#[test]
fn leaving_box_gets_no_new_work_and_its_requests_move() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list(""));
    let running = fabric.ask(0, completion(60));
    fabric.run_for(Duration::from_millis(500));
    let leaving_engine = leave(&mut fabric, running);
    let later: Vec<_> = (0..5).map(|_| fabric.ask(0, completion(30))).collect();
    fabric.run_for(Duration::from_millis(300));
    assert_eq!(requests_at(&fabric, &format!("http://{leaving_engine}")), 0);
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, running, 60);
    for key in later {
        assert_complete(&fabric, key, 30);
    }
    assert_eq!(stage_moves(&fabric), 1);
}

#[test]
fn kv_is_imported_if_faster_than_replay() {
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
        assert_complete(&fabric, key, 60);
        assert_eq!(stage_moves(&fabric), 1);
        assert_eq!(world(&fabric).counters.restored_by_import, imports);
    }
}

#[test]
fn box_that_crashes_during_kv_export_is_replaced_by_replay() {
    let limits = Limits {
        kv_bytes: 16,
        ..Limits::default()
    };
    for moment in 0..40 {
        let mut fabric = fabric_with(1, &limits);
        show(&mut fabric, &list(""));
        let key = fabric.ask(0, completion(60));
        fabric.run_for(Duration::from_millis(500));
        let leaving_engine = leave(&mut fabric, key);
        fabric.run_for(Duration::from_millis(moment));
        let url = format!("http://{leaving_engine}");
        kill(&mut fabric, &url);
        fabric.run_for(10 * SECOND);
        assert_complete(&fabric, key, 60);
    }
}

#[test]
fn nearly_finished_request_is_not_moved() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list(""));
    let key = fabric.ask(0, completion(18));
    fabric.run_for(Duration::from_millis(400));
    leave(&mut fabric, key);
    fabric.run_for(10 * SECOND);
    assert_complete(&fabric, key, 18);
    assert_eq!(stage_moves(&fabric), 0);
}

#[test]
fn box_missing_from_the_list_gets_work_again_once_relisted() {
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
fn drained_target_gets_no_new_work_until_undrained() {
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
fn requests_of_an_engine_removed_from_the_configuration_move_to_its_replica() {
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
