//! Targets that leave, are drained or are no longer declared.

use std::time::Duration;

use reachtally_core::declare::Kind;

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

#[test]
fn a_box_that_leaves_gets_no_new_work_and_finishes_what_it_has() {
    let mut fabric = fabric(1);
    show(&mut fabric, &list(""));
    let running = fabric.ask(0, completion(30));
    fabric.run_for(Duration::from_millis(200));
    let url = serving(&fabric, 1);
    let name = url.replace("http://e", "t");
    show(&mut fabric, &list(&name));
    let later: Vec<_> = (0..5).map(|_| fabric.ask(0, completion(30))).collect();
    fabric.run_for(Duration::from_millis(200));
    assert_eq!(requests_at(&fabric, &url), 1);
    fabric.run_for(10 * SECOND);
    assert_whole(&fabric, running, 30);
    for key in later {
        assert_whole(&fabric, key, 30);
    }
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
