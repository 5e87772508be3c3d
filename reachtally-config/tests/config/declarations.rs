//! Every finding in a declarations file is reported with its position.

use reachtally_config::declarations::parse;
use reachtally_core::declare::{Kind, Layers, Object};

const GOOD: &str = "\
models:
  - {name: quote, layers: 12}
engines:
  - {name: e1, box: t1, domain: room-1, url: 'http://127.0.0.1:9100', model: quote, layers: 0..6, slots: 4}
  - {name: e2, box: t2, domain: room-1, url: 'http://127.0.0.1:9101', model: quote, layers: 6..12, slots: 4}
services:
  - {name: orders, urls: ['http://127.0.0.1:9200'], repeatable: false}
accounts:
  - {name: counter, keys: [], models: [quote], services: [orders], max_running: 8}
";

#[test]
fn valid_declarations_are_parsed() {
    let objects = parse("good.yaml", GOOD).expect("the declarations are valid");
    let kinds: Vec<Kind> = objects.iter().map(Object::kind).collect();
    let expected = [
        Kind::Model,
        Kind::Engine,
        Kind::Engine,
        Kind::Service,
        Kind::Account,
    ];
    assert_eq!(kinds, expected);
    let Object::Engine(engine) = &objects[2] else {
        panic!("the third object is an engine");
    };
    assert_eq!(engine.layers, Layers { first: 6, end: 12 });
}

#[test]
fn all_findings_are_reported_with_their_positions() {
    let text = "\
models:
  - {name: quote, layers: 12}
engines:
  - {name: e1, box: t1, domain: room-1, url: 'http://127.0.0.1:9100', model: quote, layers: 0..6, slots: 4}
  - {name: e1, box: t2, domain: room-1, url: 'http://127.0.0.1:9101', model: quote, layers: 7..12, slots: 0}
  - {name: e3, box: t2, domain: room-1, url: 'http://host:9101', model: other, layers: 9, slots: 1}
  - {name: e4, box: t2, domain: room-1, url: 'http://127.0.0.1:9101', model: quote, layers: 6..13, slots: 1}
services:
  - {name: orders, urls: [], repeatable: maybe}
accounts:
  - {name: counter, keys: [secret], max_running: 8, colour: red}
";
    let findings = parse("bad.yaml", text).expect_err("the declarations are invalid");
    insta::assert_snapshot!(findings);
}

#[test]
fn a_gap_in_the_declared_chain_is_reported() {
    let text = GOOD.replace("6..12", "7..12");
    let findings = parse("bad.yaml", &text).expect_err("no engine holds layer 6");
    insta::assert_snapshot!(findings);
}
